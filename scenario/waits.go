package scenario

import (
	"bytes"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rogpeppe/go-internal/testscript"

	"github.com/cairnlift/cairnlift/fakes"
)

// progress waits until a load got a number of answers from now on.
func progress(s *scriptEnv, _ *testscript.TestScript, args []string) error {
	if err := requireArgs(args, 2, "progress NAME N"); err != nil {
		return err
	}
	more, err := strconv.Atoi(args[1])
	if err != nil {
		return errors.Wrap(err, "number")
	}
	p, err := s.process(args[0])
	if err != nil {
		return err
	}
	before := s.countAnswers(args[0])
	return poll(func() error {
		alive := p.errIfExited() // looked at first: what it recorded last is counted below
		if got := s.countAnswers(args[0]) - before; got < more {
			return errors.CombineErrors(alive, errors.Newf("%s got %d answers, not %d", args[0], got, more))
		}
		return nil
	})
}

// countAnswers counts a load's answers; a record that does not exist yet has none.
func (s *scriptEnv) countAnswers(name string) int {
	text, _ := os.ReadFile(filepath.Join(s.dir, name+".calls"))
	return bytes.Count(text, []byte(`"outcome":"`+string(fakes.Answered)+`"`))
}

func ready(s *scriptEnv, _ *testscript.TestScript, args []string) error {
	return s.waitForOK(args, s.cluster.readyURL)
}

// serving waits until a request through each entry is answered.
func serving(s *scriptEnv, _ *testscript.TestScript, args []string) error {
	return s.waitForOK(args, s.cluster.serviceURL)
}

// waitForOK waits until each process's URL answers 200.
func (s *scriptEnv) waitForOK(names []string, urlOf func(name string) (string, error)) error {
	for _, name := range names {
		url, err := urlOf(name)
		if err != nil {
			return err
		}
		p, err := s.process(name)
		if err != nil {
			return err
		}
		if err := poll(func() error { return probe(p, url) }); err != nil {
			return errors.Wrapf(err, "%s", name)
		}
	}
	return nil
}

var httpClient = &http.Client{Timeout: time.Second}

// probe returns nil when the process runs and the URL answers 200.
func probe(p *process, url string) error {
	if err := p.errIfExited(); err != nil {
		return err
	}
	resp, err := httpClient.Get(url)
	if err != nil {
		return errors.Wrap(err, "not ready")
	}
	_ = resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return errors.Newf("not ready: %s", resp.Status)
	}
	return nil
}

// waitFor runs a program again and again until it succeeds and prints a match.
func waitFor(s *scriptEnv, ts *testscript.TestScript, args []string) error {
	if err := requireArgs(args, 2, "waitfor REGEXP PROGRAM ARGS..."); err != nil {
		return err
	}
	_, err := waitForMatch(s, ts, args[0], args[1], args[2:])
	return err
}

// capture waits as waitFor does and keeps a part of what was printed.
func capture(s *scriptEnv, ts *testscript.TestScript, args []string) error {
	if err := requireArgs(args, 3, "capture VAR REGEXP PROGRAM ARGS..."); err != nil {
		return err
	}
	groups, err := waitForMatch(s, ts, args[1], args[2], args[3:])
	if err != nil {
		return err
	}
	if err := requireArgs(groups, 2, "the pattern of capture needs a group"); err != nil {
		return err
	}
	ts.Setenv(args[0], groups[1])
	return nil
}

// waitForMatch returns the pattern's match and groups.
func waitForMatch(s *scriptEnv, ts *testscript.TestScript, expr, program string, args []string) (groups []string, err error) {
	pattern, err := regexp.Compile("(?m)" + expr)
	if err != nil {
		return nil, errors.Wrap(err, "pattern")
	}
	path, err := lookPath(ts, program)
	if err != nil {
		return nil, err
	}
	err = poll(func() error {
		var stderr bytes.Buffer
		cmd := exec.Command(path, args...)
		cmd.Dir, cmd.Stderr = s.dir, &stderr
		cmd.Env = append(s.programEnv(ts), addressVariable+"="+ts.Getenv(addressVariable))
		out, err := cmd.Output()
		if err != nil {
			return errors.Wrapf(err, "%s%s", out, stderr.String())
		}
		groups = pattern.FindStringSubmatch(string(out))
		if groups == nil {
			return errors.Newf("no match for %q in:\n%s", expr, out)
		}
		return nil
	})
	return groups, err
}

func waitLog(s *scriptEnv, _ *testscript.TestScript, args []string) error {
	if err := requireArgs(args, 2, "waitlog NAME REGEXP"); err != nil {
		return err
	}
	pattern, err := regexp.Compile("(?m)" + args[1])
	if err != nil {
		return errors.Wrap(err, "pattern")
	}
	p, err := s.process(args[0])
	if err != nil {
		return err
	}
	return poll(func() error {
		alive := p.errIfExited() // looked at first: what it logged last is read below
		text, err := os.ReadFile(p.log)
		if err != nil {
			return errors.Wrap(err, "log")
		}
		if pattern.Match(text) {
			return nil
		}
		return errors.CombineErrors(alive, errors.Newf("no match for %q in the log of %s", args[1], args[0]))
	})
}

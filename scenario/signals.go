package scenario

import (
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/cairnlift/cairnlift/fakes"
	"github.com/cairnlift/cairnlift/worker"
)

// forEachProcess does something to every process named, until the first error.
func (s *scriptEnv) forEachProcess(names []string, do func(p *process) error) error {
	for _, name := range names {
		p, err := s.process(name)
		if err != nil {
			return err
		}
		if err := do(p); err != nil {
			return err
		}
	}
	return nil
}

func shutdown(s *scriptEnv, ts *testscript.TestScript, args []string) error {
	err := s.forEachProcess(args, func(p *process) error { return p.signal(syscall.SIGTERM) })
	if err != nil {
		return err
	}
	return finish(s, ts, args)
}

func finish(s *scriptEnv, _ *testscript.TestScript, args []string) error {
	return s.forEachProcess(args, func(p *process) error { return p.waitExit(waitTimeout) })
}

func crash(s *scriptEnv, _ *testscript.TestScript, args []string) error {
	return s.forEachProcess(args, func(p *process) error {
		p.kill()
		return nil
	})
}

// signalAll returns the command that sends a signal to each process named.
func signalAll(sig syscall.Signal) command {
	return func(s *scriptEnv, _ *testscript.TestScript, args []string) error {
		return s.forEachProcess(args, func(p *process) error { return p.signal(sig) })
	}
}

// frozenSuffix ends the name of an entry's record of the times for which it was frozen.
const frozenSuffix = ".frozen"

func freeze(s *scriptEnv, _ *testscript.TestScript, args []string) error {
	return s.forEachProcess(args, func(p *process) error {
		err := p.signal(syscall.SIGSTOP)
		p.frozenAt = worker.Now()
		return err
	})
}

func thaw(s *scriptEnv, _ *testscript.TestScript, args []string) error {
	return s.forEachProcess(args, func(p *process) error {
		until := worker.Now()
		if err := p.signal(syscall.SIGCONT); err != nil {
			return err
		}
		return s.recordFreeze(p, until)
	})
}

// recordFreeze tells the judge for how long an entry could not answer callers.
func (s *scriptEnv) recordFreeze(p *process, until time.Duration) error {
	i, isEntry := strings.CutPrefix(p.name, "entry")
	if !isEntry || p.frozenAt == 0 {
		return nil
	}
	record, err := fakes.NewRecorder[fakes.Freeze](filepath.Join(s.dir, p.name+frozenSuffix))
	if err != nil {
		return err
	}
	record.Add(fakes.Freeze{Entry: s.cluster.variables()["ENTRY"+i], From: p.frozenAt, To: until})
	p.frozenAt = 0
	return record.Close()
}

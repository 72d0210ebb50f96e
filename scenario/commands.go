package scenario

import (
	"path/filepath"
	"strconv"
	"syscall"

	"github.com/cockroachdb/errors"
	"github.com/rogpeppe/go-internal/testscript"
)

// command is a script command without the means to negate it.
type command func(s *scriptEnv, ts *testscript.TestScript, args []string) error

// Commands returns the script commands; they are a testscript Params.Cmds.
func Commands() map[string]func(ts *testscript.TestScript, neg bool, args []string) {
	cmds := map[string]func(ts *testscript.TestScript, neg bool, args []string){}
	for name, run := range map[string]command{
		"cluster":   createCluster,
		"start":     startHost,
		"up":        startHosts,
		"serving":   serving,
		"run":       runProgram,
		"load":      startLoad,
		"judge":     checkRecords,
		"progress":  progress,
		"shutdown":  shutdown,
		"finish":    finish,
		"crash":     crash,
		"terminate": signalAll(syscall.SIGTERM),
		"freeze":    freeze,
		"thaw":      thaw,
		"ready":     ready,
		"waitfor":   waitFor,
		"capture":   capture,
		"waitlog":   waitLog,
		"cut":       setLinkMode("cut"),
		"heal":      setLinkMode("open"),
		"drop":      setLinkMode("dropped"),
		"put":       put,
	} {
		cmds[name] = func(ts *testscript.TestScript, neg bool, args []string) {
			if neg {
				ts.Fatalf("%s can't be negated", name)
			}
			ts.Check(errors.Wrapf(run(scriptEnvOf(ts), ts, args), "%s", name))
		}
	}
	return cmds
}

func requireArgs(args []string, n int, usage string) error {
	if len(args) < n {
		return errors.Newf("usage: %s", usage)
	}
	return nil
}

func createCluster(s *scriptEnv, ts *testscript.TestScript, args []string) error {
	if err := requireArgs(args, 2, "cluster ENTRIES AGENTS [linked]"); err != nil {
		return err
	}
	entries, err := strconv.Atoi(args[0])
	if err != nil {
		return errors.Wrap(err, "entries")
	}
	agents, err := strconv.Atoi(args[1])
	if err != nil {
		return errors.Wrap(err, "agents")
	}
	s.cluster = newCluster(s.subnet, entries, agents, len(args) > 2 && args[2] == "linked")
	for k, v := range s.cluster.variables() {
		ts.Setenv(k, v)
	}
	return s.cluster.write(s.dir)
}

func startHost(s *scriptEnv, ts *testscript.TestScript, args []string) error {
	if err := requireArgs(args, 1, "start NAME [ARGS...]"); err != nil {
		return err
	}
	if s.cluster == nil {
		return errors.New("there is no cluster yet")
	}
	program, hostArgs, err := s.cluster.command(args[0])
	if err != nil {
		return err
	}
	return s.start(ts, args[0], program, append(hostArgs, args[1:]...))
}

// startHosts starts hosts of the cluster with what each runs by default.
func startHosts(s *scriptEnv, ts *testscript.TestScript, args []string) error {
	for _, name := range args {
		if err := startHost(s, ts, []string{name}); err != nil {
			return err
		}
	}
	return nil
}

func runProgram(s *scriptEnv, ts *testscript.TestScript, args []string) error {
	if err := requireArgs(args, 2, "run NAME PROGRAM ARGS..."); err != nil {
		return err
	}
	return s.start(ts, args[0], args[1], args[2:])
}

// startLoad starts a caller that speaks to every entry that is ready.
func startLoad(s *scriptEnv, ts *testscript.TestScript, args []string) error {
	if err := requireArgs(args, 1, "load NAME ARGS..."); err != nil {
		return err
	}
	if s.cluster == nil {
		return errors.New("there is no cluster yet")
	}
	caller := []string{"caller", "--name", args[0], "--record", args[0] + ".calls"}
	for i := 1; i <= s.cluster.entries; i++ {
		url, err := s.cluster.readyURL(entryName(i))
		if err != nil {
			return err
		}
		caller = append(caller, "--entry", s.subnet.address(entryHosts, i, portCallers)+"="+url)
	}
	return s.start(ts, args[0], "cairnlift-fake", append(caller, args[1:]...))
}

// checkRecords judges every record in the work directory.
func checkRecords(s *scriptEnv, ts *testscript.TestScript, args []string) error {
	all := []string{"judge"}
	for flag, pattern := range map[string]string{
		"--calls": "*.calls", "--ran": "*.ran", "--runs": "*.runs", "--frozen": "*" + frozenSuffix,
	} {
		files, err := filepath.Glob(filepath.Join(s.dir, pattern))
		if err != nil {
			return errors.Wrap(err, pattern)
		}
		for _, f := range files {
			all = append(all, flag, f)
		}
	}
	return ts.Exec("cairnlift-fake", append(all, args...)...)
}

package scenario

import (
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rogpeppe/go-internal/testscript"
)

const (
	// waitTimeout ends waits for conditions; it is far above what they take.
	waitTimeout  = 30 * time.Second
	pollInterval = 20 * time.Millisecond
	// maxParallelScripts bounds how many scripts run at a time.
	maxParallelScripts = 4
	// logTailBytes is how much of each log a failed script prints.
	logTailBytes = 6000
)

type scriptEnvKey struct{}

// scriptEnv is what one script has set up.
type scriptEnv struct {
	dir     string
	subnet  *subnet
	cluster *cluster

	mu        sync.Mutex
	processes map[string]*process
	names     []string
}

var scriptSlots = make(chan struct{}, maxParallelScripts)

// Setup prepares a script; it is a testscript Params.Setup.
func Setup(env *testscript.Env) error {
	scriptSlots <- struct{}{}
	net, err := acquireSubnet()
	if err != nil {
		<-scriptSlots
		return err
	}
	s := &scriptEnv{dir: env.WorkDir, subnet: net, processes: map[string]*process{}}
	env.Values[scriptEnvKey{}] = s
	env.Setenv("NET", net.prefix)
	t := env.T()
	env.Defer(func() {
		if f, ok := t.(interface{ Failed() bool }); ok && f.Failed() {
			t.Log(s.logs())
		}
		s.cleanUp()
		<-scriptSlots
	})
	return nil
}

func scriptEnvOf(ts *testscript.TestScript) *scriptEnv {
	s, ok := ts.Value(scriptEnvKey{}).(*scriptEnv)
	if !ok {
		ts.Fatalf("the script was set up without scenario.Setup")
	}
	return s
}

// cleanUp leaves no process behind.
func (s *scriptEnv) cleanUp() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, p := range s.processes {
		p.kill()
	}
	s.subnet.release()
}

func (s *scriptEnv) logs() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var b strings.Builder
	for _, name := range s.names {
		text, err := os.ReadFile(s.logPath(name))
		if err != nil {
			continue
		}
		text = text[max(0, len(text)-logTailBytes):]
		fmt.Fprintf(&b, "--- log of %s ---\n%s\n", name, text)
	}
	return b.String()
}

func (s *scriptEnv) logPath(name string) string { return filepath.Join(s.dir, name+".log") }

// start starts a program under a name that no running process has.
func (s *scriptEnv) start(ts *testscript.TestScript, name, program string, args []string) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if old := s.processes[name]; old != nil && old.running() {
		return errors.Newf("%s runs already", name)
	}
	path, err := lookPath(ts, program)
	if err != nil {
		return err
	}
	p, err := startProcess(name, path, args, s.programEnv(ts), s.dir, s.logPath(name))
	if err != nil {
		return err
	}
	if s.processes[name] == nil {
		s.names = append(s.names, name)
	}
	s.processes[name] = p
	ts.Setenv("PID_"+name, strconv.Itoa(p.cmd.Process.Pid))
	return nil
}

// programEnv is the environment of the programs that a script starts.
func (s *scriptEnv) programEnv(ts *testscript.TestScript) []string {
	return []string{"PATH=" + ts.Getenv("PATH"), "HOME=" + s.dir, "TMPDIR=" + s.dir}
}

func lookPath(ts *testscript.TestScript, program string) (string, error) {
	for _, dir := range filepath.SplitList(ts.Getenv("PATH")) {
		path := filepath.Join(dir, program)
		if info, err := os.Stat(path); err == nil && !info.IsDir() {
			return path, nil
		}
	}
	return "", errors.Newf("no program %s", program)
}

func (s *scriptEnv) process(name string) (*process, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.processes[name]
	if p == nil {
		return nil, errors.Newf("%s was not started", name)
	}
	return p, nil
}

// errProcessExited marks the error of a condition whose process has ended: it can't come
// true any more.
var errProcessExited = errors.New("the process has ended")

// poll repeats try until it returns nil, the bound has passed, or the process that
// it looks at has ended.
func poll(try func() error) error {
	limit := time.Now().Add(waitTimeout)
	for {
		err := try()
		if err == nil {
			return nil
		}
		if errors.Is(err, errProcessExited) {
			return err
		}
		if time.Now().After(limit) {
			return errors.Wrapf(err, "waited %v", waitTimeout)
		}
		time.Sleep(pollInterval)
	}
}

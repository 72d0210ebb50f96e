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
	// waitTimeout limits waits for conditions; it is far above the time that they take.
	waitTimeout  = 30 * time.Second
	pollInterval = 20 * time.Millisecond
	// maxParallelScripts limits the number of scripts that run at a time.
	maxParallelScripts = 4
	// logTailBytes is the length of the end of each log that a failed script prints.
	logTailBytes = 6000
)

type scriptEnvKey struct{}

// scriptEnv is the environment of one script.
type scriptEnv struct {
	dir     string
	subnet  *subnet
	cluster *cluster

	mu        sync.Mutex
	processes map[string]*process
	names     []string
}

var scriptSlots = make(chan struct{}, maxParallelScripts)

// Setup prepares the environment of a script, for testscript.Params.Setup.
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
		ts.Fatalf("the script's Params.Setup is not scenario.Setup")
	}
	return s
}

// cleanUp kills all processes and releases the subnet.
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

// start starts a program under a name that no running process uses.
func (s *scriptEnv) start(ts *testscript.TestScript, name, program string, args []string) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if old := s.processes[name]; old != nil && old.running() {
		return errors.Newf("%s is already running", name)
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

// programEnv returns the environment variables of the programs that a script starts.
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
	return "", errors.Newf("program %s not found", program)
}

func (s *scriptEnv) process(name string) (*process, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.processes[name]
	if p == nil {
		return nil, errors.Newf("%s has not been started", name)
	}
	return p, nil
}

// errProcessExited marks the error of a condition that cannot become true any more because
// its process has exited.
var errProcessExited = errors.New("the process has exited")

// poll repeats try until it returns nil or errProcessExited, or until waitTimeout has
// passed.
func poll(try func() error) error {
	deadline := time.Now().Add(waitTimeout)
	for {
		err := try()
		if err == nil {
			return nil
		}
		if errors.Is(err, errProcessExited) {
			return err
		}
		if time.Now().After(deadline) {
			return errors.Wrapf(err, "condition not met within %v", waitTimeout)
		}
		time.Sleep(pollInterval)
	}
}

package soak

import (
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"

	"github.com/cockroachdb/errors"

	"github.com/cairnlift/cairnlift/platform/platformtest"
)

// process is a process of the cluster that can be killed and started again.
type process struct {
	name string
	// command returns the command for the next start.
	command func() *exec.Cmd
	// output is the file to which the standard output and standard error of all starts are appended.
	output string
	faults *faultLog

	mu    sync.Mutex
	cmd   *exec.Cmd
	ended chan struct{}
	// paused is whether the plan stopped the process and has not continued it.
	paused bool
}

// start starts the process, which must not be running.
func (p *process) start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.running() {
		return errors.Newf("%s is already running", p.name)
	}
	out, err := os.OpenFile(p.output, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return errors.Wrap(err, "output file")
	}
	defer func() { _ = out.Close() }() // the process has its own descriptor
	cmd := p.command()
	cmd.Stdout, cmd.Stderr = out, out
	if err := cmd.Start(); err != nil {
		return errors.Wrap(err, p.name)
	}
	p.faults.add(p.name, "started", cmd.Process.Pid)
	ended := make(chan struct{})
	p.cmd, p.ended, p.paused = cmd, ended, false
	go func() {
		_ = cmd.Wait() // the output of the process shows how it ended
		p.faults.add(p.name, "ended", cmd.Process.Pid)
		close(ended)
	}()
	return nil
}

// running reports whether the process has been started and has not ended. The caller must hold p.mu.
func (p *process) running() bool {
	if p.cmd == nil {
		return false
	}
	select {
	case <-p.ended:
		return false
	default:
		return true
	}
}

// signal sends a signal if the process is running, and after SIGKILL waits until it has ended.
func (p *process) signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.running() {
		return
	}
	p.faults.add(p.name, s.String(), p.cmd.Process.Pid)
	_ = p.cmd.Process.Signal(s) // the process may have just ended
	p.paused = s == syscall.SIGSTOP
	if s == syscall.SIGKILL {
		<-p.ended
	}
}

func (p *process) kill() { p.signal(syscall.SIGKILL) }

// roleCommand returns the command that starts a role of cairnlift with a settings file.
func roleCommand(words []string, role, metricsPort, settings string) func() *exec.Cmd {
	return func() *exec.Cmd {
		cmd := newCommand(words, role, "--metrics-port", metricsPort)
		cmd.Env = append(cmd.Env, platformtest.SettingsVariable+"="+settings)
		cmd.Dir = filepath.Dir(settings)
		return cmd
	}
}

// newCommand returns a command whose process uses one processor at a time.
func newCommand(words []string, arguments ...string) *exec.Cmd {
	cmd := exec.Command(words[0], append(append([]string{}, words[1:]...), arguments...)...)
	cmd.Env = append(os.Environ(), "GOMAXPROCS=1")
	cmd.SysProcAttr = sysProcAttr()
	return cmd
}

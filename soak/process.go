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

// process is a process of the cluster that may be ended and started again.
type process struct {
	name string
	// command returns what is started.
	command func() *exec.Cmd
	// output is where its standard output and error go, across its starts.
	output string
	faults *faultLog

	mu    sync.Mutex
	cmd   *exec.Cmd
	ended chan struct{}
	// paused: the plan stopped it, and has not let it go on.
	paused bool
}

// start starts it; it must not be running.
func (p *process) start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.running() {
		return errors.Newf("%s runs already", p.name)
	}
	out, err := os.OpenFile(p.output, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return errors.Wrap(err, "output")
	}
	defer func() { _ = out.Close() }() // the process has its own
	cmd := p.command()
	cmd.Stdout, cmd.Stderr = out, out
	if err := cmd.Start(); err != nil {
		return errors.Wrap(err, p.name)
	}
	p.faults.add(p.name, "started", cmd.Process.Pid)
	ended := make(chan struct{})
	p.cmd, p.ended, p.paused = cmd, ended, false
	go func() {
		_ = cmd.Wait() // how it ended is in its own output
		p.faults.add(p.name, "ended", cmd.Process.Pid)
		close(ended)
	}()
	return nil
}

// running reports whether it has been started and has not ended; p.mu is held.
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

// signal sends a signal, and waits for the end where the signal ends it for sure.
func (p *process) signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.running() {
		return
	}
	p.faults.add(p.name, s.String(), p.cmd.Process.Pid)
	_ = p.cmd.Process.Signal(s) // it may have ended just now
	p.paused = s == syscall.SIGSTOP
	if s == syscall.SIGKILL {
		<-p.ended
	}
}

func (p *process) kill() { p.signal(syscall.SIGKILL) }

// roleCommand returns the command of a process that reads a settings file.
func roleCommand(words []string, role, metricsPort, settings string) func() *exec.Cmd {
	return func() *exec.Cmd {
		cmd := newCommand(words, role, "--metrics-port", metricsPort)
		cmd.Env = append(cmd.Env, platformtest.SettingsVariable+"="+settings)
		cmd.Dir = filepath.Dir(settings)
		return cmd
	}
}

// newCommand returns a command of some words and arguments, on one processor at a time.
func newCommand(words []string, arguments ...string) *exec.Cmd {
	cmd := exec.Command(words[0], append(append([]string{}, words[1:]...), arguments...)...)
	cmd.Env = append(os.Environ(), "GOMAXPROCS=1")
	cmd.SysProcAttr = sysProcAttr()
	return cmd
}

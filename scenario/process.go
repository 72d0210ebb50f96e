package scenario

import (
	"os"
	"os/exec"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
)

// process is a process that a script started.
type process struct {
	name string
	log  string
	cmd  *exec.Cmd

	exited chan struct{}
	// frozenAt is when the process was frozen, by the clock that the callers' records use.
	// It is zero if the process is not frozen.
	frozenAt time.Duration
}

// startProcess starts a program and appends its output to a log file. The kernel kills the
// process when the test process ends, even if the test crashes.
func startProcess(name, program string, args, env []string, dir, log string) (*process, error) {
	out, err := os.OpenFile(log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return nil, errors.Wrap(err, "can't open the log")
	}
	defer out.Close()
	cmd := exec.Command(program, args...)
	cmd.Stdout, cmd.Stderr = out, out
	cmd.Dir, cmd.Env = dir, env
	// In the group of the test, a frozen process would end with SIGHUP if the shell that started the test exits.
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL, Setpgid: true}
	if err := cmd.Start(); err != nil {
		return nil, errors.Wrapf(err, "%s", name)
	}
	p := &process{name: name, log: log, cmd: cmd, exited: make(chan struct{})}
	go p.reap()
	return p, nil
}

// reap waits for the exit of the process. It runs in a plain goroutine, since it must
// outlive the script command that started the process.
func (p *process) reap() {
	_ = p.cmd.Wait() // The exit status is in cmd.ProcessState.
	close(p.exited)
}

func (p *process) signal(sig syscall.Signal) error {
	return errors.Wrapf(p.cmd.Process.Signal(sig), "%s", p.name)
}

func (p *process) running() bool {
	select {
	case <-p.exited:
		return false
	default:
		return true
	}
}

// errIfExited returns an error marked with errProcessExited if the process has exited.
func (p *process) errIfExited() error {
	if p.running() {
		return nil
	}
	return errors.Mark(errors.Newf("%s has exited with %s", p.name, p.cmd.ProcessState), errProcessExited)
}

// waitExit waits until the process has exited with code 0.
func (p *process) waitExit(timeout time.Duration) error {
	select {
	case <-p.exited:
	case <-time.After(timeout):
		return errors.Newf("%s did not exit within %v", p.name, timeout)
	}
	if !p.cmd.ProcessState.Success() {
		return errors.Newf("%s exited with %s", p.name, p.cmd.ProcessState)
	}
	return nil
}

// kill kills the process, frozen or not, and waits for its exit.
func (p *process) kill() {
	if p.running() {
		_ = p.cmd.Process.Kill()
	}
	<-p.exited
}

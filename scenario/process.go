package scenario

import (
	"os"
	"os/exec"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
)

// process is a program that a script started.
type process struct {
	name string
	log  string
	cmd  *exec.Cmd

	exited chan struct{}
	// frozenAt is when it was frozen, on the clock of the callers' records.
	frozenAt time.Duration
}

// startProcess starts a program whose output goes to the end of a log file. The
// program dies with the test, whatever becomes of the test.
func startProcess(name, program string, args, env []string, dir, log string) (*process, error) {
	out, err := os.OpenFile(log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return nil, errors.Wrap(err, "log")
	}
	defer out.Close()
	cmd := exec.Command(program, args...)
	cmd.Stdout, cmd.Stderr = out, out
	cmd.Dir, cmd.Env = dir, env
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return nil, errors.Wrapf(err, "%s", name)
	}
	p := &process{name: name, log: log, cmd: cmd, exited: make(chan struct{})}
	go p.reap()
	return p, nil
}

// reap runs on a plain goroutine: it must outlive the script command that
// started the process.
func (p *process) reap() {
	_ = p.cmd.Wait() // the state tells how it ended
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

// errIfExited returns an error that ends a wait when the process has ended.
func (p *process) errIfExited() error {
	if p.running() {
		return nil
	}
	return errors.Mark(errors.Newf("%s has ended with %s", p.name, p.cmd.ProcessState), errProcessExited)
}

// waitExit waits until the process has exited with code 0.
func (p *process) waitExit(bound time.Duration) error {
	select {
	case <-p.exited:
	case <-time.After(bound):
		return errors.Newf("%s did not end within %v", p.name, bound)
	}
	if !p.cmd.ProcessState.Success() {
		return errors.Newf("%s ended with %s", p.name, p.cmd.ProcessState)
	}
	return nil
}

// kill ends the process at once, stopped or not, and waits for its end.
func (p *process) kill() {
	if p.running() {
		_ = p.cmd.Process.Kill()
	}
	<-p.exited
}

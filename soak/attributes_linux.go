package soak

import "syscall"

// sysProcAttr has a process end with the one that started it. It is in a group of its own: the
// kernel hangs up a group that its shell leaves while one member is paused.
func sysProcAttr() *syscall.SysProcAttr {
	return &syscall.SysProcAttr{Setpgid: true, Pdeathsig: syscall.SIGKILL}
}

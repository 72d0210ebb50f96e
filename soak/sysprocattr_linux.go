package soak

import "syscall"

// sysProcAttr makes the kernel kill a process when the process that started it ends. Each process is in a
// group of its own, because the kernel sends SIGHUP to a group that its shell leaves while a member is
// stopped.
func sysProcAttr() *syscall.SysProcAttr {
	return &syscall.SysProcAttr{Setpgid: true, Pdeathsig: syscall.SIGKILL}
}

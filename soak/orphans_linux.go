package soak

import "syscall"

// dieWithParent ends a process with the one that started it.
func dieWithParent() *syscall.SysProcAttr { return &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL} }

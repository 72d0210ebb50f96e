//go:build !linux

package soak

import "syscall"

// sysProcAttr has a process in a group of its own. It outlives a play that is killed.
func sysProcAttr() *syscall.SysProcAttr { return &syscall.SysProcAttr{Setpgid: true} }

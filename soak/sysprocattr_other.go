//go:build !linux

package soak

import "syscall"

// sysProcAttr puts a process into a group of its own. The process outlives a soak run that is killed.
func sysProcAttr() *syscall.SysProcAttr { return &syscall.SysProcAttr{Setpgid: true} }

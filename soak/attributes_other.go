//go:build !linux

package soak

import "syscall"

// attributes has a process in a group of its own. It outlives a play that is killed.
func attributes() *syscall.SysProcAttr { return &syscall.SysProcAttr{Setpgid: true} }

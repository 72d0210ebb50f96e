//go:build !linux

package soak

import "syscall"

// dieWithParent has no counterpart here: processes outlive a play that is killed.
func dieWithParent() *syscall.SysProcAttr { return nil }

//go:build !linux

package soak

import "syscall"

// endWithParent returns nil: the system has no such option, and the child processes of a killed soak keep running.
func endWithParent() *syscall.SysProcAttr { return nil }

//go:build !linux

package soak

import "syscall"

// endWithParent has no means here; a soak that is killed leaves its children behind.
func endWithParent() *syscall.SysProcAttr { return nil }

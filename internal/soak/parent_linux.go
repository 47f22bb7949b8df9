package soak

import "syscall"

// endWithParent makes the kernel kill a child process when the soak ends, even if the soak is killed.
func endWithParent() *syscall.SysProcAttr { return &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL} }

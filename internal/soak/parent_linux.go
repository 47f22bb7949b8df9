package soak

import "syscall"

// endWithParent lets a child process end together with the soak, however that ends.
func endWithParent() *syscall.SysProcAttr { return &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL} }

package process

import (
	"os"
	"runtime/debug"
	"strconv"
	"strings"
	"syscall"
)

// Limits of a machine that cannot be read.
const (
	unknownMemory      = 256 << 20
	unknownDescriptors = 1024
)

// memoryLimitRatio is the soft memory limit of the Go runtime as a share of the memory. The rest is headroom for thread stacks of the C
// library, kernel buffers and short peaks.
const memoryLimitRatio = 0.6

// LimitMemory sets the soft memory limit of the Go runtime for a process that may use an amount of memory, in bytes.
func LimitMemory(memoryBytes int64) {
	debug.SetMemoryLimit(int64(memoryLimitRatio * float64(memoryBytes)))
}

// MachineLimits returns the memory that this process may use, in bytes, and the number of descriptors: those of the control group, the
// machine and the resource limits, whichever is least.
func MachineLimits() (memoryBytes int64, descriptors int) {
	memoryBytes, descriptors = unknownMemory, unknownDescriptors
	var info syscall.Sysinfo_t
	if syscall.Sysinfo(&info) == nil {
		memoryBytes = int64(info.Totalram) * int64(info.Unit)
	}
	if text, err := os.ReadFile("/sys/fs/cgroup/memory.max"); err == nil {
		if limit, err := strconv.ParseInt(strings.TrimSpace(string(text)), 10, 64); err == nil {
			memoryBytes = min(memoryBytes, limit)
		}
	}
	var limit syscall.Rlimit
	if syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit) == nil {
		descriptors = int(min(limit.Cur, 1<<20))
	}
	return memoryBytes, descriptors
}

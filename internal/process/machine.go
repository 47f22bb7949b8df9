package process

import (
	"os"
	"strconv"
	"strings"
	"syscall"
)

// Limits of a machine that cannot be read.
const (
	unknownMemory      = 256 << 20
	unknownDescriptors = 1024
)

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

package process

import (
	"context"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against a process that ends on SIGHUP, while it serves or while it finishes its open requests. If the test fails,
// the signal ends the test's own process.
func TestHangupReloadsAndNeverEndsTheProcess(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithCancel(context.Background())
	reloaded := make(chan bool, 1)
	StartReloading(ctx, func(signalled bool) { reloaded <- signalled })
	is.NoErr(syscall.Kill(syscall.Getpid(), syscall.SIGHUP))
	is.True(<-reloaded)
	cancel()
	for range 10 {
		is.NoErr(syscall.Kill(syscall.Getpid(), syscall.SIGHUP))
		time.Sleep(time.Millisecond)
	}
}

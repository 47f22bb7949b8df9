package process

import (
	"context"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// reloadInterval is the interval between checks of the settings without a signal.
const reloadInterval = 5 * time.Second

// StartReloading starts to call reload on SIGHUP (signalled is true) and every reloadInterval (signalled is false), until
// the context ends. From this call on, SIGHUP no longer ends the process, not even while it finishes its open requests
// after the context has ended.
func StartReloading(ctx context.Context, reload func(signalled bool)) {
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	go func() {
		ticker := time.NewTicker(reloadInterval)
		defer ticker.Stop()
		for {
			select {
			case <-ctx.Done():
				return
			case <-hangups:
				reload(true)
			case <-ticker.C:
				reload(false)
			}
		}
	}()
}

// ForEachChange calls f with each received value until the context ends.
func ForEachChange[T any](ctx context.Context, changes <-chan T, f func(T)) {
	for ctx.Err() == nil {
		select {
		case next := <-changes:
			f(next)
		case <-ctx.Done():
		}
	}
}

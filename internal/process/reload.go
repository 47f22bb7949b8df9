package process

import (
	"context"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// reloadInterval is how often the settings are looked at without a signal.
const reloadInterval = 5 * time.Second

// Reloads calls reload on SIGHUP, and from time to time without one, until the context ends. From its call on, SIGHUP no
// longer ends the process, also while it finishes its open requests after the context has ended.
func Reloads(ctx context.Context, reload func(signalled bool)) {
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	go func() {
		tick := time.NewTicker(reloadInterval)
		defer tick.Stop()
		for {
			select {
			case <-ctx.Done():
				return
			case <-hangups:
				reload(true)
			case <-tick.C:
				reload(false)
			}
		}
	}()
}

// Follow gives each changed value to f until the context ends.
func Follow[T any](ctx context.Context, changes <-chan T, f func(T)) {
	for ctx.Err() == nil {
		select {
		case next := <-changes:
			f(next)
		case <-ctx.Done():
		}
	}
}

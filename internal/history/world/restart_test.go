package world

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"

	"github.com/banyanfront/banyanfront/internal/history"
)

// Guards against an entry instance that starts while its data centre is out, and sends work there before it has received
// the agreed state.
func TestStartingInstanceKeepsDataCentreOut(t *testing.T) {
	t.Parallel()
	log.SetHandler(discard.Default)
	synctest.Test(t, func(t *testing.T) {
		w := New(1)
		load := func(ctx context.Context, home, caller int, _ *rand.Rand) {
			i := w.instances[home]
			for n := 0; ctx.Err() == nil && i.settings.DataCentre == leaving; n++ {
				request := newRequest(caller, fmt.Sprintf("c%d-%d-%d", home, caller, n))
				r := history.Request{ID: request.id, Keyed: request.key != "", Instance: i.settings.Instance, Begun: w.now()}
				status, answer, err := w.call(i, request.method, request.path, request.key, request.body)
				r.Crashed = errors.Is(err, errCrashed)
				r.Result, r.Complete, r.Detail = result(status, answer, err, request.check)
				w.note(r)
				time.Sleep(callPause / 10)
			}
		}
		h, err := w.run(load, quietTime, func() error {
			w.takeOutAt(w.instances[2], leaving)
			time.Sleep(quietTime)
			for range 2 {
				for _, i := range w.instances[4:] {
					w.crash(i)
					time.Sleep(time.Second)
					if err := w.startInstance(i); err != nil {
						return err
					}
					time.Sleep(quietTime)
				}
			}
			return nil
		})
		if err != nil {
			t.Fatal(err)
		}
		for _, v := range history.Check(h) {
			t.Errorf("%s broken: %s", v.Guarantee, v.Detail)
		}
		if !slices.ContainsFunc(h.Requests, func(r history.Request) bool { return r.Result == history.NotRun }) {
			t.Error("no request reached an instance that had just started: the run proves nothing")
		}
	})
}

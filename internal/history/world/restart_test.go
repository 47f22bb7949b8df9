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
	checkStarts(t, func(w *World) error {
		w.takeOutAt(w.instances[2], leaving)
		time.Sleep(quietTime)
		return w.restart(w.instances[4:], 2)
	})
}

// Guards against an entry instance that starts in a data centre which was taken out on the minority side of a partition,
// and sends work there because the out is not in the log yet.
func TestStartingInstanceKeepsUnloggedOut(t *testing.T) {
	checkStarts(t, func(w *World) error {
		w.separate(leaving, "norte", true)
		w.separate(leaving, "sur", true)
		time.Sleep(quietTime)
		w.takeOutAt(w.instances[4], leaving)
		time.Sleep(quietTime)
		err := w.restart(w.instances[5:], 3)
		w.network.heal()
		return err
	})
}

// restart crashes and starts instances in turn.
func (w *World) restart(instances []*instance, times int) error {
	for range times {
		for _, i := range instances {
			w.crash(i)
			time.Sleep(time.Second)
			if err := w.startInstance(i); err != nil {
				return err
			}
			time.Sleep(quietTime)
		}
	}
	return nil
}

// checkStarts runs a script in which instances of the data centre that leaves start, under the load of their callers.
func checkStarts(t *testing.T, script func(w *World) error) {
	log.SetHandler(discard.Default)
	parallel(t)
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
		h, err := w.run(load, quietTime, func() error { return script(w) })
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

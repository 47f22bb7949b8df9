package retry

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
)

var start = time.Date(2026, 1, 5, 7, 0, 0, 0, time.UTC)

func newPolicy() *Policy {
	return &Policy{Budget: NewBudget(BudgetConfig{}), Latency: NewLatency(0)}
}

// Guards against a missing or repeated token when a broken stream is resumed.
func TestStreamResumesAtNextToken(t *testing.T) {
	is := is.New(t)
	c := newPolicy().NewCall(true, start.Add(time.Minute))
	c.AttemptSent("a")
	c.Deliver("a", 0, 3)
	d := c.AttemptEnded(start, "a", AttemptEnd{End: EndFailed, CanResume: true, OtherServer: true}, rand.New(rand.NewPCG(1, 1)))
	is.Equal(d.Step, StepResume)
	is.Equal(d.From, uint64(3))
	c.AttemptSent("b")
	_, _, ok := c.Deliver("b", 5, 1) // gap
	is.True(!ok)
	skip, _, ok := c.Deliver("b", 2, 3) // overlaps by one token
	is.True(ok)
	is.Equal(skip, uint64(1))
	is.Equal(c.Delivered(), uint64(5))
	_, _, ok = c.Deliver("a", 5, 1) // late part of the broken attempt
	is.True(!ok)
}

// Guards against a losing attempt that is not cancelled or whose answer is mixed into the winner's, against a hedge of a
// non-idempotent request, and against a not_run answer after a losing attempt may have run.
func TestHedgeHasOneWinner(t *testing.T) {
	is := is.New(t)
	random := rand.New(rand.NewPCG(1, 1))
	p := newPolicy()
	for n := range 100 {
		p.Latency.Observe(start, time.Duration(n+1)*time.Millisecond)
	}
	c := p.NewCall(true, start.Add(time.Minute))
	c.AttemptSent("a")
	hedgeAt, ok := c.HedgeAt(start)
	is.True(ok)
	is.True(hedgeAt.Sub(start) >= 95*time.Millisecond && hedgeAt.Sub(start) <= 125*time.Millisecond)
	is.True(c.StartHedge(hedgeAt, "b"))
	is.True(!c.StartHedge(hedgeAt, "c")) // once
	_, cancel, ok := c.Deliver("b", 0, 1)
	is.True(ok)
	is.Equal(cancel, []string{"a"})
	_, _, ok = c.Deliver("a", 0, 1)
	is.True(!ok)
	is.Equal(c.AttemptEnded(hedgeAt, "a", AttemptEnd{End: EndNotRun}, random).Step, StepWait)
	is.Equal(c.AttemptEnded(hedgeAt, "b", AttemptEnd{End: EndDone}, random).Step, StepAnswer)

	nonIdempotent := p.NewCall(false, start.Add(time.Minute))
	nonIdempotent.AttemptSent("a")
	_, ok = nonIdempotent.HedgeAt(start)
	is.True(!ok)
	is.True(!nonIdempotent.StartHedge(start, "b"))
}

// Checks two guarantees for random sequences of attempt ends. G5: no not_run answer after an attempt that ran. G6: no
// second attempt of a non-idempotent request unless the first is proven not to have run.
func TestCallsKeepGuarantees(t *testing.T) {
	for seed := range uint64(2000) {
		random := rand.New(rand.NewPCG(seed, 7))
		idempotent, ran := random.IntN(2) == 0, 0
		p := newPolicy()
		c := p.NewCall(idempotent, start.Add(time.Minute))
		inFlight, sent := []string{}, 0
		send := func(hedge bool) {
			id := fmt.Sprint(sent)
			if hedge && !c.StartHedge(start, id) {
				return
			} else if !hedge {
				c.AttemptSent(id)
			}
			sent++
			inFlight = append(inFlight, id)
		}
		send(false)
		for len(inFlight) > 0 {
			send(true)
			at := random.IntN(len(inFlight))
			id := inFlight[at]
			end := End(random.IntN(int(endCount)))
			if end != EndNotRun {
				ran++
			}
			d := c.AttemptEnded(start, id, AttemptEnd{End: end, OtherServer: true, CanInquire: random.IntN(2) == 0}, random)
			if d.Step != StepInquire && d.Step != StepAttach {
				inFlight = append(inFlight[:at], inFlight[at+1:]...)
			} else if end != EndNotRun {
				ran-- // the same attempt ends again
				if random.IntN(8) == 0 {
					break
				}
			}
			switch d.Step {
			case StepRetry, StepResume:
				if !idempotent && ran > 0 {
					t.Fatalf("seed %d: G6: attempt %s sent again after %v", seed, id, end)
				}
				send(false)
			case StepRefuse:
				if ran > 0 {
					t.Fatalf("seed %d: G5: not_run after an attempt that ran", seed)
				}
			}
		}
	}
}

// Guards against retries that multiply the load on failing servers, hedges that use up the allowance for retries, and
// synchronised retries.
func TestBudgetAndBackoff(t *testing.T) {
	is := is.New(t)
	b := NewBudget(BudgetConfig{})
	taken := func(take func(time.Time) bool) (n int) {
		for take(start) {
			n++
		}
		return n
	}
	is.Equal(taken(b.TakeHedge), 10)
	is.Equal(taken(b.TakeRetry), 10)
	for range 100 {
		b.AddSuccess(start)
	}
	retries := taken(b.TakeRetry)
	is.True(retries == 9 || retries == 10) // a tenth of 100 successes, less rounding
	is.True(b.TakeRetry(start.Add(2 * time.Second)))
	random, distinct := rand.New(rand.NewPCG(1, 1)), map[time.Duration]bool{}
	for range 100 {
		d := Backoff{}.Delay(20, time.Second, random)
		is.True(d >= time.Second && d <= 3*time.Second)
		distinct[d] = true
	}
	is.True(len(distinct) > 90)
}

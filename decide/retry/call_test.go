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

// Guards against a broken stream that is resumed with a token missing or repeated.
func TestStreamResumesAtNextToken(t *testing.T) {
	is := is.New(t)
	c := newPolicy().NewCall(true, start.Add(time.Minute))
	c.Sent("a")
	c.Deliver("a", 0, 3)
	d := c.Ended(start, "a", Ending{End: EndFailed, Resumes: true, OtherServer: true}, rand.New(rand.NewPCG(1, 1)))
	is.Equal(d.Step, StepResume)
	is.Equal(d.From, uint64(3))
	c.Sent("b")
	_, _, ok := c.Deliver("b", 5, 1) // gap
	is.True(!ok)
	skip, _, ok := c.Deliver("b", 2, 3) // overlaps by one token
	is.True(ok)
	is.Equal(skip, uint64(1))
	is.Equal(c.Seen(), uint64(5))
	_, _, ok = c.Deliver("a", 5, 1) // the broken attempt speaks again
	is.True(!ok)
}

// Guards against a hedge whose loser is not cancelled or whose answer is mixed into the winner's, against a hedge of a
// non-idempotent request, and against a not_run answer after a loser may have run.
func TestHedgeHasOneWinner(t *testing.T) {
	is := is.New(t)
	random := rand.New(rand.NewPCG(1, 1))
	p := newPolicy()
	for n := range 100 {
		p.Latency.Observe(start, time.Duration(n+1)*time.Millisecond)
	}
	c := p.NewCall(true, start.Add(time.Minute))
	c.Sent("a")
	when, ok := c.HedgeAt(start)
	is.True(ok)
	is.True(when.Sub(start) >= 95*time.Millisecond && when.Sub(start) <= 125*time.Millisecond)
	is.True(c.Hedge(when, "b"))
	is.True(!c.Hedge(when, "c")) // once
	_, cancel, ok := c.Deliver("b", 0, 1)
	is.True(ok)
	is.Equal(cancel, []string{"a"})
	_, _, ok = c.Deliver("a", 0, 1)
	is.True(!ok)
	is.Equal(c.Ended(when, "a", Ending{End: EndNotRun}, random).Step, StepWait)
	is.Equal(c.Ended(when, "b", Ending{End: EndDone}, random).Step, StepAnswer)

	order := p.NewCall(false, start.Add(time.Minute))
	order.Sent("a")
	_, ok = order.HedgeAt(start)
	is.True(!ok)
	is.True(!order.Hedge(start, "b"))
}

// Guards over random lives of requests against G5 and G6: no not_run after an attempt that ran, no second attempt of a
// non-idempotent request unless the first is proved not run.
func TestCallsKeepGuarantees(t *testing.T) {
	for seed := range uint64(2000) {
		random := rand.New(rand.NewPCG(seed, 7))
		idempotent, ran := random.IntN(2) == 0, 0
		p := newPolicy()
		c := p.NewCall(idempotent, start.Add(time.Minute))
		inFlight, sent := []string{}, 0
		send := func(hedge bool) {
			id := fmt.Sprint(sent)
			if hedge && !c.Hedge(start, id) {
				return
			} else if !hedge {
				c.Sent(id)
			}
			sent++
			inFlight = append(inFlight, id)
		}
		send(false)
		for len(inFlight) > 0 {
			send(true)
			at := random.IntN(len(inFlight))
			id := inFlight[at]
			end := End(random.IntN(int(ends)))
			if end != EndNotRun {
				ran++
			}
			d := c.Ended(start, id, Ending{End: end, OtherServer: true, CanInquire: random.IntN(2) == 0}, random)
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

// Guards against retries that multiply the load of failing servers, hedges that use up the allowance of retries, and
// retries in step with each other.
func TestBudgetAndBackoff(t *testing.T) {
	is := is.New(t)
	b := NewBudget(BudgetConfig{})
	taken := func(take func(time.Time) bool) (n int) {
		for take(start) {
			n++
		}
		return n
	}
	is.Equal(taken(b.Hedge), 10)
	is.Equal(taken(b.Retry), 10)
	for range 100 {
		b.Success(start)
	}
	retries := taken(b.Retry)
	is.True(retries == 9 || retries == 10) // a tenth of 100 successes, less rounding
	is.True(b.Retry(start.Add(2 * time.Second)))
	random, distinct := rand.New(rand.NewPCG(1, 1)), map[time.Duration]bool{}
	for range 100 {
		d := Backoff{}.Delay(20, time.Second, random)
		is.True(d >= time.Second && d <= 3*time.Second)
		distinct[d] = true
	}
	is.True(len(distinct) > 90)
}

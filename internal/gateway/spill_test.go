package gateway

import (
	"errors"
	"testing"

	"github.com/matryer/is"

	"github.com/banyanfront/banyanfront/internal/problem"
)

// Guards against a refusal by an entry instance of another data centre whose statement that the request did not run is
// lost, or added, on the way.
func TestSpilledRefusalKeepsWhetherTheRequestRan(t *testing.T) {
	is := is.New(t)
	for _, refused := range []*problem.Error{
		problem.New(problem.OverShare, "send fewer").WithRan(false),
		problem.New(problem.UnknownModel, "check the name").WithRan(false),
		problem.New(problem.DeadlineExceeded, "too late"),
	} {
		got := resultOf(ptr(endMessage(refused)), 0)
		var p *problem.Error
		is.True(errors.As(got.err, &p))
		is.Equal(p.Kind, refused.Kind)
		is.Equal(p.Ran, refused.Ran)
	}
}

// Guards against a statement that the request did not run which is true of the last attempt only: an earlier one may have
// run.
func TestRefusalAfterBrokenAttemptIsOutcomeUnknown(t *testing.T) {
	is := is.New(t)
	notRun := problem.New(problem.OverShare, "send fewer").WithRan(false)
	for _, p := range []struct {
		err  error
		kind problem.Kind
	}{
		{(&progress{}).refusal(notRun), problem.OverShare},
		{(&progress{startedAttempts: 1}).refusal(notRun), problem.OutcomeUnknown},
		{(&progress{spillSessionLost: true}).keyedRefusal(notRun), problem.OutcomeUnknown},
		{(&progress{}).keyedRefusal(notRun), problem.OverShare},
	} {
		is.Equal(problem.KindOf(p.err), p.kind)
	}
}

func ptr[T any](value T) *T { return &value }

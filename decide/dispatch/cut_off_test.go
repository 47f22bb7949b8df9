package dispatch

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/banyanfront/banyanfront/decide/registry"
)

// threeDataCentres returns a dispatcher of the data centre near with servers of the service s in a lock-step group for each of
// three data centres.
func threeDataCentres() *Dispatcher {
	c := config()
	c.DeregistrationDelay = 2500 * time.Millisecond
	d := dispatcher(1, false)
	d.config = c
	var known []*registry.Record
	for i, dataCentre := range []string{"near", "far", "farther"} {
		for rank := range 4 {
			known = append(known, &registry.Record{ReceivedAt: start, Announcement: registry.Announcement{Server: fmt.Sprint(dataCentre, rank), Service: "s",
				Address: fmt.Sprint("10.0.0.", i, ":", rank+1), DataCentre: dataCentre, Slots: 12, Group: registry.Group{Name: dataCentre, Rank: rank, Size: 4}}})
		}
	}
	d.SetServers(start, known)
	return d
}

func (d *Dispatcher) lose(now time.Time, dataCentre string) {
	for rank := range lostAfterServers {
		d.RecordUnreachable(now, d.choiceOf(fmt.Sprint(dataCentre, rank)))
	}
}

// Guards against callers of a data centre that is cut off, whose instances refuse everything and yet call themselves ready: they
// never reach an instance elsewhere. Their retry comes when the balancer has taken this instance out.
func TestInstanceThatIsCutOffIsNotReady(t *testing.T) {
	is := is.New(t)
	d := threeDataCentres()
	d.SetEvacuated([]string{"near"})
	d.lose(start, "far")
	is.True(!d.UpdateCutOff(start)) // the other side may be the one cut off
	d.lose(start, "farther")
	is.True(d.UpdateCutOff(start))
	now := start.Add(time.Second)
	_, refusal := d.Pick(now, Request{Service: "s"})
	is.Equal(refusal.Reason, Unreachable)
	is.Equal(refusal.RetryAfter, 1500*time.Millisecond)
	is.True(d.UpdateCutOff(now))
	d.RecordReachable("far")
	is.True(!d.UpdateCutOff(now))
}

// Guards against an instance that leaves its callers although it can serve them from its own data centre, and against all
// instances leaving theirs when one data centre is cut off from them and the groups with ranks there are closed.
func TestInstanceThatServesOrIsOnTheLargerSideStaysReady(t *testing.T) {
	is := is.New(t)
	d := threeDataCentres()
	d.lose(start, "far")
	d.lose(start, "farther")
	is.True(!d.UpdateCutOff(start)) // the servers of the own data centre are usable

	d = threeDataCentres()
	d.lose(start, "far")
	d.closeGroup(start, "s", "near", start.Add(time.Second), 0)
	d.closeGroup(start, "s", "farther", start.Add(time.Second), 0)
	is.True(!d.UpdateCutOff(start))
}

// Guards against an instance that is ready and not ready by turns: without requests it learns no more that the group of its own
// data centre is closed.
func TestCutOffLastsUntilDataCentresReturn(t *testing.T) {
	is := is.New(t)
	d := threeDataCentres()
	d.lose(start, "far")
	d.lose(start, "farther")
	d.closeGroup(start, "s", "near", start.Add(300*time.Millisecond), 0)
	is.True(d.UpdateCutOff(start))
	is.True(d.UpdateCutOff(start.Add(5 * time.Second)))
	d.RecordReachable("farther")
	is.True(!d.UpdateCutOff(start.Add(5 * time.Second)))
}

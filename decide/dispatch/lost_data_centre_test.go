package dispatch

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/banyanfront/banyanfront/decide/registry"
)

// dispatcherOfDataCentres returns a dispatcher with n servers in each of the data centres near and far.
func dispatcherOfDataCentres(n int) *Dispatcher {
	d := dispatcher(1, false)
	var known []*registry.Record
	for i := range 2 * n {
		a := registry.Announcement{Server: fmt.Sprint("i", i), Service: "s", Address: fmt.Sprint("10.0.0.1:", i+1), DataCentre: "near", Slots: 12}
		if i >= n {
			a.DataCentre = "far"
		}
		known = append(known, &registry.Record{Announcement: a, ReceivedAt: start})
	}
	d.SetServers(start, known)
	return d
}

func (d *Dispatcher) choiceOf(server string) *Choice {
	s := d.servers[server]
	s.inFlight++
	return &Choice{Server: s.announcement, state: s}
}

// Guards against an instance that tries each server of a data centre that is cut off: of 40, each costs a caller half a
// second. After three, the data centre is excluded as a whole, and what only it could serve is refused at once.
func TestLostDataCentreIsExcludedAsAWhole(t *testing.T) {
	is := is.New(t)
	d := dispatcherOfDataCentres(40)
	for i := range lostAfterServers {
		is.Equal(d.RecordUnreachable(start, d.choiceOf(fmt.Sprint("i", 40+i))), i == lostAfterServers-1)
	}
	now := start.Add(time.Second)
	for range 200 {
		c, refusal := d.Pick(now, Request{Service: "s"})
		is.Equal(refusal, nil)
		is.Equal(c.Server.DataCentre, "near")
		c.Release()
	}
	d.SetEvacuated([]string{"near"})
	_, refusal := d.Pick(now, Request{Service: "s"})
	is.Equal(refusal.Reason, Unreachable)
	is.Equal(refusal.RetryAfter, time.Second) // as long as the outage has lasted
	is.True(d.RecordReachable("far"))
	_, refusal = d.Pick(now, Request{Service: "s"})
	is.Equal(refusal, nil)
}

// Guards against a data centre that is taken for lost because single machines are down, packets are lost, or one server fails
// again and again: any answer from there is a sign of life.
func TestDataCentreWithSignsOfLifeIsNotLost(t *testing.T) {
	is := is.New(t)
	d := dispatcherOfDataCentres(40)
	for i := range 30 {
		is.True(!d.RecordUnreachable(start, d.choiceOf(fmt.Sprint("i", 40+i))))
		if i%2 == 1 {
			d.RecordActivity(start, d.choiceOf("i75"))
		}
	}
	for range 10 {
		is.True(!d.RecordUnreachable(start, d.choiceOf("i40")))
	}
	is.Equal(d.lostSince("far"), time.Time{})
}

// Guards against callers that pay for finding out whether a lost data centre is back: connections without a request do, at an
// interval and each to another server.
func TestLostDataCentreIsProbed(t *testing.T) {
	is := is.New(t)
	d := dispatcherOfDataCentres(4)
	is.Equal(len(d.DueProbes(start)), 0)
	for i := range lostAfterServers {
		d.RecordUnreachable(start, d.choiceOf(fmt.Sprint("i", 4+i)))
	}
	probed := map[string]int{}
	for at := time.Duration(0); at <= 8*ProbeInterval; at += ProbeInterval / 5 {
		for _, a := range d.DueProbes(start.Add(at)) {
			is.Equal(a.DataCentre, "far")
			probed[a.Server]++
		}
	}
	is.Equal(probed, map[string]int{"i4": 2, "i5": 2, "i6": 2, "i7": 2})
	is.True(d.RecordReachable("far"))
	is.True(!d.RecordReachable("far"))
	is.Equal(len(d.DueProbes(start.Add(time.Minute))), 0)
}

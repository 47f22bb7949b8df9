package controlstate

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"github.com/banyanfront/banyanfront/decide/registry"
)

func configure(version uint64, body string) Command {
	return Command{Configure: &Configure{Version: version, Body: []byte(body)}}
}

// Guards against an acknowledged configuration that is replaced by an older one, or by other content of the same version.
func TestOnlyAHigherVersionIsApplied(t *testing.T) {
	is := is.New(t)
	s, changed := State{}.Apply(1, configure(0, "zero"))
	is.True(changed) // version 0 is valid
	s, changed = s.Apply(2, configure(7, "seven"))
	is.True(changed)
	for _, stale := range []Command{configure(7, "other"), configure(3, "three")} {
		next, changed := s.Apply(3, stale)
		is.True(!changed)
		is.Equal(next, s)
	}
	is.Equal(s.Index, uint64(2))
}

// Guards against an evacuation that is lost when another is added, or that persists after the data centre was restored.
func TestEvacuations(t *testing.T) {
	is := is.New(t)
	s := State{}
	for i, step := range []struct {
		name string
		out  bool
		want []string
	}{{"b", true, []string{"b"}}, {"a", true, []string{"a", "b"}}, {"a", true, []string{"a", "b"}}, {"b", false, []string{"a"}}, {"b", false, []string{"a"}}} {
		s, _ = s.Apply(uint64(i+1), Command{Evacuate: &Evacuate{DataCentre: step.name, Evacuated: step.out}})
		is.Equal(s.Evacuated, step.want)
	}
	is.Equal(s.Index, uint64(4)) // commands without effect do not change the index
}

// Guards against an order that reaches the log after it was overtaken: repeated elsewhere, answered there, and followed by
// another order. All interleavings of late copies with the orders that were acknowledged must leave the newest one in force.
func TestOvertakenOrderHasNoEffect(t *testing.T) {
	order := func(s State, evacuated bool) Command {
		return Command{Evacuate: &Evacuate{DataCentre: "a", Evacuated: evacuated, Ordered: true, Follows: s.EvacuationOrder("a")}}
	}
	// Each bit of late decides whether the copy of an order that another instance holds is applied before the next order.
	for orders := range 1 << 5 {
		for late := range 1 << 10 {
			s, index := State{}, uint64(0)
			apply := func(c Command) bool {
				index++
				overtaken := s.Overtaken(c)
				s, _ = s.Apply(index, c)
				return !overtaken
			}
			var held []Command
			for i := range 5 {
				evacuated := orders>>i&1 == 1
				held = append(held, order(s, evacuated)) // received by an instance that stands still from now on
				for !apply(order(s, evacuated)) {
				}
				for j, c := range held {
					if late>>((i+j)%10)&1 == 1 && apply(c) {
						t.Fatalf("orders %05b, late %010b: copy %d had an effect after order %d", orders, late, j, i)
					}
				}
				if got := len(s.Evacuated) == 1; got != evacuated {
					t.Fatalf("orders %05b, late %010b: evacuated %v after order %d", orders, late, got, i)
				}
			}
		}
	}
}

// Guards against an assignment that keeps an old lease, and against one that makes entry instances fetch the whole state.
func TestCoordinatorsAreAssigned(t *testing.T) {
	is := is.New(t)
	apply := func(s State, index uint64, c ...Coordinator) State {
		next, changed := s.Apply(index, Command{Coordinate: c})
		is.True(changed)
		is.Equal(next.Index, s.Index)
		return next
	}
	first := apply(State{Index: 3}, 4, Coordinator{Group: "b", Instance: "x", Deputy: "y"}, Coordinator{Group: "a", Instance: "y"})
	is.Equal(first.Coordinators, []Coordinator{{Group: "a", Instance: "y", Lease: 4}, {Group: "b", Instance: "x", Deputy: "y", Lease: 4}})
	second := apply(first, 5, Coordinator{Group: "b", Instance: "y"}, Coordinator{Group: "a"}, Coordinator{Group: "none"})
	is.Equal(second.Coordinators, []Coordinator{{Group: "b", Instance: "y", Lease: 5}})
	is.Equal(second.Coordinator("b").Lease, uint64(5))
	is.Equal(second.Coordinator("a"), Coordinator{})
	is.Equal(first.Coordinator("b").Lease, uint64(4)) // earlier states are not modified
}

// Guards against a departure that an older announcement of the server takes back, one that makes entry instances fetch the whole state,
// and a state that grows with each server that has ever left.
func TestDeparturesAreKept(t *testing.T) {
	is := is.New(t)
	s := State{Index: 3}
	depart := func(index uint64, server string, state registry.State, sequence uint64) bool {
		next, changed := s.Apply(index, Command{Depart: &registry.Announcement{Server: server, StartedAtMillis: 5, Sequence: sequence, State: state}})
		is.Equal(next.Index, uint64(3))
		s = next
		return changed
	}
	is.True(depart(4, "a", registry.Draining, 7))
	is.True(depart(5, "b", registry.Draining, 1))
	is.True(depart(6, "a", registry.Deregistered, 0))
	is.True(!depart(7, "a", registry.Draining, 8))
	is.Equal(len(s.Departures), 2)
	is.Equal(s.DeparturesAfter(5), []Departure{{registry.Announcement{Server: "a", StartedAtMillis: 5, State: registry.Deregistered}, 6}})
	is.Equal(len(s.DeparturesAfter(6)), 0)
	is.Equal(len(s.ForEntryInstances().Departures), 0)
	for i := range uint64(3 * maxDepartures) {
		depart(8+i, fmt.Sprint(i), registry.Deregistered, 0)
	}
	is.Equal(len(s.Departures), maxDepartures)
	is.Equal(s.Departures[0].Index, uint64(8+2*maxDepartures))
}

package statemachine

import (
	"math/rand/v2"
	"testing"

	"github.com/matryer/is"

	"github.com/banyanfront/banyanfront/decide/fleet"
)

func randomRecords(r *rand.Rand) []DataCentreRecord {
	var result []DataCentreRecord
	for _, name := range []fleet.DataCentre{"a", "b", "c"} {
		if r.IntN(3) > 0 {
			result = append(result, DataCentreRecord{Name: name, Term: r.Uint64N(3), Out: r.IntN(2) == 0, At: r.Int64N(2),
				Author: []string{"x", "y"}[r.IntN(2)], Reason: []string{"", "z"}[r.IntN(2)]})
		}
	}
	return MergeDataCentres(result, nil)
}

// Guards against entry instances that receive the same records by gossip in different orders and end in different states.
func TestMergeIsCommutativeAssociativeIdempotent(t *testing.T) {
	is := is.New(t)
	r := rand.New(rand.NewPCG(1, 2))
	for range 20000 {
		a, b, c := randomRecords(r), randomRecords(r), randomRecords(r)
		is.Equal(MergeDataCentres(a, b), MergeDataCentres(b, a))
		is.Equal(MergeDataCentres(MergeDataCentres(a, b), c), MergeDataCentres(a, MergeDataCentres(b, c)))
		is.Equal(MergeDataCentres(a, a), a)
		for _, m := range MergeDataCentres(a, b) {
			x, y := FindDataCentre(a, m.Name), FindDataCentre(b, m.Name)
			is.Equal(m.Term, max(x.Term, y.Term))
			if x.Term == y.Term {
				is.Equal(m.Out, x.Out || y.Out) // an evacuation wins ties
			}
		}
	}
}

// Guards against a restore that overrides an evacuation unknown to the group, and against lost or resent commands.
func TestEvacuateAndRestoreDataCentre(t *testing.T) {
	is := is.New(t)
	s := New(Limits{})
	first := NextEvacuation(s.dataCentres, "norte", "marta", "cooling", 100)
	is.Equal(s.Apply(1, &EvacuateDataCentre{first}).Code, OK)
	is.Equal(s.Apply(2, &EvacuateDataCentre{first}).Code, Repeated)

	// The minority side of a partition has received the first evacuation and evacuates the data centre again.
	minority := NextEvacuation(s.dataCentres, "norte", "juan", "fire", 200)
	is.Equal(minority.Term, uint64(2))
	is.Equal(NextEvacuation([]DataCentreRecord{minority}, "norte", "juan", "fire", 200), minority) // resent

	restore := &RestoreDataCentre{Name: "norte", ObservedTerm: 1, Author: "marta", At: 300}
	is.Equal(s.Apply(3, restore).Code, OK)
	is.Equal(s.Apply(4, restore).Code, Repeated)
	is.True(!s.View().Evacuated(nil, "norte"))
	is.True(s.View().Evacuated([]DataCentreRecord{minority}, "norte")) // applies wherever its record has arrived
	is.Equal(s.Apply(5, &EvacuateDataCentre{minority}).Code, OK)
	is.True(s.View().Evacuated(nil, "norte"))

	is.Equal(s.Apply(6, &RestoreDataCentre{Name: "norte", ObservedTerm: 1, Author: "ana"}).Code, Conflict)
	is.Equal(s.Apply(7, &RestoreDataCentre{Name: "norte", ObservedTerm: 5, Author: "ana"}).DataCentre.Term, uint64(6)) // an evacuation with term 5 was received by gossip
	is.Equal(s.Apply(8, &EvacuateDataCentre{minority}).Code, Stale)
	is.Equal(s.Apply(9, &RestoreDataCentre{Author: "ana"}).Code, Refused)
}

package agreed

import (
	"math/rand/v2"
	"testing"

	"github.com/matryer/is"

	"github.com/banyanfront/banyanfront/decide/fleet"
)

func randomRecords(r *rand.Rand) []CentreRecord {
	var result []CentreRecord
	for _, name := range []fleet.DataCentre{"a", "b", "c"} {
		if r.IntN(3) > 0 {
			result = append(result, CentreRecord{Name: name, Term: r.Uint64N(3), Out: r.IntN(2) == 0, At: r.Int64N(2),
				Author: []string{"x", "y"}[r.IntN(2)], Reason: []string{"", "z"}[r.IntN(2)]})
		}
	}
	return Merge(result, nil)
}

// Guards against entry instances that gossip the same records in different orders and end with different states.
func TestMergeIsCommutativeAssociativeIdempotent(t *testing.T) {
	is := is.New(t)
	r := rand.New(rand.NewPCG(1, 2))
	for range 20000 {
		a, b, c := randomRecords(r), randomRecords(r), randomRecords(r)
		is.Equal(Merge(a, b), Merge(b, a))
		is.Equal(Merge(Merge(a, b), c), Merge(a, Merge(b, c)))
		is.Equal(Merge(a, a), a)
		for _, m := range Merge(a, b) {
			x, y := Find(a, m.Name), Find(b, m.Name)
			is.Equal(m.Term, max(x.Term, y.Term))
			if x.Term == y.Term {
				is.Equal(m.Out, x.Out || y.Out) // out wins ties
			}
		}
	}
}

// Guards against an in that overrides an out which the group has not seen, and against lost or repeated commands.
func TestDataCentreOutAndIn(t *testing.T) {
	is := is.New(t)
	s := New(Limits{})
	first := NextOut(s.centres, "norte", "marta", "cooling", 100)
	is.Equal(s.Apply(1, &TakeOut{first}).Code, OK)
	is.Equal(s.Apply(2, &TakeOut{first}).Code, Repeated)

	// A minority side has seen the first out and takes the data centre out again.
	minority := NextOut(s.centres, "norte", "juan", "fire", 200)
	is.Equal(minority.Term, uint64(2))
	is.Equal(NextOut([]CentreRecord{minority}, "norte", "juan", "fire", 200), minority) // resent

	in := &BringIn{Name: "norte", SeenTerm: 1, Author: "marta", At: 300}
	is.Equal(s.Apply(3, in).Code, OK)
	is.Equal(s.Apply(4, in).Code, Repeated)
	is.True(!s.View().Out(nil, "norte"))
	is.True(s.View().Out([]CentreRecord{minority}, "norte")) // in force where it is heard of
	is.Equal(s.Apply(5, &TakeOut{minority}).Code, OK)
	is.True(s.View().Out(nil, "norte"))

	is.Equal(s.Apply(6, &BringIn{Name: "norte", SeenTerm: 1, Author: "ana"}).Code, Conflict)
	is.Equal(s.Apply(7, &BringIn{Name: "norte", SeenTerm: 5, Author: "ana"}).Centre.Term, uint64(6)) // has seen an out outside the log
	is.Equal(s.Apply(8, &TakeOut{minority}).Code, Stale)
	is.Equal(s.Apply(9, &BringIn{Author: "ana"}).Code, Refused)
}

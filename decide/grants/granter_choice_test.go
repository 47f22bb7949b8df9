package grants

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against two control instances that each grant the whole limit of a server, as entry instances on both sides of a cut ask
// different ones.
func TestGrantersOnBothSidesOfACutKeepTheLimit(t *testing.T) {
	is := is.New(t)
	for service := range 20 {
		name := fmt.Sprint("s", service)
		here := []Control{{Address: "a"}, {Address: "b"}, {Address: "c"}}
		there := []Control{{Address: "a", LostAt: start}, {Address: "b"}, {Address: "c"}}
		const limit = 5.0
		type grantedBy struct {
			address     string
			standsInFor int
		}
		granters := map[grantedBy]*Granter{}
		var granted []time.Time
		for at := start; at.Before(start.Add(20 * time.Second)); at = at.Add(10 * time.Millisecond) {
			for _, controls := range [][]Control{here, there} {
				address, standsInFor := ChooseGranter(at, name, controls)
				key := grantedBy{address, standsInFor}
				if granters[key] == nil {
					granters[key] = New()
				}
				granters[key].Update(at, []Limit{{"x", limit * DeputyRatio(standsInFor)}})
				servers, _ := granters[key].Grant(at, 3)
				for range servers {
					granted = append(granted, at)
				}
			}
		}
		for i, first := range granted {
			end, _ := slices.BinarySearchFunc(granted, first.Add(4*time.Second), time.Time.Compare)
			is.True(end-i <= 1.5*4*limit+5)
		}
	}
}

// Guards against entry instances that ask different control instances although they reach the same ones, and against limits of which
// half is not used for good once a control instance has been replaced.
func TestAllAskTheSameGranter(t *testing.T) {
	is := is.New(t)
	address, standsInFor := ChooseGranter(start, "s", []Control{{Address: "a"}, {Address: "b"}, {Address: "c"}})
	other, _ := ChooseGranter(start, "s", []Control{{Address: "c"}, {Address: "a"}, {Address: "b"}})
	is.Equal(other, address)
	is.Equal(standsInFor, 0)
	controls := []Control{{Address: "a"}, {Address: "b"}, {Address: "c"}}
	lost := slices.IndexFunc(controls, func(c Control) bool { return c.Address == address })
	controls[lost].LostAt = start
	deputy, standsInFor := ChooseGranter(start.Add(time.Second), "s", controls)
	is.True(deputy != address)
	is.Equal(standsInFor, 1)
	_, standsInFor = ChooseGranter(start.Add(lostFor+time.Second), "s", controls)
	is.Equal(standsInFor, 0)
	none, _ := ChooseGranter(start, "s", []Control{{Address: "a", LostAt: start}})
	is.Equal(none, "")
}

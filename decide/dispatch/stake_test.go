package dispatch

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"github.com/banyanfront/banyanfront/decide/registry"
)

// Guards against a crash that is taken for as cheap as any other though it stops a whole service.
func TestCrashOfARankStakesTheRequestsOfItsGroup(t *testing.T) {
	is := is.New(t)
	stake := func(instances, groups, ranks, requests int) float64 {
		d := dispatcher(instances, true)
		d.SetInstances(instances)
		var known []*registry.Record
		for i := range max(groups, 1) * ranks {
			a := registry.Announcement{Server: fmt.Sprint("i", i), Service: "s", Address: fmt.Sprint("10.0.0.1:", i+1), DataCentre: "near", Slots: 12}
			if groups > 0 {
				a.Group = registry.Group{Name: fmt.Sprint("g", i/ranks), Rank: i % ranks, Size: ranks}
			}
			known = append(known, &registry.Record{ReceivedAt: start, Announcement: a})
		}
		d.SetServers(start, known)
		for range requests {
			d.RecordRequest(start, "s")
		}
		c, refusal := d.Pick(start, Request{Service: "s"})
		is.Equal(refusal, nil)
		return d.AtStake(start, c)
	}
	is.Equal(stake(1, 0, 12, 100), 0.0) // the other servers share the load
	one := stake(1, 1, 12, 100)
	is.True(one > 0)
	is.Equal(stake(4, 1, 12, 25), one) // the other instances have as many
	is.Equal(stake(1, 4, 12, 100), one/4)
	is.Equal(stake(1, 1, 12, 0), 0.0)
}

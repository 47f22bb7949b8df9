package dispatch

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/banyanfront/banyanfront/decide/registry"
)

// Guards against streams that are sent to a group which has just opened again, after its data centre was cut off, while
// another one keeps the pace: its expert map is unbalanced and its engines are empty, so that by load alone it would get
// all of them. Once it keeps the pace, or the other group is half of its slots fuller, it gets its share.
func TestGroupThatHasJustReturnedGetsNoStreamsItWouldDelay(t *testing.T) {
	is := is.New(t)
	const bound = 150 * time.Millisecond
	d := dispatcher(1, true)
	var known []*registry.Record
	for i := range 8 {
		known = append(known, &registry.Record{ReceivedAt: start, Announcement: registry.Announcement{Server: fmt.Sprint("i", i), Service: "s",
			Address: fmt.Sprint("10.0.0.1:", i+1), DataCentre: "near", Slots: 12, Group: registry.Group{Name: fmt.Sprint("g", i/4), Rank: i % 4, Size: 4}}})
	}
	d.SetServers(start, known)
	now := start
	chosen := func(loads0, loads1 []int, gap0, gap1 time.Duration) map[string]int {
		groups := map[string]int{}
		for i := range 50 {
			now = now.Add(50 * time.Millisecond)
			for _, s := range d.servers {
				s.announcedAt = now
			}
			d.RecordGroupLoads(now, "s", "g0", loads0)
			d.RecordGroupLoads(now, "s", "g1", loads1)
			d.RecordEventGap(now, &Choice{state: d.servers["i0"]}, gap0)
			d.RecordEventGap(now, &Choice{state: d.servers["i4"]}, gap1)
			c, refusal := d.Pick(now, Request{Service: "s", MaxEventGap: bound})
			is.Equal(refusal, nil)
			if i >= 10 { // earlier, the gaps of the previous phase still count
				groups[c.Server.Group.Name]++
			}
			c.Release()
		}
		return groups
	}
	busy, empty := []int{4, 4, 4, 4}, []int{0, 0, 0, 0}
	is.Equal(chosen(empty, busy, 2*bound, bound/2)["g0"], 0)
	is.True(chosen(empty, busy, bound/2, bound/2)["g0"] > 30)
	is.Equal(chosen(empty, []int{8, 8, 8, 8}, 2*bound, bound/2)["g1"], 0)
}

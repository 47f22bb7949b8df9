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

// Guards against callers who are refused for an announcement interval after a lock-step group has opened again, and against a group that is
// used before it has: what is known of its opening is of an earlier epoch.
func TestGroupIsUsedOnceItsRanksRunAgain(t *testing.T) {
	is := is.New(t)
	d := dispatcher(1, true)
	rank := func(n int, epoch uint64, broken bool, receivedAt time.Time) *registry.Record {
		return &registry.Record{ReceivedAt: receivedAt, Announcement: registry.Announcement{Server: fmt.Sprint("i", n), Service: "s",
			Address: fmt.Sprint("10.0.0.1:", n+1), DataCentre: "near", Slots: 12, Group: registry.Group{Name: "g", Rank: n, Size: 2, Epoch: epoch, Broken: broken}}}
	}
	usable := func(now time.Time) bool {
		c, refusal := d.Pick(now, Request{Service: "s"})
		if refusal != nil {
			is.Equal(refusal.Reason, GroupClosed)
			return false
		}
		c.Release()
		return true
	}
	now := start
	d.SetServers(now, []*registry.Record{rank(0, 1, false, now), rank(1, 1, false, now)})
	d.RecordGroupOpen(now, "s", "g", 1)
	is.True(usable(now))

	now = now.Add(time.Second)
	d.SetServers(now, []*registry.Record{rank(0, 1, true, now), rank(1, 1, false, now)})
	is.True(!usable(now))
	d.RecordGroupOpen(now, "s", "g", 1) // of before the end
	is.True(!usable(now))
	now = now.Add(100 * time.Millisecond)
	d.RecordGroupOpen(now, "s", "g", 2)
	is.True(usable(now))
	d.SetServers(now, []*registry.Record{rank(0, 1, true, now), rank(1, 1, true, now)}) // announced before it opened
	is.True(usable(now))

	c, _ := d.Pick(now, Request{Service: "s"})
	d.closeGroup(now, "s", "g", now.Add(time.Second), 2) // a rank is lost again
	c.Release()
	d.RecordGroupOpen(now, "s", "g", 2)
	is.True(!usable(now))
	is.True(usable(now.Add(time.Second)))
}

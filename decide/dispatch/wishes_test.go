package dispatch

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/banyanfront/banyanfront/decide/registry"
)

// pickCounts returns how many of n requests each server is chosen for, released at once, and the last refusal.
func pickCounts(d *Dispatcher, now time.Time, n int, request Request) (counts map[string]int, refusal *Refusal) {
	counts = map[string]int{}
	for range n {
		c, r := d.Pick(now, request)
		if r != nil {
			refusal = r
			continue
		}
		counts[c.Server.Server]++
		c.Release()
	}
	return counts, refusal
}

// choiceOf returns a choice of a server.
func choiceOf(d *Dispatcher, id string) *Choice {
	s := d.servers[id]
	return &Choice{Server: s.announcement, state: s}
}

// announcedAgain returns the announcements of all servers, changed by change.
func announcedAgain(d *Dispatcher, now time.Time, change func(a *registry.Announcement)) []*registry.Record {
	var known []*registry.Record
	for _, s := range d.servers {
		a := s.announcement
		change(&a)
		known = append(known, &registry.Record{Announcement: a, ReceivedAt: now})
	}
	return known
}

// Guards against requests to a server that has said that it leaves: while another one can take them, after its drain time, and after
// it was announced as ready, elsewhere or not at all for a while. Its next life gets requests.
func TestLeavingServerGetsNoRequests(t *testing.T) {
	is := is.New(t)
	d := dispatcher(2, false)
	d.config.DrainTime = 2 * time.Second
	is.True(d.RecordLeaving(start, choiceOf(d, "i0")))
	is.True(!d.RecordLeaving(start.Add(time.Second), choiceOf(d, "i0")))
	counts, _ := pickCounts(d, start, 20, Request{Service: "s"})
	is.Equal(counts, map[string]int{"i1": 20})

	at := start.Add(2 * time.Second)
	for _, request := range []Request{{Service: "s", Tried: []string{"i1"}}, {Service: "s", Tried: []string{"i1"}, ArrivedAt: at}} {
		counts, _ = pickCounts(d, at, 1, request)
		is.Equal(counts, map[string]int{"i0": 1}) // the only one left, and within its drain time
	}
	at = start.Add(time.Minute)
	late := Request{Service: "s", Tried: []string{"i1"}, ArrivedAt: start.Add(2*time.Second + 1)}
	early := Request{Service: "s", Tried: []string{"i1"}, ArrivedAt: start.Add(2 * time.Second)}
	for _, known := range [][]*registry.Record{
		announcedAgain(d, at, func(a *registry.Announcement) { a.Sequence++ }),
		announcedAgain(d, at, func(a *registry.Announcement) { a.Address += "0" }),
		announcedAgain(d, at, func(a *registry.Announcement) { a.StartedAtMillis -= 5 }), // a late announcement of an earlier life
	} {
		d.SetServers(at, nil) // forgotten for a while
		d.SetServers(at, known)
		if known[0].StartedAtMillis < 0 {
			d.SetServers(at, announcedAgain(d, at, func(a *registry.Announcement) { a.StartedAtMillis += 5 }))
		}
		counts, _ = pickCounts(d, at, 1, late)
		is.Equal(len(counts), 0)
		counts, _ = pickCounts(d, at, 1, early)
		is.Equal(counts["i0"], 1)
	}
	d.SetServers(at, announcedAgain(d, at, func(a *registry.Announcement) { a.StartedAtMillis = 9 }))
	counts, _ = pickCounts(d, at, 1, late)
	is.Equal(counts["i0"], 1)
	is.Equal(len(d.wishes), 0)
}

// Guards against wishes that are kept for good: those of servers that never come back.
func TestWishesOfLostServersAreForgotten(t *testing.T) {
	is := is.New(t)
	d := dispatcher(3, false)
	for _, id := range []string{"i0", "i1", "i2"} {
		d.RecordLeaving(start, choiceOf(d, id))
	}
	d.SetServers(start.Add(wishesKeptFor+1), nil)
	is.Equal(len(d.wishes), 0)
}

// Guards against requests to a server that wants none for a while, against a time that an earlier word has named and a later one
// shortens, and against callers who are kept waiting, or sent back to come together.
func TestQuietServerGetsNoRequests(t *testing.T) {
	is := is.New(t)
	d := dispatcher(2, false)
	is.True(d.RecordQuiet(start, choiceOf(d, "i0"), 8*time.Second))
	is.True(!d.RecordQuiet(start.Add(time.Second), choiceOf(d, "i0"), time.Second))
	at := start.Add(8*time.Second - 1)
	counts, _ := pickCounts(d, at, 20, Request{Service: "s"})
	is.Equal(counts, map[string]int{"i1": 20})
	is.True(d.RecordQuiet(start, choiceOf(d, "i1"), 10*time.Second))
	earliest, latest := time.Hour, time.Duration(0)
	for range 200 {
		_, refusal := d.Pick(start, Request{Service: "s"})
		is.Equal(refusal.Reason, Quiet)
		earliest, latest = min(earliest, refusal.RetryAfter), max(latest, refusal.RetryAfter)
	}
	is.True(earliest >= 8*time.Second) // the first one that wants work again
	is.True(latest > earliest+maxQuietSpread/2)
	is.True(latest <= 8*time.Second+maxQuietSpread)
	counts, _ = pickCounts(d, start.Add(8*time.Second), 5, Request{Service: "s"})
	is.Equal(counts, map[string]int{"i0": 5})

	is.True(d.RecordQuiet(start, choiceOf(d, "i0"), 1e9*time.Second))
	_, refusal := d.Pick(start.Add(8*time.Second), Request{Service: "s"})
	is.Equal(refusal.Reason, Quiet)
	d.SetServers(start, announcedAgain(d, start, func(a *registry.Announcement) { a.StartedAtMillis++ }))
	counts, _ = pickCounts(d, start, 4, Request{Service: "s"})
	is.Equal(len(counts), 2) // their next lives have asked for nothing
}

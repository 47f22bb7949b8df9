package registry

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

func at(seconds int) time.Time { return time.Unix(int64(seconds), 0) }

func announcement(id, address string, startedAtMillis int64, sequence uint64, state State) Announcement {
	return Announcement{Server: id, Service: "s", Address: address, DataCentre: "z", StartedAtMillis: startedAtMillis, Sequence: sequence, State: state}
}

func current(r *Registry) []string {
	var ids []string
	for _, k := range r.Current() {
		ids = append(ids, k.Server)
	}
	return ids
}

// Guards against a late announcement that overrides a newer one.
func TestOlderAnnouncementIsIgnored(t *testing.T) {
	is := is.New(t)
	r := New(time.Minute)
	r.Observe(at(1), announcement("a", "h:1", 5, 3, Draining))
	is.True(!r.Observe(at(2), announcement("a", "h:1", 5, 2, Ready)))
	is.Equal(r.Get("a").State, Draining)
	is.Equal(r.Get("a").ReceivedAt, at(1))
}

// Guards against a server that is used again after its deregistration, because an earlier announcement arrives late, and
// against a restarted server that stays excluded.
func TestDeregisteredServerReturnsOnlyAfterRestart(t *testing.T) {
	is := is.New(t)
	r := New(time.Minute)
	r.Observe(at(1), announcement("a", "h:1", 5, 3, Ready))
	r.Observe(at(2), Announcement{Server: "a", State: Deregistered})
	r.Observe(at(3), announcement("a", "h:1", 5, 4, Ready))
	is.Equal(current(r), nil)
	r.Observe(at(4), announcement("a", "h:1", 9, 1, Ready))
	is.Equal(current(r), []string{"a"})
}

// Guards against requests to a server whose address is now used by another one, when the old server's last announcement
// arrives after the new server's first.
func TestOnlyNewestServerOfAnAddressIsCurrent(t *testing.T) {
	is := is.New(t)
	r := New(time.Minute)
	r.Observe(at(1), announcement("new", "h:1", 9, 1, Ready))
	r.Observe(at(2), announcement("old", "h:1", 5, 7, Ready))
	is.Equal(current(r), []string{"new"})
}

// Guards against registries that differ depending on the order in which announcements arrive.
func TestMergeIsIndependentOfTheOrder(t *testing.T) {
	is := is.New(t)
	announcements := []Announcement{
		announcement("a", "h:1", 5, 1, Ready), announcement("a", "h:1", 5, 2, Draining), announcement("a", "h:1", 5, 9, Deregistered), announcement("a", "h:1", 7, 1, Ready),
		announcement("a", "h:1", 7, 2, Draining),
	}
	var permute func(rest, prefix []Announcement)
	permute = func(rest, prefix []Announcement) {
		if len(rest) == 0 {
			r := New(time.Minute)
			for _, a := range prefix {
				r.Observe(at(1), a)
			}
			is.Equal(r.Get("a").Announcement, announcements[4])
		}
		for i := range rest {
			others := append(append([]Announcement{}, rest[:i]...), rest[i+1:]...)
			permute(others, append(prefix[:len(prefix):len(prefix)], rest[i]))
		}
	}
	permute(announcements, nil)
}

// Guards against crashed servers that are never removed.
func TestSilentServerExpires(t *testing.T) {
	is := is.New(t)
	r := New(10 * time.Second)
	r.Observe(at(1), announcement("a", "h:1", 5, 1, Ready))
	r.Observe(at(8), announcement("b", "h:2", 5, 1, Ready))
	is.Equal(r.Expire(at(12)), []string{"a"})
	is.Equal(current(r), []string{"b"})
}

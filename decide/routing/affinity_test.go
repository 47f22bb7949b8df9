package routing

import (
	"math"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/banyanfront/banyanfront/decide/fleet"
)

// Guards against entries that stay valid for too long or across incarnations, against duplicate cache events, and against a
// crash on malformed ones.
func TestAffinityEntryValidity(t *testing.T) {
	prefix := testPrefix(1, 16)
	at := func(d time.Duration) time.Time { return testStart.Add(d) }
	cases := []struct {
		name   string
		events func(a *Affinity, s *fleet.Snapshot)
		after  time.Duration
		want   int // blocks
		stats  AffinityStats
	}{
		{"stored", func(*Affinity, *fleet.Snapshot) {}, time.Second, 16, AffinityStats{Stored: 16}},
		{"expired", func(*Affinity, *fleet.Snapshot) {}, cacheEventTTL + 2*time.Second, 0, AffinityStats{Stored: 16}},
		{"end removed", func(a *Affinity, _ *fleet.Snapshot) {
			a.Apply(at(time.Second), &CacheEvent{Server: "engine-0002", Incarnation: 1, Sequence: 2, Removed: prefix[8:]})
		}, 2 * time.Second, 8, AffinityStats{Stored: 16, Removed: 8}},
		{"cleared", func(a *Affinity, _ *fleet.Snapshot) {
			a.Apply(at(2*time.Second), &CacheEvent{Server: "engine-0002", Incarnation: 1, Sequence: 2, Cleared: true})
		}, 3 * time.Second, 0, AffinityStats{Stored: 16}},
		{"gap, shortly after", func(a *Affinity, _ *fleet.Snapshot) {
			a.Apply(at(2*time.Second), &CacheEvent{Server: "engine-0002", Incarnation: 1, Sequence: 5})
		}, 3 * time.Second, 16, AffinityStats{Stored: 16, Gaps: 1}},
		{"gap, later", func(a *Affinity, _ *fleet.Snapshot) {
			a.Apply(at(2*time.Second), &CacheEvent{Server: "engine-0002", Incarnation: 1, Sequence: 5})
		}, 5*time.Second + sequenceGapTTL, 0, AffinityStats{Stored: 16, Gaps: 1}},
		{"repeated", func(a *Affinity, _ *fleet.Snapshot) {
			a.Apply(at(time.Second), &CacheEvent{Server: "engine-0002", Incarnation: 1, Sequence: 1, Removed: prefix})
		}, 2 * time.Second, 16, AffinityStats{Stored: 16, Old: 1}},
		{"unknown server and incarnation", func(a *Affinity, _ *fleet.Snapshot) {
			a.Apply(at(time.Second), &CacheEvent{Server: "engine-9999", Incarnation: 1, Sequence: 1, Stored: prefix})
			a.Apply(at(time.Second), &CacheEvent{Server: "engine-0002", Incarnation: 9, Sequence: 2, Cleared: true})
		}, 2 * time.Second, 16, AffinityStats{Stored: 16, Unknown: 2}},
		{"oversized", func(a *Affinity, _ *fleet.Snapshot) {
			a.Apply(at(time.Second), &CacheEvent{Server: "engine-0002", Incarnation: 1, Sequence: 2, Removed: make([]uint64, maxEventBlocks+1)})
		}, 2 * time.Second, 16, AffinityStats{Stored: 16, Oversized: 1}},
		{"new incarnation", func(a *Affinity, s *fleet.Snapshot) {
			s.Servers[2].Incarnation = 2
			a.Sync(s, at(2*time.Second))
		}, 3 * time.Second, 0, AffinityStats{Stored: 16}},
		{"server removed, handle reused", func(a *Affinity, s *fleet.Snapshot) {
			s.Servers[2].Server = "engine-0002b"
			a.Sync(s.Build(), at(2*time.Second))
		}, 3 * time.Second, 0, AffinityStats{Stored: 16}},
		{"positions change", func(_ *Affinity, s *fleet.Snapshot) {
			s.Servers = append(s.Servers, fleet.Server{Announcement: fleet.Announcement{Server: "a-new-one"}})
			s.Build()
		}, time.Second, 16, AffinityStats{Stored: 16}},
	}
	for _, c := range cases {
		s := testSnapshot(12, 4)
		a := NewAffinity(minSlots, testStart)
		a.Sync(s, testStart)
		a.Apply(testStart, &CacheEvent{Server: "engine-0002", Incarnation: 1, Sequence: 1, Stored: prefix})
		c.events(a, s)
		var found [ways]int32
		blocks, n := a.deepestMatch(s, prefix, at(c.after), &found)
		if blocks != c.want || (n == 1) != (c.want > 0) {
			t.Errorf("%s: %d blocks at %d servers, want %d", c.name, blocks, n, c.want)
		} else if n == 1 && s.Servers[found[0]].Server != "engine-0002" {
			t.Errorf("%s: holder %s, want engine-0002", c.name, s.Servers[found[0]].Server)
		}
		if got := a.Stats(); got != c.stats {
			t.Errorf("%s: stats %+v, want %+v", c.name, got, c.stats)
		}
	}
}

// Guards against a table that grows, or that evicts fresh entries before old ones, with ten times as many blocks as slots
// and more servers than handles.
func TestAffinitySizeIsBounded(t *testing.T) {
	s := testSnapshot(maxHandles+10, 4)
	a := NewAffinity(minSlots, testStart.Add(time.Hour))
	a.Sync(s, testStart) // before the time at which the table was created
	for i := range 10 * minSlots / 16 {
		a.RecordSent(testStart.Add(time.Duration(i)*time.Second), s.Servers[i].Server, testPrefix(uint64(i), 16))
	}
	a.RecordSent(testStart, s.Servers[maxHandles+5].Server, testPrefix(0, 16))
	now := testStart.Add(2 * time.Hour)
	a.RecordSent(now, s.Servers[7].Server, testPrefix(99999, 16))
	var found [ways]int32
	if blocks, _ := a.deepestMatch(s, testPrefix(99999, 16), now, &found); blocks != 16 || len(a.slots) != minSlots {
		t.Errorf("%d of 16 fresh blocks found, %d slots", blocks, len(a.slots))
	}
}

// Guards against a data race between traffic goroutines that read the table and the control goroutine that writes it.
func TestAffinityConcurrent(t *testing.T) {
	s := testSnapshot(12, 4)
	a := NewAffinity(minSlots, testStart)
	var readers sync.WaitGroup
	for i := range 4 {
		readers.Go(func() {
			rng := rand.New(rand.NewPCG(uint64(i), 1))
			for range 500 {
				r := &Request{Target: fleet.Target{Name: "model"}, Prefix: testPrefix(rng.Uint64N(9), 16), Now: testStart}
				a.RecordSent(testStart, s.Servers[NewBalanced(a).Pick(s, r, rng).Server].Server, r.Prefix)
			}
		})
	}
	for i := range 500 {
		a.Sync(s, testStart)
		a.Apply(testStart, &CacheEvent{Server: "engine-0002", Incarnation: 1, Sequence: uint64(i + 1), Stored: testPrefix(1, 16), Removed: testPrefix(2, 16)})
	}
	readers.Wait()
}

// Guards against preferring a prefix holder that is full, excluded or much more loaded, and against ignoring a suitable
// one.
func TestPickPrefersHolder(t *testing.T) {
	cases := []struct {
		name     string
		running  int
		excluded string
		want     bool
	}{{"as loaded as the others", 8, "", true}, {"full", 20, "", false}, {"much more loaded", 17, "", false}, {"excluded", 8, "dead", false}}
	for _, c := range cases {
		s := testSnapshot(12, 2)
		for i := range s.Servers {
			s.Servers[i].Load.Running = 8
		}
		s.Servers[4].Load.Running, s.Servers[4].ExclusionReason = c.running, c.excluded
		a := NewAffinity(minSlots, testStart)
		a.Sync(s, testStart)
		prefix := testPrefix(1, 16)
		a.RecordSent(testStart, s.Servers[4].Server, prefix)
		d := NewBalanced(a).Pick(s, &Request{Target: fleet.Target{Name: "model"}, Prefix: prefix, Now: testStart}, rand.New(rand.NewPCG(1, 1)))
		if (d.Server == 4 && d.Explain.Blocks == 16) != c.want {
			t.Errorf("%s: server %d, %+v, want the holder: %t", c.name, d.Server, d.Explain, c.want)
		}
	}
}

// Guards against equal hashes for prompts that differ before the block's end or in target, and different ones otherwise.
func TestAppendPrefix(t *testing.T) {
	prompt := make([]byte, 4*PrefixBlockBytes+10)
	target := fleet.Target{Name: "model"}
	base := AppendPrefix(nil, target, prompt)
	prompt[2*PrefixBlockBytes] = 1
	other := AppendPrefix(nil, target, prompt)
	if len(base) != 4 || base[1] != other[1] || base[2] == other[2] || base[3] == other[3] {
		t.Errorf("chained hashes %x and %x, want the first two of four equal", base, other)
	}
	if adapter := AppendPrefix(nil, fleet.Target{Name: "model", Adapter: "a"}, prompt); adapter[0] == other[0] {
		t.Error("two adapters share a prefix hash")
	}
	if n := len(AppendPrefix(nil, target, make([]byte, 1<<20))); n != MaxPrefixBlocks {
		t.Errorf("%d blocks of a prompt of 1 MiB, want %d", n, MaxPrefixBlocks)
	}
}

// Guards against counting impossible figures of a report as capacity, and against reordered reports.
func TestSanitiseLoad(t *testing.T) {
	good := fleet.Load{Incarnation: 2, Sequence: 5, Limit: 20, Running: 3, KVUsed: 0.5, Phase: fleet.PhaseServing}
	cases := []struct {
		change func(*fleet.Load)
		faults int
	}{
		{func(*fleet.Load) {}, 0},
		{func(l *fleet.Load) { l.Limit = 1_000_000_000 }, 1},
		{func(l *fleet.Load) { l.Limit, l.Running = -1, -1 }, 1},
		{func(l *fleet.Load) { l.Running = math.MaxInt }, 1},
		{func(l *fleet.Load) { l.KVUsed = math.NaN() }, 1},
		{func(l *fleet.Load) { l.KVUsed, l.TimeToFirstToken = math.Inf(1), -1 }, 2},
		{func(l *fleet.Load) { l.InterTokenLatency, l.StepTime, l.Phase = -1, -1, 99 }, 3},
	}
	for i, c := range cases {
		l := good
		c.change(&l)
		got, faults := SanitiseLoad(l)
		if again, remaining := SanitiseLoad(got); faults != c.faults || remaining != 0 || again != got || got.Limit > maxPlausibleLimit {
			t.Errorf("case %d: %d faults, want %d; %d left in %+v", i, faults, c.faults, remaining, got)
		}
	}
	for _, c := range []struct {
		incarnation fleet.Incarnation
		sequence    uint64
		want        bool
	}{{2, 6, true}, {3, 1, true}, {2, 5, false}, {2, 4, false}, {1, 9, false}} {
		if got := IsNewer(good, fleet.Load{Incarnation: c.incarnation, Sequence: c.sequence}); got != c.want {
			t.Errorf("incarnation %d, sequence %d is newer: %t, want %t", c.incarnation, c.sequence, got, c.want)
		}
	}
}

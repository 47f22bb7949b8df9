package membership

import (
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/banyanfront/banyanfront/decide/fleet"
)

// settled returns a network whose members all know each other.
func settled(t *testing.T, n int, seed uint64) *network {
	t.Helper()
	w := newNetwork(n, seed)
	w.run(30 * time.Second)
	for _, x := range w.nodes {
		if x.Instances() != n {
			t.Fatalf("member %d knows %d of %d members after 30 s", x.index, x.Instances(), n)
		}
	}
	return w
}

// Guards against members that do not find each other, and against removals when nothing has failed.
func TestQuietNetworkHasNoRemovals(t *testing.T) {
	for _, n := range []int{2, 3, 24, 100} {
		w := settled(t, n, uint64(n))
		w.loss = 0.02
		w.run(3 * time.Minute)
		if removed := w.removals(0); len(removed) > 0 {
			t.Fatalf("%d members: false removal %+v", n, removed[0])
		}
	}
}

// Guards against a dead member that is never removed, and against live ones removed with it.
func TestDeadMembersAreRemovedEverywhere(t *testing.T) {
	for seed := range uint64(5) {
		is := is.New(t)
		w := settled(t, 24, seed)
		before := len(w.changes)
		w.nodes[0].down, w.nodes[7].down = true, true
		w.run(SummaryLifetime) // until then the other data centres use the last summary
		for _, x := range w.nodes {
			if !x.down {
				is.Equal(x.Representative(), id(1)) // the lowest one that is not suspected takes over
			}
		}
		w.run(25 * time.Second)
		for _, x := range w.nodes {
			if !x.down {
				is.Equal(x.Instances(), 22)
			}
		}
		for _, c := range w.removals(before) {
			is.True(c.Instance == id(0) || c.Instance == id(7))
		}
		w.boot(0, 2)
		w.run(30 * time.Second)
		is.Equal(w.nodes[5].Representative(), id(0))
		is.Equal(w.nodes[5].Instances(), 23)
	}
}

// Guards against removals when processes pause for a few seconds, one or many at a time.
func TestPausesRemoveNobody(t *testing.T) {
	for _, paused := range []int{1, 8, 23} {
		for seed := range uint64(5) {
			w := settled(t, 24, seed)
			before := len(w.changes)
			for i := range paused {
				w.nodes[i].paused = w.now.Add(5 * time.Second)
			}
			w.run(time.Minute)
			if removed := w.removals(before); len(removed) > 0 {
				t.Fatalf("%d paused, seed %d: %+v", paused, seed, removed[0])
			}
			for _, x := range w.nodes {
				for _, m := range x.Members() {
					if m.State != Live || m.Condition != Answering {
						t.Fatalf("%d paused, seed %d: %d still sees %+v", paused, seed, x.index, m)
					}
				}
			}
		}
	}
}

// Guards against a process that takes its own pause for the silence of all others.
func TestOwnPauseBlamesNobody(t *testing.T) {
	for seed := range uint64(10) {
		w := settled(t, 24, seed)
		before := len(w.changes)
		w.nodes[3].paused, w.nodes[3].deaf = w.now.Add(5*time.Second), true
		for range 24 { // the last pings before the pause stay unanswered
			w.output(w.nodes[3], w.nodes[3].Tick(w.now))
		}
		w.run(5*time.Second + 500*time.Millisecond)
		for _, c := range w.changes[before:] {
			if c.node == 3 && c.Instance != id(3) && c.Condition != Answering && c.Condition != Slow {
				t.Fatalf("seed %d: %+v", seed, c)
			}
		}
	}
}

// Guards against a link that fails in one direction, between two members or all around one, and that counts as a dead
// member, or is not noticed, or is blamed on the wrong direction.
func TestConditions(t *testing.T) {
	const late = 800 * time.Millisecond
	cases := []struct {
		name    string
		cut     func(from, to int) bool
		delay   func(from, to int) time.Duration
		sees    Condition // of 1, by 2
		reverse Condition // of 2, by 1
	}{
		{"1 does not hear 2", func(from, to int) bool { return from == 2 && to == 1 }, nil, NotHearing, NotHeard},
		{"2 does not hear 1", func(from, to int) bool { return from == 1 && to == 2 }, nil, NotHeard, NotHearing},
		{"both", func(from, to int) bool { return from+to == 3 && from > 0 && to > 0 }, nil, Unreachable, Unreachable},
		{"slow", nil, func(from, to int) time.Duration {
			if from == 1 {
				return late
			}
			return time.Millisecond
		}, Slow, Slow},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			for seed := range uint64(5) {
				is := is.New(t)
				w := settled(t, 6, seed)
				before := len(w.changes)
				if c.cut != nil {
					w.cut = c.cut
				}
				if c.delay != nil {
					w.delay = c.delay
				}
				w.run(20 * time.Second)
				one, _ := w.nodes[2].Member(id(1))
				two, _ := w.nodes[1].Member(id(2))
				is.Equal(one.Condition, c.sees)
				is.Equal(two.Condition, c.reverse)
				is.Equal(len(w.removals(before)), 0)
				third, _ := w.nodes[3].Member(id(4))
				is.Equal(third.Condition, Answering)
				w.cut, w.delay = func(int, int) bool { return false }, func(int, int) time.Duration { return time.Millisecond }
				w.run(20 * time.Second)
				one, _ = w.nodes[2].Member(id(1))
				is.Equal(one.Condition, Answering)
				is.Equal(one.State, Live)
			}
		})
	}
}

// Guards against two sides of a healed partition that never find each other again.
func TestPartitionHeals(t *testing.T) {
	is := is.New(t)
	w := settled(t, 12, 3)
	w.cut = func(from, to int) bool { return (from < 5) != (to < 5) }
	w.run(2 * time.Minute)
	is.Equal(w.nodes[0].Instances(), 5)
	is.Equal(w.nodes[9].Instances(), 7)
	is.Equal(w.nodes[9].Representative(), id(5))
	w.cut = func(int, int) bool { return false }
	w.run(2 * time.Minute)
	for _, x := range w.nodes {
		is.Equal(x.Instances(), 12)
		is.Equal(x.Representative(), id(0))
	}
}

// Guards against a planned stop that is noticed by silence only, and against a departed process that old news revives.
func TestLeaveAndOldNews(t *testing.T) {
	is := is.New(t)
	w := settled(t, 24, 4)
	w.output(w.nodes[0], w.nodes[0].Leave(w.now))
	w.run(100 * time.Millisecond)
	w.nodes[0].down = true
	w.run(3 * time.Second)
	for _, x := range w.nodes[1:] {
		is.Equal(x.Representative(), id(1))
		is.Equal(x.Instances(), 23)
	}
	w.nodes[1].Receive(w.now, &Message{Kind: Sync, From: id(2), Updates: []Update{{Instance: id(0), Boot: 1}}})
	is.Equal(w.nodes[1].Instances(), 23)
	out := w.nodes[1].Receive(w.now, &Message{Kind: Ping, From: "stranger"})
	is.Equal(out.Send[0].Message.Kind, Sync) // a member that forgot the sender exchanges tables instead of staying silent
	w.nodes[1].Receive(w.now, &Message{Kind: Ping, From: id(2), SilenceMS: 2000})
	told, _ := w.nodes[1].Member(id(2))
	is.Equal(told.Condition, NotHearing) // by its own word, before our pings fail
	w.nodes[1].SetDigest(5)
	is.Equal(w.nodes[1].Receive(w.now, &Message{Kind: Ping, From: id(2)}).Differ, []fleet.InstanceID{id(2)})
}

// Guards against agents that are dropped while others hear them, or kept although nobody does.
func TestAgents(t *testing.T) {
	is := is.New(t)
	w := settled(t, 4, 5)
	hears := func(node int, agent fleet.ServerID) bool {
		switch agent {
		case "one-way":
			return node > 0
		case "dead":
			return false
		}
		return true
	}
	silence := func(agent fleet.ServerID) time.Duration {
		if agent == "deaf" {
			return 4 * time.Second
		}
		return 0
	}
	agents := []fleet.ServerID{"fine", "one-way", "dead", "deaf", "slow"}
	for _, a := range agents {
		for _, x := range w.nodes {
			x.AgentHeard(w.now, a, 1, 0)
		}
	}
	for second := range 30 {
		w.run(time.Second)
		for _, a := range agents {
			for _, x := range w.nodes {
				if (a == "slow" && second%4 == 3 || a != "slow" && second%2 == 0) && hears(x.index, a) {
					w.output(x, x.AgentHeard(w.now, a, 1, silence(a)))
				}
			}
		}
	}
	want := map[fleet.ServerID]Condition{"fine": Answering, "one-way": NotHeard, "deaf": NotHearing, "slow": Slow}
	for agent, condition := range want {
		got, ok := w.nodes[0].AgentCondition(agent)
		is.True(ok)
		is.Equal(got, condition)
	}
	_, ok := w.nodes[0].AgentCondition("dead")
	is.True(!ok)
	out := w.nodes[0].AgentHeard(w.now, "dead", 2, 0)
	is.True(out.Changes[0].Returned)
	is.Equal(w.nodes[0].AgentHeard(w.now, "dead", 1, 0).Changes, nil) // a message of the earlier process
}

// Guards against summaries that count servers without new work, run backwards or are used long after their sender died.
func TestSummaries(t *testing.T) {
	is := is.New(t)
	server := func(limit, running int, excluded string) fleet.Server {
		return fleet.Server{Announcement: fleet.Announcement{Models: []fleet.Model{{Name: "m", Version: "1"}, {Name: "m", Version: "2"}}},
			Load: fleet.Load{Limit: limit, Running: running, Phase: fleet.PhaseServing, TimeToFirstToken: time.Duration(limit)}, ExclusionReason: excluded}
	}
	sum := Summarise("norte", []fleet.Server{server(4, 1, ""), server(2, 5, ""), server(9, 0, "withdrawn")})
	is.Equal(sum, []fleet.Summary{{DataCentre: "norte", Name: "m", Servers: 2, Free: 3, FirstToken: 4}})
	var s Summaries
	now := start
	is.True(s.Receive(now, "norte", "a", 5, sum))
	is.True(!s.Receive(now, "norte", "a", 5, sum))
	is.True(!s.Receive(now, "norte", "b", 9, nil)) // a second representative for a moment
	is.Equal(s.Fresh(now, nil), sum)
	is.Equal(len(s.Fresh(now, func(c fleet.DataCentre) bool { return c == "norte" })), 0)
	is.True(s.Receive(now.Add(3*time.Second), "norte", "b", 1, sum))
	is.Equal(len(s.Fresh(now.Add(10*time.Second), nil)), 0)

	receivers := make(map[fleet.InstanceID]int)
	var members []fleet.InstanceID
	for i := range 24 {
		members = append(members, id(i))
	}
	centres := []fleet.DataCentre{"a", "b", "c", "d", "e", "f", "g", "h", "i", "j", "k", "l", "m"}
	for _, centre := range centres {
		receivers[Receiver(centre, centres, members)]++
	}
	is.Equal(len(receivers), len(centres)) // nobody passes on two summaries
	is.Equal(receivers[id(0)], 0)
	is.Equal(Receiver("a", centres, nil), fleet.InstanceID(""))
}

// Guards against a data centre record that spreads outside the log later than the 3 s within which a data centre that
// was taken out must receive no new work.
func TestDigestsSpreadStateInTime(t *testing.T) {
	slowest := time.Duration(0)
	for seed := range uint64(20) {
		w := settled(t, 24, seed)
		w.loss = 0.02
		holds := make([]uint64, len(w.nodes))
		w.differ = func(node int, member fleet.InstanceID) {
			w.at(2*w.delay(0, 1), func() { // the exchange of the records, both ways
				other := w.byID[member]
				term := max(holds[node], holds[other.index])
				holds[node], holds[other.index] = term, term
				w.nodes[node].SetDigest(term)
				other.SetDigest(term)
			})
		}
		began := w.now
		holds[5] = 1
		w.nodes[5].SetDigest(1)
		for slices.Contains(holds, 0) {
			w.run(10 * time.Millisecond)
			if w.now.Sub(began) > 3*time.Second {
				t.Fatalf("seed %d: not everywhere after 3 s", seed)
			}
		}
		slowest = max(slowest, w.now.Sub(began))
	}
	t.Logf("slowest of 20 runs: %v", slowest)
}

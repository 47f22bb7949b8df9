package membership

import (
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/banyanfront/banyanfront/decide/fleet"
)

// convergedNetwork returns a network in which every member lists all others.
func convergedNetwork(t *testing.T, n int, seed uint64) *network {
	t.Helper()
	w := newNetwork(n, seed)
	w.run(30 * time.Second)
	for _, x := range w.nodes {
		if x.InstanceCount() != n {
			t.Fatalf("member %d lists %d of %d members after 30 s", x.index, x.InstanceCount(), n)
		}
	}
	return w
}

// Guards against members that do not discover each other, and against removals when only 2 % of messages are lost.
func TestNoRemovalsWithoutFailure(t *testing.T) {
	for _, n := range []int{2, 3, 24, 100} {
		w := convergedNetwork(t, n, uint64(n))
		w.loss = 0.02
		w.run(3 * time.Minute)
		if removed := w.removals(0); len(removed) > 0 {
			t.Fatalf("%d members: false removal %+v", n, removed[0])
		}
	}
}

// Guards against a dead member that is not removed by all others, and against removing live members.
func TestDeadMembersAreRemovedEverywhere(t *testing.T) {
	for seed := range uint64(5) {
		is := is.New(t)
		w := convergedNetwork(t, 24, seed)
		before := len(w.changes)
		w.nodes[0].down, w.nodes[7].down = true, true
		w.run(SummaryLifetime) // for this long other data centres use the last summary
		for _, x := range w.nodes {
			if !x.down {
				is.Equal(x.Representative(), id(1)) // the lowest one that is not suspected takes over
			}
		}
		w.run(25 * time.Second)
		for _, x := range w.nodes {
			if !x.down {
				is.Equal(x.InstanceCount(), 22)
			}
		}
		for _, c := range w.removals(before) {
			is.True(c.Instance == id(0) || c.Instance == id(7))
		}
		w.startNode(0, 2)
		w.run(30 * time.Second)
		is.Equal(w.nodes[5].Representative(), id(0))
		is.Equal(w.nodes[5].InstanceCount(), 23)
	}
}

// Guards against removals when one or many processes pause for a few seconds at the same time.
func TestPausedMembersAreNotRemoved(t *testing.T) {
	for _, paused := range []int{1, 8, 23} {
		for seed := range uint64(5) {
			w := convergedNetwork(t, 24, seed)
			before := len(w.changes)
			for i := range paused {
				w.nodes[i].pausedUntil = w.now.Add(5 * time.Second)
			}
			w.run(time.Minute)
			if removed := w.removals(before); len(removed) > 0 {
				t.Fatalf("%d paused, seed %d: %+v", paused, seed, removed[0])
			}
			for _, x := range w.nodes {
				for _, m := range x.Members() {
					if m.State != Live || m.Condition != Answering {
						t.Fatalf("%d paused, seed %d: %d still has %+v", paused, seed, x.index, m)
					}
				}
			}
		}
	}
}

// Guards against a process that mistakes its own pause for a failure of all others.
func TestOwnPauseIsNotTakenForFailureOfOthers(t *testing.T) {
	for seed := range uint64(10) {
		w := convergedNetwork(t, 24, seed)
		before := len(w.changes)
		w.nodes[3].pausedUntil, w.nodes[3].dropsWhilePaused = w.now.Add(5*time.Second), true
		for range 24 { // the last pings before the pause remain unanswered
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

// Guards against a link between two members that fails in one or both directions or is slow, and is taken for a dead
// member, not detected, or reported for the wrong direction.
func TestLinkConditions(t *testing.T) {
	const late = 800 * time.Millisecond
	cases := []struct {
		name      string
		blocked   func(from, to int) bool
		delay     func(from, to int) time.Duration
		condition Condition // of 1 as detected by 2
		reverse   Condition // of 2 as detected by 1
	}{
		{"1 does not receive from 2", func(from, to int) bool { return from == 2 && to == 1 }, nil, OutboundLost, InboundLost},
		{"2 does not receive from 1", func(from, to int) bool { return from == 1 && to == 2 }, nil, InboundLost, OutboundLost},
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
				w := convergedNetwork(t, 6, seed)
				before := len(w.changes)
				if c.blocked != nil {
					w.blocked = c.blocked
				}
				if c.delay != nil {
					w.delay = c.delay
				}
				w.run(20 * time.Second)
				one, _ := w.nodes[2].Member(id(1))
				two, _ := w.nodes[1].Member(id(2))
				is.Equal(one.Condition, c.condition)
				is.Equal(two.Condition, c.reverse)
				is.Equal(len(w.removals(before)), 0)
				third, _ := w.nodes[3].Member(id(4))
				is.Equal(third.Condition, Answering)
				w.blocked, w.delay = func(int, int) bool { return false }, func(int, int) time.Duration { return time.Millisecond }
				w.run(20 * time.Second)
				one, _ = w.nodes[2].Member(id(1))
				is.Equal(one.Condition, Answering)
				is.Equal(one.State, Live)
			}
		})
	}
}

// Guards against two sides of a healed partition that never merge again.
func TestPartitionHeals(t *testing.T) {
	is := is.New(t)
	w := convergedNetwork(t, 12, 3)
	w.blocked = func(from, to int) bool { return (from < 5) != (to < 5) }
	w.run(2 * time.Minute)
	is.Equal(w.nodes[0].InstanceCount(), 5)
	is.Equal(w.nodes[9].InstanceCount(), 7)
	is.Equal(w.nodes[9].Representative(), id(5))
	w.blocked = func(int, int) bool { return false }
	w.run(2 * time.Minute)
	for _, x := range w.nodes {
		is.Equal(x.InstanceCount(), 12)
		is.Equal(x.Representative(), id(0))
	}
}

// Guards against a planned stop that is detected only by timeout, and against a stale update that restores a member that
// left.
func TestLeaveAndStaleUpdates(t *testing.T) {
	is := is.New(t)
	w := convergedNetwork(t, 24, 4)
	w.output(w.nodes[0], w.nodes[0].Leave(w.now))
	w.run(100 * time.Millisecond)
	w.nodes[0].down = true
	w.run(3 * time.Second)
	for _, x := range w.nodes[1:] {
		is.Equal(x.Representative(), id(1))
		is.Equal(x.InstanceCount(), 23)
	}
	w.nodes[1].Receive(w.now, &Message{Kind: Sync, From: id(2), Updates: []Update{{Instance: id(0), Incarnation: 1}}})
	is.Equal(w.nodes[1].InstanceCount(), 23)
	out := w.nodes[1].Receive(w.now, &Message{Kind: Ping, From: "stranger"})
	is.Equal(out.Send[0].Message.Kind, Sync) // a member that has removed the sender exchanges tables with it
	w.nodes[1].Receive(w.now, &Message{Kind: Ping, From: id(2), UnansweredMS: 2000})
	pinger, _ := w.nodes[1].Member(id(2))
	is.Equal(pinger.Condition, OutboundLost) // as reported by the peer, before our pings fail
	w.nodes[1].SetDigest(5)
	is.Equal(w.nodes[1].Receive(w.now, &Message{Kind: Ping, From: id(2)}).DigestMismatches, []fleet.InstanceID{id(2)})
}

// Guards against removing agents from which other instances still receive, and against keeping agents from which none
// does.
func TestAgentConditions(t *testing.T) {
	is := is.New(t)
	w := convergedNetwork(t, 4, 5)
	receives := func(node int, agent fleet.ServerID) bool {
		switch agent {
		case "inbound-lost":
			return node > 0
		case "dead":
			return false
		}
		return true
	}
	sinceReceived := func(agent fleet.ServerID) time.Duration {
		if agent == "outbound-lost" {
			return 4 * time.Second
		}
		return 0
	}
	agents := []fleet.ServerID{"fine", "inbound-lost", "dead", "outbound-lost", "slow"}
	for _, a := range agents {
		for _, x := range w.nodes {
			x.AgentMessageReceived(w.now, a, 1, 0)
		}
	}
	for second := range 30 {
		w.run(time.Second)
		for _, a := range agents {
			for _, x := range w.nodes {
				if (a == "slow" && second%4 == 3 || a != "slow" && second%2 == 0) && receives(x.index, a) {
					w.output(x, x.AgentMessageReceived(w.now, a, 1, sinceReceived(a)))
				}
			}
		}
	}
	want := map[fleet.ServerID]Condition{"fine": Answering, "inbound-lost": InboundLost, "outbound-lost": OutboundLost, "slow": Slow}
	for agent, condition := range want {
		got, ok := w.nodes[0].AgentCondition(agent)
		is.True(ok)
		is.Equal(got, condition)
	}
	_, ok := w.nodes[0].AgentCondition("dead")
	is.True(!ok)
	out := w.nodes[0].AgentMessageReceived(w.now, "dead", 2, 0)
	is.True(out.Changes[0].Returned)
	is.Equal(w.nodes[0].AgentMessageReceived(w.now, "dead", 1, 0).Changes, nil) // a message of the earlier incarnation
}

// Guards against summaries that count servers excluded from new work, against accepting older summaries, and against
// using summaries long after their sender died.
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
	is.True(!s.Receive(now, "norte", "b", 9, nil)) // a temporary second representative
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
		receivers[SummaryReceiver(centre, centres, members)]++
	}
	is.Equal(len(receivers), len(centres)) // no instance distributes two summaries
	is.Equal(receivers[id(0)], 0)
	is.Equal(SummaryReceiver("a", centres, nil), fleet.InstanceID(""))
}

// Guards against a data centre record that takes longer to spread outside the consensus log than the 3 s after which an
// evacuated data centre must receive no new work.
func TestDigestsSpreadStateInTime(t *testing.T) {
	slowest := time.Duration(0)
	for seed := range uint64(20) {
		w := convergedNetwork(t, 24, seed)
		w.loss = 0.02
		versions := make([]uint64, len(w.nodes))
		w.onDigestMismatch = func(node int, member fleet.InstanceID) {
			w.at(2*w.delay(0, 1), func() { // the exchange of records in both directions
				other := w.byID[member]
				newest := max(versions[node], versions[other.index])
				versions[node], versions[other.index] = newest, newest
				w.nodes[node].SetDigest(newest)
				other.SetDigest(newest)
			})
		}
		changed := w.now
		versions[5] = 1
		w.nodes[5].SetDigest(1)
		for slices.Contains(versions, 0) {
			w.run(10 * time.Millisecond)
			if w.now.Sub(changed) > 3*time.Second {
				t.Fatalf("seed %d: not all members have the record after 3 s", seed)
			}
		}
		slowest = max(slowest, w.now.Sub(changed))
	}
	t.Logf("slowest of 20 runs: %v", slowest)
}

package consensus

import (
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against a wrong count of the disks that a group may lose: each row is a moment of a replacement.
func TestLossesBorne(t *testing.T) {
	voters := func(ids ...ID) (m Members) {
		for _, id := range ids {
			m.List = append(m.List, Member{ID: id})
		}
		return m
	}
	replacing := func(m Members, successor, replaced ID, learner bool) Members {
		return Members{List: append(slices.Clone(m.List), Member{ID: successor, Replaces: replaced, Learner: learner, Promote: learner})}
	}
	running := func(ids ...ID) func(ID) bool { return func(id ID) bool { return slices.Contains(ids, id) } }
	three, five := voters(1, 2, 3), voters(1, 2, 3, 4, 5)
	for _, c := range []struct {
		name           string
		configurations []Members
		running        func(ID) bool
		borne          int
	}{
		{"one voter", []Members{voters(1)}, running(1), 0},
		{"two voters", []Members{voters(1, 2)}, running(1, 2), 0},
		{"three voters", []Members{three}, running(1, 2, 3), 1},
		{"three voters, one silent: it is back with its disk, or is the one loss", []Members{three}, running(1, 2), 1},
		{"four voters", []Members{voters(1, 2, 3, 4)}, running(1, 2, 3, 4), 1},
		{"five voters", []Members{five}, running(1, 2, 3, 4, 5), 2},
		{"a learner replaces a voter that has left", []Members{replacing(three, 4, 3, true)}, running(1, 2, 4), 0},
		{"the learner has fallen silent: no successor, the voter counts as a loss", []Members{replacing(three, 4, 3, true)}, running(1, 2), 1},
		{"the successor votes beside the voter that has left", []Members{replacing(three, 4, 3, false)}, running(1, 2, 4), 0},
		{"the removal is not committed", []Members{replacing(three, 4, 3, false), voters(1, 2, 4)}, running(1, 2, 4), 0},
		{"the removal is committed", []Members{voters(1, 2, 4)}, running(1, 2, 4), 1},
		{"two of five have left", []Members{replacing(replacing(five, 6, 5, true), 7, 4, true)}, running(1, 2, 3, 6, 7), 0},
		{"founded with three, two more to come", []Members{three, voters(1, 2, 3, 4)}, running(1, 2, 3, 4), 1},
	} {
		t.Run(c.name, func(t *testing.T) { is.New(t).Equal(lossesBorne(c.configurations, c.running), c.borne) })
	}
}

// testGroup runs the members of a group in rounds: in each, all running members process the messages of the round before
// and 20 ms pass. Disks keep what was synced.
type testGroup struct {
	now      time.Time
	rounds   int
	random   *rand.Rand
	members  map[ID]*testMember
	slow     ID // messages to and from this member take three rounds more
	inFlight []testMessage
	tolerate int
	proposed int
	acked    []string
}

type testMessage struct {
	due int
	Message
}

type testMember struct {
	node    *Node // nil while it does not run
	frozen  bool
	disk    PersistedState
	applied []string // identifiers of the commands, in order; a disk keeps them with the log
}

const (
	roundTime = 20 * time.Millisecond
	slowness  = 3
)

// newTestGroup returns a group of the given numbers of voters (1, 2, ...) and learners, with a leader.
func newTestGroup(voters, learners, tolerate int, slow ID) *testGroup {
	g := &testGroup{now: start, random: rand.New(rand.NewPCG(1, uint64(slow))), members: map[ID]*testMember{}, tolerate: tolerate, slow: slow}
	snapshot := Snapshot{Index: 1, Term: 1}
	for id := range ID(voters + learners) {
		snapshot.Members.List = append(snapshot.Members.List, Member{ID: id + 1, Learner: id >= ID(voters)})
	}
	for _, member := range snapshot.Members.List {
		g.members[member.ID] = &testMember{disk: PersistedState{Snapshot: snapshot}}
		g.restart(member.ID)
	}
	g.runUntil(500, func() bool { return g.leader() != nil })
	if tolerate <= (voters-1)/2 {
		g.acknowledges()
	}
	return g
}

// restart starts a member from its disk.
func (g *testGroup) restart(id ID) {
	m := g.members[id]
	node, err := New(Config{ID: id, Rand: g.random, ToleratedLosses: g.tolerate}, g.now, m.disk)
	if err != nil {
		panic(err)
	}
	m.node, m.applied = node, nil
}

func (g *testGroup) ids() (ids []ID) {
	for id := range g.members {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// round passes the messages that are due and lets each running member do its work.
func (g *testGroup) round() {
	g.now, g.rounds = g.now.Add(roundTime), g.rounds+1
	var later []testMessage
	for _, m := range g.inFlight {
		to := g.members[m.To]
		switch {
		case m.due > g.rounds:
			later = append(later, m)
		case to != nil && to.node != nil && !to.frozen:
			to.node.Step(g.now, m.Message)
		}
	}
	g.inFlight = later
	for _, id := range g.ids() {
		if m := g.members[id]; m.node != nil && !m.frozen {
			m.node.Tick(g.now)
			g.work(id, m)
		}
	}
}

// work carries out what a member has to do.
func (g *testGroup) work(id ID, m *testMember) {
	for r := m.node.Ready(); !r.Empty(); r = m.node.Ready() {
		if r.Snapshot != nil {
			m.disk.Snapshot, m.disk.Entries = *r.Snapshot, nil
		}
		if r.HardState != nil {
			m.disk.HardState = *r.HardState
		}
		for _, e := range r.Entries {
			m.disk.Entries = append(m.disk.Entries[:e.Index-m.disk.Snapshot.Index-1], e)
		}
		for _, e := range r.Committed {
			m.applied = append(m.applied, e.ID)
		}
		for _, message := range append(r.EarlyMessages, r.Messages...) {
			due := g.rounds + 1
			if message.From == g.slow || message.To == g.slow {
				due += slowness
			}
			g.inFlight = append(g.inFlight, testMessage{due, message})
		}
		m.node.Advance(&r)
	}
	g.acknowledge(m)
}

// acknowledge records the commands that a member would acknowledge: it has applied them, and they are durable.
func (g *testGroup) acknowledge(m *testMember) {
	for i, entry := range m.applied {
		if index := m.disk.Snapshot.Index + uint64(i) + 1; entry != "" && index <= m.node.Durable() && !slices.Contains(g.acked, entry) {
			g.acked = append(g.acked, entry)
		}
	}
}

func (g *testGroup) leader() *testMember {
	for _, id := range g.ids() {
		if m := g.members[id]; m.node != nil && !m.frozen && m.node.role == Leader {
			return m
		}
	}
	return nil
}

// propose proposes a command, and a change of the configuration if one is given.
func (g *testGroup) propose(change *Change) {
	leader := g.leader()
	if leader == nil {
		return
	}
	g.proposed++
	leader.node.Propose(g.now, []Entry{{ID: fmt.Sprint("command-", g.proposed)}})
	if change != nil {
		leader.node.Propose(g.now, []Entry{{Kind: EntryMembers, Change: change}})
	}
}

func (g *testGroup) runUntil(limit int, done func() bool) bool {
	for range limit {
		if done() {
			return true
		}
		g.round()
	}
	return done()
}

// acknowledges proposes commands until one of them is acknowledged.
func (g *testGroup) acknowledges() bool {
	before := g.proposed
	return g.runUntil(1000, func() bool {
		if g.rounds%10 == 0 {
			g.propose(nil)
		}
		return g.leader() != nil && slices.ContainsFunc(g.acked, func(id string) bool { return g.isProposedAfter(before, id) })
	})
}

// isProposedAfter reports whether a command was proposed after the first n.
func (g *testGroup) isProposedAfter(n int, id string) bool {
	var number int
	_, err := fmt.Sscanf(id, "command-%d", &number)
	return err == nil && number > n
}

// lose removes the disks of members; with dark set, all others lose power at the same moment and start again.
func (g *testGroup) lose(victims []ID, dark bool) {
	for _, id := range victims {
		delete(g.members, id)
	}
	if !dark {
		return
	}
	g.inFlight = nil
	for _, id := range g.ids() {
		if m := g.members[id]; m.node != nil && !m.frozen {
			g.restart(id)
		}
	}
}

// check wakes the frozen members, and returns what is wrong once all are back that come back.
func (g *testGroup) check() string {
	for _, m := range g.members {
		m.frozen = false
	}
	acked := slices.Clone(g.acked)
	if len(acked) == 0 {
		return "" // nothing was promised
	}
	if !g.acknowledges() {
		return "no change is acknowledged any more"
	}
	leader := g.leader()
	for _, entry := range acked {
		if !slices.Contains(leader.applied, entry) {
			return "lost " + entry
		}
	}
	return ""
}

// subsets returns all subsets with at least one and at most size elements.
func subsets(ids []ID, size int) (all [][]ID) {
	for i, id := range ids[:min(len(ids), len(ids)*size)] {
		all = append(all, []ID{id})
		for _, rest := range subsets(ids[i+1:], size-1) {
			all = append(all, append([]ID{id}, rest...))
		}
	}
	return all
}

// memberChange is a kind of replacement that the exploration runs in all orders with losses.
type memberChange struct {
	name string
	// begin starts it, and step continues it in each round.
	begin func(g *testGroup, replaced, successor ID)
	step  func(g *testGroup, replaced ID)
	// losses returns how many disks may be lost at this moment.
	losses func(g *testGroup, replaced ID) int
}

// stillVotes reports whether the member is a voter by the leader's committed configuration.
func (g *testGroup) stillVotes(id ID) bool {
	leader := g.leader()
	return leader == nil || slices.ContainsFunc(leader.node.possibleConfigurations(), func(m Members) bool { return m.IsVoter(id) })
}

var memberChanges = []memberChange{
	{"a frozen voter is replaced", func(g *testGroup, replaced, successor ID) {
		g.members[replaced].frozen = true
		g.runUntil(45, func() bool { return false })
		g.propose(&Change{Promote: successor, Replaces: replaced})
	}, nothing, func(g *testGroup, _ ID) int { return g.tolerate }},
	{"a lost voter is replaced", func(g *testGroup, replaced, successor ID) {
		delete(g.members, replaced)
		g.runUntil(100, func() bool { return g.leader() != nil })
		g.runUntil(45, func() bool { return false })
		g.propose(&Change{Promote: successor, Replaces: replaced})
	}, nothing, lossesBesideALostOne},
	emptyDisk,
	{"a voter leaves", func(g *testGroup, replaced, _ ID) {
		retire(g, replaced)
	}, departIfReplaced, func(g *testGroup, _ ID) int { return g.tolerate }},
}

// emptyDisk has a voter come back without its disk, as a member that replaces the voter. It needs no learner.
var emptyDisk = memberChange{"a disk comes back empty", func(g *testGroup, replaced, _ ID) {
	delete(g.members, replaced)
	g.runUntil(100, func() bool { return g.leader() != nil })
	g.acknowledges()
	const joiner = 50
	g.members[joiner] = &testMember{}
	g.restart(joiner)
	g.propose(&Change{Add: &Member{ID: joiner, Promote: true, Replaces: replaced}})
}, nothing, lossesBesideALostOne}

// lossesBesideALostOne returns how many more disks may be lost: the first one counts until its successor has taken its place.
func lossesBesideALostOne(g *testGroup, replaced ID) int {
	if g.stillVotes(replaced) {
		return g.tolerate - 1
	}
	return g.tolerate
}

// growing promotes learners until there are enough voters to bear the tolerated losses, as after the founding of a group.
var growing = memberChange{"the group grows", func(*testGroup, ID, ID) {}, func(g *testGroup, _ ID) {
	if leader := g.leader(); leader != nil && leader.node.Members().Voters() < 2*g.tolerate+1 {
		for _, member := range leader.node.Members().List {
			if member.Learner {
				g.propose(&Change{Promote: member.ID})
			}
		}
	}
}, func(g *testGroup, _ ID) int { return g.tolerate }}

func nothing(*testGroup, ID) {}

// retire lets a voter ask for its replacement; departIfReplaced ends it.
func retire(g *testGroup, id ID) {
	if m := g.members[id]; m.node.role == Leader {
		m.node.TransferLeadership(g.now, 0)
		g.runUntil(100, func() bool { return m.node.role != Leader && g.leader() != nil })
		g.acknowledges()
	}
	g.propose(&Change{Retire: id})
}

// departIfReplaced ends a member for good once it sees that it no longer votes.
func departIfReplaced(g *testGroup, id ID) {
	if m := g.members[id]; m != nil && m.node != nil {
		if s := m.node.Status(); !s.Members.IsVoter(id) && s.Commit == s.Last {
			delete(g.members, id)
		}
	}
}

// Explores the orders of a member change, losses and darkness on small groups: at the rounds of the change, each set of
// disks that may be lost by then is lost, with and without a loss of power everywhere else, while one member or none is slow.
// Guards against an acknowledgement that does not survive it, and against a group that never acknowledges again: with three
// voters, the group had only two between the removal of one and the promotion of its successor, or two of three ran after
// one had left.
func TestAcknowledgedChangesSurviveLossesDuringMemberChanges(t *testing.T) {
	explore := func(voters, learners, tolerate int, change memberChange, series bool) {
		name := fmt.Sprintf("%d voters, %d learners, %s, series %v", voters, learners, change.name, series)
		t.Run(name, func(t *testing.T) {
			runs := 0
			for slow := range ID(voters + learners + 1) {
				for _, replaced := range []ID{1, 2} {
					runs += exploreChange(t, voters, learners, tolerate, slow, replaced, change, series)
				}
			}
			t.Log(runs, "runs")
		})
	}
	for _, change := range memberChanges {
		explore(3, 1, 1, change, false)
		explore(3, 3, 1, change, false)
		explore(3, 3, 1, change, true)
		explore(5, 1, 2, change, false)
	}
	explore(3, 0, 1, emptyDisk, false)
	explore(5, 0, 2, emptyDisk, false)
	explore(3, 3, 2, growing, false)
}

// exploredRounds returns the distance between the rounds of a change that are explored. EXPLORE_ALL=1 explores each.
func exploredRounds(tolerate int, slow ID) int {
	switch {
	case os.Getenv("EXPLORE_ALL") != "":
		return 1
	case tolerate > 1:
		return 4
	case slow != 0:
		return 4
	}
	return 1
}

// exploreChange runs one change with losses at each of its rounds, and returns the number of runs.
func exploreChange(t *testing.T, voters, learners, tolerate int, slow, replaced ID, change memberChange, series bool) (runs int) {
	const window = 24 // rounds, in which each change has ended; with a slow member most of it
	for moment := 0; moment < window; moment += exploredRounds(tolerate, slow) {
		for victims := 0; ; victims++ {
			lost := false
			for _, dark := range []bool{false, true} {
				g := newTestGroup(voters, learners, tolerate, slow)
				change.begin(g, replaced, ID(voters+1))
				for round := range moment {
					g.propose(nil)
					g.round()
					change.step(g, replaced)
					if series && round == moment/2 && g.members[3] != nil {
						g.propose(&Change{Retire: 3})
					}
				}
				sets := subsets(g.ids(), change.losses(g, replaced))
				if victims >= len(sets) {
					break
				}
				lost = true
				g.lose(sets[victims], dark)
				runs++
				if problem := g.check(); problem != "" {
					t.Fatalf("slow %d, replaced %d, round %d, disks lost %v, darkness %v: %s", slow, replaced, moment, sets[victims], dark, problem)
				}
			}
			if !lost {
				break
			}
		}
	}
	return runs
}

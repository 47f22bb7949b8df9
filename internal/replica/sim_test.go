package replica

import (
	"container/heap"
	"encoding/binary"
	"fmt"
	"hash/fnv"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/anishathalye/porcupine"

	"github.com/banyanfront/banyanfront/decide/consensus"
	"github.com/banyanfront/banyanfront/internal/storage"
	"github.com/banyanfront/banyanfront/internal/storage/faultfs"
)

// registers is a state machine with a counter for each key; the result of a command is the new count. The hash chains
// everything that was applied, so that two members with equal hashes applied the same commands in the same order.
type registers struct {
	counts [4]uint64
	hash   uint64
	check  func(index, hash uint64)
}

func (r *registers) Apply(index uint64, command []byte) []byte {
	h := fnv.New64a()
	h.Write(binary.BigEndian.AppendUint64(nil, r.hash))
	h.Write(command)
	r.hash = h.Sum64()
	r.counts[command[0]]++
	r.check(index, r.hash)
	return binary.BigEndian.AppendUint64(nil, r.counts[command[0]])
}

// Snapshot pads the state, so that it takes several chunks.
func (r *registers) Snapshot() []byte {
	b := make([]byte, 1000)
	return must(binary.Append(b, binary.BigEndian, append(r.counts[:], r.hash)))
}

func (r *registers) Restore(b []byte) error {
	r.counts, r.hash = [4]uint64{}, 0
	if b != nil {
		for i := range r.counts {
			r.counts[i] = binary.BigEndian.Uint64(b[1000+8*i:])
		}
		r.hash = binary.BigEndian.Uint64(b[1000+8*len(r.counts):])
	}
	return nil
}

type simEvent struct {
	at    time.Duration
	order int
	run   func()
}

type simQueue []simEvent

func (q simQueue) Len() int { return len(q) }
func (q simQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || (q[i].at == q[j].at && q[i].order < q[j].order)
}
func (q simQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *simQueue) Push(x any)   { *q = append(*q, x.(simEvent)) }
func (q *simQueue) Pop() any {
	x := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return x
}

// simNode is one control instance: its disk and, while it runs, its member.
type simNode struct {
	sim     *sim
	fs      *faultfs.FS
	id      consensus.ID
	driver  *driver
	machine *registers
	gone    bool // replaced
}

// sim runs a group in virtual time from one seed and checks the invariants after each event.
type sim struct {
	rand    *rand.Rand
	now     time.Duration
	order   int
	queue   simQueue
	nodes   []*simNode
	byID    map[consensus.ID]*simNode
	blocked map[[2]*simNode]bool
	loss    float64 // probability that a message is lost; half of it that it is repeated
	chaos   bool    // crashes and partitions go on
	sabotage
	violation error

	leaders   map[uint64]consensus.ID    // by term
	entries   map[[2]uint64]string       // by index and term
	committed map[uint64]consensus.Entry // by index
	hashes    map[uint64]uint64          // by index
	applied   map[string]uint64          // first committed index by proposal
	acked     map[string]uint64
	history   []porcupine.Operation
	proposals int
	repairs   int
	messages  int
	bytes     int
}

// sabotage breaks the implementation on purpose.
type sabotage func(d *driver, r *consensus.Ready)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func (s *sim) clock() time.Time { return epoch.Add(s.now) }

func (s *sim) after(d time.Duration, run func()) {
	s.order++
	heap.Push(&s.queue, simEvent{s.now + d, s.order, run})
}

func (s *sim) fail(format string, args ...any) {
	if s.violation == nil {
		s.violation = fmt.Errorf("after %v: "+format, append([]any{s.now}, args...)...)
	}
}

// until runs events for at most d and reports whether done became true.
func (s *sim) until(d time.Duration, done func() bool) bool {
	end := s.now + d
	for s.violation == nil && len(s.queue) > 0 && s.queue[0].at <= end {
		e := heap.Pop(&s.queue).(simEvent)
		s.now = e.at
		e.run()
		s.checkLeaders()
		if done() {
			return true
		}
	}
	s.now = end
	return false
}

func never() bool { return false }

func newSim(seed uint64, voters int, broken sabotage) *sim {
	s := &sim{rand: rand.New(rand.NewPCG(seed, 0)), byID: map[consensus.ID]*simNode{}, blocked: map[[2]*simNode]bool{},
		sabotage: broken, leaders: map[uint64]consensus.ID{}, entries: map[[2]uint64]string{},
		committed: map[uint64]consensus.Entry{}, hashes: map[uint64]uint64{}, applied: map[string]uint64{}, acked: map[string]uint64{}}
	var members []consensus.Member
	for range voters {
		members = append(members, consensus.Member{ID: s.add().id})
	}
	for _, n := range s.nodes {
		if err := Found(n.fs, members); err != nil {
			s.fail("found: %v", err)
		}
		n.start()
	}
	return s
}

// add adds a control instance with an empty disk. Its identifier comes from the seed, so that runs repeat.
func (s *sim) add() *simNode {
	n := &simNode{sim: s, fs: faultfs.New(s.rand), id: consensus.ID(s.rand.Uint64() | 1)}
	if err := storage.Create(n.fs, encode(identity{ID: n.id})); err != nil {
		s.fail("create: %v", err)
	}
	s.nodes, s.byID[n.id] = append(s.nodes, n), n
	return n
}

func (n *simNode) start() {
	s := n.sim
	n.machine = &registers{check: func(index, hash uint64) {
		if h, ok := s.hashes[index]; ok && h != hash {
			s.fail("member %x applied other commands up to %d than another member", n.id, index)
		}
		s.hashes[index] = hash
	}}
	d, err := newDriver(Options{FS: n.fs, StateMachine: n.machine, Transport: n, SnapshotEntries: 30, KeepEntries: 10,
		Window: 200, Storage: storage.Options{SegmentBytes: 2048},
		Consensus: consensus.Config{Rand: s.rand, MaxBatchBytes: 400, MaxInFlightBytes: 1200}}, s.clock())
	if n.fs.Crashed() {
		n.fs.Restart()
		s.after(time.Second, n.start)
		return
	}
	if err != nil {
		s.fail("member %x does not start: %v", n.id, err)
		return
	}
	d.tamper = func(r *consensus.Ready) {
		s.observe(n, r)
		if s.sabotage != nil {
			s.sabotage(d, r)
		}
	}
	d.background = func(work, done func()) {
		work()
		s.after(time.Duration(s.rand.IntN(300))*time.Millisecond, func() {
			if n.driver == d {
				done()
				n.flush()
			}
		})
	}
	n.driver = d
	var tick func()
	tick = func() {
		if n.driver == d {
			d.tick(s.clock())
			n.flush()
			s.after(50*time.Millisecond, tick)
		}
	}
	tick()
}

// flush lets the member work; a crash of its disk ends the process and starts it again later.
func (n *simNode) flush() {
	n.driver.flush(n.sim.clock())
	if n.driver.failure == nil {
		return
	}
	if !n.fs.Crashed() {
		n.sim.fail("member %x failed: %v", n.id, n.driver.failure)
	}
	n.crash(time.Duration(n.sim.rand.IntN(2000)) * time.Millisecond)
}

func (n *simNode) crash(down time.Duration) {
	if n.driver == nil {
		return
	}
	n.driver = nil
	n.fs.Restart()
	n.sim.after(down, func() {
		if n.driver == nil && !n.gone {
			n.start()
		}
	})
}

// Send implements Transport: it loses, repeats, delays and thereby reorders messages.
func (n *simNode) Send(to consensus.Member, message []byte) {
	s, target := n.sim, n.sim.byID[to.ID]
	copies := 1
	s.messages, s.bytes = s.messages+1, s.bytes+len(message)
	if p := s.rand.Float64(); p < s.loss {
		copies = 0
	} else if p < s.loss*1.5 {
		copies = 2
	}
	for range copies {
		s.after(time.Duration(1+s.rand.IntN(20))*time.Millisecond, func() {
			if target != nil && target.driver != nil && !s.blocked[[2]*simNode{n, target}] {
				if err := target.driver.receive(s.clock(), message); err != nil {
					s.fail("%v", err)
				}
				target.flush()
			}
		})
	}
}

// observe checks what a member is about to write and to apply.
func (s *sim) observe(n *simNode, r *consensus.Ready) {
	for i := range r.Entries {
		e := &r.Entries[i]
		// One entry for each index and term, always behind the same entry: logs that agree in one entry agree before it.
		before := consensus.Entry{}
		if i > 0 {
			before = r.Entries[i-1]
		} else if held, ok := n.driver.node.LogTerm(e.Index - 1); ok {
			before.Term = held
		}
		key, value := [2]uint64{e.Index, e.Term}, fmt.Sprint(before.Term, e.Kind, e.ID)
		if old, ok := s.entries[key]; ok && old != value {
			s.fail("log matching: entry %d of term %d is both %q and %q", e.Index, e.Term, old, value)
		}
		s.entries[key] = value
	}
	for i := range r.Committed {
		e := r.Committed[i]
		if old, ok := s.committed[e.Index]; ok && (old.Term != e.Term || old.ID != e.ID) {
			s.fail("committed entry %d changed from %s of term %d to %s of term %d", e.Index, old.ID, old.Term, e.ID, e.Term)
		}
		s.committed[e.Index] = e
		if _, ok := s.applied[e.ID]; !ok {
			s.applied[e.ID] = e.Index
		}
	}
}

// checkLeaders checks that each term has one leader and that it holds all committed entries.
func (s *sim) checkLeaders() {
	for _, n := range s.nodes {
		if n.driver == nil || n.driver.failure != nil {
			continue
		}
		status := n.driver.node.Status()
		if status.Role != consensus.Leader || s.leaders[status.Term] == n.id {
			continue
		}
		if other, ok := s.leaders[status.Term]; ok {
			s.fail("term %d has two leaders, %x and %x", status.Term, other, n.id)
		}
		s.leaders[status.Term] = n.id
		for index, e := range s.committed {
			if term, ok := n.driver.node.LogTerm(index); e.Term < status.Term && index >= status.First && (!ok || term != e.Term) {
				s.fail("leader %x of term %d lacks committed entry %d", n.id, status.Term, index)
			}
		}
	}
}

func (s *sim) pick() *simNode { return s.nodes[s.rand.IntN(len(s.nodes))] }

type simInput struct {
	key  byte
	read bool
}

// propose starts a proposal or a read on a random member and records it in the history.
func (s *sim) propose(done func(err error)) {
	n, in := s.pick(), simInput{key: byte(s.rand.IntN(4)), read: s.rand.IntN(4) == 0}
	if n.driver == nil {
		done(errClosed)
		return
	}
	s.proposals++
	id, at, ended := fmt.Sprint("p", s.proposals), len(s.history), false
	call, machine := s.stamp(), n.machine
	s.history = append(s.history, porcupine.Operation{ClientId: at, Input: in, Call: call, Output: uint64(math.MaxUint64), Return: math.MaxInt64})
	finish := func(o outcome) {
		if ended {
			return
		}
		ended = true
		switch {
		case o.err == nil:
			s.history[at].Output, s.history[at].Return = binary.BigEndian.Uint64(o.result), s.stamp()
			if !in.read {
				s.acked[id] = o.index
				if s.applied[id] != o.index {
					s.fail("%s was acknowledged at %d, but committed at %d", id, o.index, s.applied[id])
				}
			}
		case CertainlyNotAccepted(o.err):
			s.history[at].ClientId = -1
		}
		done(o.err)
	}
	if in.read {
		n.driver.barrier(func(err error) {
			finish(outcome{err: err, result: binary.BigEndian.AppendUint64(nil, machine.counts[in.key])})
		})
		s.after(3*time.Second, func() { finish(outcome{err: &Error{Kind: NoQuorum}}) })
	} else {
		command := append([]byte{in.key}, id...)
		p := n.driver.propose(consensus.Entry{ID: id, Data: command}, finish)
		s.after(3*time.Second, func() {
			if !ended && p != nil {
				finish(outcome{err: p.giveUp()})
			}
		})
	}
	n.flush()
}

// stamp orders the calls and returns of the history.
func (s *sim) stamp() int64 {
	s.order++
	return int64(s.order)
}

// clients runs count clients that propose one command after another.
func (s *sim) clients(count int, stop *bool) {
	var next func()
	next = func() {
		if !*stop {
			s.propose(func(error) { s.after(time.Duration(s.rand.IntN(200))*time.Millisecond, next) })
		}
	}
	for range count {
		s.after(0, next)
	}
}

// faults goes on crashing and partitioning while chaos is set.
func (s *sim) faults() {
	if !s.chaos {
		return
	}
	a, b := s.pick(), s.pick()
	switch s.rand.IntN(6) {
	case 0:
		a.crash(time.Duration(s.rand.IntN(3000)) * time.Millisecond)
	case 1:
		a.fs.FailAt(1+s.rand.IntN(40), faultfs.Crash)
	case 2: // one direction
		s.blocked[[2]*simNode{a, b}] = true
	case 3: // one instance from all others, in both directions
		for _, n := range s.nodes {
			s.blocked[[2]*simNode{a, n}], s.blocked[[2]*simNode{n, a}] = true, true
		}
	case 4:
		if a.driver != nil && a.driver.failure == nil {
			a.driver.node.TransferLeadership(s.clock(), 0)
			a.flush()
		}
	default:
		clear(s.blocked)
	}
	s.after(time.Duration(s.rand.IntN(1500))*time.Millisecond, s.faults)
}

func (s *sim) calm() {
	s.chaos, s.loss = false, 0
	clear(s.blocked)
	for _, n := range s.nodes {
		n.fs.FailAt(0, faultfs.None)
	}
}

// replace gives one voter an empty disk, waits until its successor votes, and at that moment stops another voter. The
// group must go on.
func (s *sim) replace() {
	at := s.rand.IntN(len(s.nodes))
	old := s.nodes[at]
	old.driver, old.gone = nil, true
	s.nodes = slices.Delete(s.nodes, at, at+1)
	old.fs.Restart()
	gone := old.id
	fresh := s.add()
	fresh.start()
	change := consensus.Change{Add: &consensus.Member{ID: fresh.id, Promote: true, Replaces: gone}}
	for try := 0; ; try++ {
		var err error
		ended := false
		sender := s.nodes[s.rand.IntN(len(s.nodes)-1)]
		sender.driver.propose(consensus.Entry{Kind: consensus.EntryMembers, ID: fmt.Sprint("m", s.now), Change: &change},
			func(o outcome) { err, ended = o.err, true })
		sender.flush()
		if !s.until(10*time.Second, func() bool { return ended }) {
			s.fail("the replacement was not accepted")
		}
		if err == nil || try == 3 || s.violation != nil {
			break
		}
	}
	if !s.until(20*time.Second, func() bool { return fresh.driver != nil && fresh.driver.node.Members().IsVoter(fresh.id) }) {
		s.fail("the replaced voter did not become a voter")
		return
	}
	second := s.nodes[s.rand.IntN(len(s.nodes)-1)]
	second.crash(8 * time.Second)
	s.repairs++
	s.mustProgress(6 * time.Second)
}

// mustProgress fails unless a proposal is accepted in time.
func (s *sim) mustProgress(d time.Duration) {
	done := false
	before := len(s.acked)
	var try func()
	try = func() {
		if done = done || len(s.acked) > before; !done {
			s.propose(func(error) { s.after(20*time.Millisecond, try) })
		}
	}
	try()
	if !s.until(d, func() bool { return done || len(s.acked) > before }) {
		s.fail("no proposal was accepted within %v", d)
	}
	done = true
}

// run is one whole run: faults, calm with a repair and a second loss, faults again, calm, and a last comparison.
func (s *sim) run() error {
	stop := false
	s.clients(3, &stop)
	for round := range 2 {
		s.loss, s.chaos = 0.1, true
		s.faults()
		s.until(10*time.Second, never)
		s.calm()
		s.until(6*time.Second, never)
		if s.violation == nil && round == 0 {
			s.replace()
		}
	}
	s.until(10*time.Second, never)
	stop = true
	s.until(5*time.Second, never)
	s.finish()
	return s.violation
}

// finish checks that all members hold the same state with all that was acknowledged, and that the history is
// linearizable.
func (s *sim) finish() {
	var first *simNode
	for _, n := range s.nodes {
		switch {
		case n.driver == nil:
			s.fail("member %x does not run at the end", n.id)
		case first == nil:
			first = n
		case n.driver.applied != first.driver.applied || n.machine.hash != first.machine.hash:
			s.fail("members differ at the end: %d and %d applied", n.driver.applied, first.driver.applied)
		}
	}
	if s.violation != nil {
		return
	}
	for id, index := range s.acked {
		if s.committed[index].ID != id {
			s.fail("%s was acknowledged at %d and is lost", id, index)
		}
	}
	s.history = slices.DeleteFunc(s.history, func(o porcupine.Operation) bool { return o.ClientId < 0 })
	if !porcupine.CheckOperations(registerModel, s.history) {
		s.fail("the history of %d operations is not linearizable", len(s.history))
	}
}

// registerModel counts the commands of each key. An operation without a result may take effect at any time or never.
var registerModel = porcupine.Model{
	Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
		parts := make([][]porcupine.Operation, 4)
		for _, o := range history {
			if in := o.Input.(simInput); !in.read || o.Return != math.MaxInt64 {
				parts[in.key] = append(parts[in.key], o)
			}
		}
		return parts
	},
	Init: func() any { return uint64(0) },
	Step: func(state, input, output any) (bool, any) {
		count, result := state.(uint64), output.(uint64)
		if input.(simInput).read {
			return result == count, count
		}
		return result == math.MaxUint64 || result == count+1, count + 1
	},
}

package replica

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/banyanfront/banyanfront/decide/consensus"
)

// outcome is the end of a proposal.
type outcome struct {
	index  uint64
	result []byte
	err    error
}

// proposal is a command on its way through the log. Callers with the same identifier share it.
type proposal struct {
	entry    consensus.Entry
	order    uint64 // in which callers proposed
	queued   bool
	sentAt   time.Time
	sentTerm uint64
	done     []func(outcome)

	mu      sync.Mutex
	callers int  // that still wait
	sent    bool // it may be in a log or on its way to one
}

// giveUp ends one caller's wait. The error says whether the command may still take effect.
func (p *proposal) giveUp() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.sent {
		return &Error{Kind: OutcomeUnknown,
			Detail: "the command was sent and no result came in time; propose it again with the same identifier to learn its outcome"}
	}
	p.callers--
	return &Error{Kind: NoQuorum, Detail: "no majority of voters was reachable and the command was not sent; try again later"}
}

// take marks the proposal as sent, unless its callers gave up.
func (p *proposal) take() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.callers <= 0 && !p.sent {
		return false
	}
	p.sent = true
	return true
}

// propose queues an entry. done is called once, possibly at once.
func (d *driver) propose(entry consensus.Entry, done func(outcome)) *proposal {
	if d.failure != nil {
		done(outcome{err: &Error{Kind: StorageFailed, Detail: "this member's disk failed; use another control instance", Err: d.failure}})
		return nil
	}
	if first, ok := d.window.find(entry.ID); ok && entry.Kind == consensus.EntryCommand {
		done(outcome{index: first.Index, result: first.Result})
		return nil
	}
	if p := d.waiting[entry.ID]; p != nil {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.callers = max(p.callers, 0) + 1
		p.done = append(p.done, done)
		return p
	}
	if len(d.waiting) >= d.options.MaxWaiting {
		done(outcome{err: &Error{Kind: Overloaded, Detail: "too many proposals wait on this member; try again later"}})
		return nil
	}
	if entry.Kind == consensus.EntryCommand {
		entry.Expires = d.applied + d.options.Window
	}
	d.proposed++
	p := &proposal{entry: entry, order: d.proposed, done: []func(outcome){done}, callers: 1}
	d.waiting[entry.ID] = p
	d.requeue(p)
	return p
}

func (d *driver) requeue(p *proposal) {
	if !p.queued {
		p.queued = true
		d.queue = append(d.queue, p)
	}
}

// repeat queues the proposals whose answer is overdue. One in the own log of the current term needs no repetition.
func (d *driver) repeat(now time.Time) {
	for _, p := range d.waiting {
		if own := d.leader == d.id && p.sentTerm == d.term; !own && now.Sub(p.sentAt) >= d.options.Retry {
			d.requeue(p)
		}
	}
}

// noticeLeader sends the waiting proposals to a new leader at once.
func (d *driver) noticeLeader() {
	s := d.node.Leader()
	if s.ID == d.leader && s.Term == d.term {
		return
	}
	d.leader, d.term = s.ID, s.Term
	if d.leader != 0 {
		for _, p := range d.waiting {
			d.requeue(p)
		}
	}
}

// handOver passes the queued proposals to the node, in batches that fit into a message.
func (d *driver) handOver(now time.Time) {
	if len(d.queue) == 0 || !d.node.CanPropose() {
		return
	}
	queue := d.queue
	d.queue = nil
	slices.SortFunc(queue, func(a, b *proposal) int { return cmp.Compare(a.order, b.order) })
	var entries []consensus.Entry
	size := 0
	for _, p := range queue {
		p.queued = false
		if d.waiting[p.entry.ID] != p {
			continue
		}
		if !p.take() {
			delete(d.waiting, p.entry.ID)
			continue
		}
		p.sentAt, p.sentTerm = now, d.term
		n := len(p.entry.Data) + len(p.entry.ID)
		if len(entries) > 0 && size+n > consensus.DefaultMaxBatchBytes {
			d.node.Propose(now, entries)
			entries, size = nil, 0
		}
		entries = append(entries, p.entry)
		size += n
	}
	if len(entries) > 0 {
		d.node.Propose(now, entries)
	}
}

// settle ends a proposal.
func (d *driver) settle(id string, o outcome) {
	p := d.waiting[id]
	if p == nil || id == "" {
		return
	}
	delete(d.waiting, id)
	for _, done := range p.done {
		done(o)
	}
}

// settleRestored ends the proposals whose result came with a snapshot.
func (d *driver) settleRestored(s *consensus.Snapshot) {
	if s == nil {
		return
	}
	for _, id := range slices.Sorted(maps.Keys(d.waiting)) {
		if first, ok := d.window.find(id); ok {
			d.settle(id, outcome{index: first.Index, result: first.Result})
		}
	}
}

// abandonAll ends all waits.
func (d *driver) abandonAll(err *Error) {
	for _, id := range slices.Sorted(maps.Keys(d.waiting)) {
		e := d.waiting[id].giveUp()
		if KindOf(e) == NoQuorum {
			e = err
		}
		d.settle(id, outcome{err: e})
	}
	for _, id := range slices.Sorted(maps.Keys(d.barriers)) {
		b := d.barriers[id]
		delete(d.barriers, id)
		b.finish(err)
	}
	for _, done := range d.newBarriers {
		done(err)
	}
	d.newBarriers = nil
}

// barrier is a group of reads that share one confirmation by the leader.
type barrier struct {
	done     []func(error)
	answered bool
	index    uint64 // to be applied before the reads may go on
}

func (b *barrier) finish(err error) {
	for _, done := range b.done {
		done(err)
	}
}

// barrier calls done once a local read is linearizable.
func (d *driver) barrier(done func(error)) {
	if d.failure != nil {
		done(&Error{Kind: StorageFailed, Detail: "this member's disk failed; use another control instance", Err: d.failure})
		return
	}
	d.newBarriers = append(d.newBarriers, done)
}

func (d *driver) startBarriers(now time.Time) {
	if len(d.newBarriers) == 0 || d.failure != nil {
		return
	}
	d.lastBarrier++
	d.barriers[d.lastBarrier] = &barrier{done: d.newBarriers}
	d.newBarriers = nil
	d.node.Read(now, d.lastBarrier)
}

// answer handles answered reads and refused proposals.
func (d *driver) answer(r *consensus.Ready) {
	for _, read := range r.Reads {
		if b := d.barriers[read.ID]; b != nil && !b.answered {
			b.answered, b.index = true, read.Index
		}
	}
	for _, id := range slices.Sorted(maps.Keys(d.barriers)) {
		if b := d.barriers[id]; b.answered && d.applied >= b.index {
			delete(d.barriers, id)
			b.finish(nil)
		}
	}
	for _, refusal := range r.Refusals {
		if p := d.waiting[refusal.ID]; p != nil {
			p.sentTerm = 0 // not in the own log
		}
		if refusal.Invalid {
			d.settle(refusal.ID, outcome{err: &Error{Kind: Refused, Detail: refusal.Reason}})
		}
	}
}

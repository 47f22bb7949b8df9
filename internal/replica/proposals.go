package replica

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/banyanfront/banyanfront/decide/consensus"
)

// outcome is the result of a proposal, or the error that ended it.
type outcome struct {
	index  uint64
	result []byte
	err    error
}

// proposal is an entry that is being proposed. Callers with the same identifier share it.
type proposal struct {
	entry    consensus.Entry
	sequence uint64 // orders proposals by their arrival
	queued   bool
	sentAt   time.Time
	sentTerm uint64
	done     []func(outcome)
	applied  *outcome // reported once its entry is durable; nil until this member has applied it

	mu      sync.Mutex
	callers int  // waiting callers
	sent    bool // passed to the node; it may be in a log or in transit to one
}

// abandon ends the wait of one caller. The error states whether the command may still take effect.
func (p *proposal) abandon() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.sent {
		return &Error{Kind: OutcomeUnknown,
			Detail: "the command was sent and no result came in time; propose it again with the same identifier to learn its outcome"}
	}
	p.callers--
	return &Error{Kind: NoQuorum, Detail: "no majority of voters was reachable and the command was not sent; try again later"}
}

// markSent marks the proposal as sent and returns true, unless all its callers have abandoned it.
func (p *proposal) markSent() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.callers <= 0 && !p.sent {
		return false
	}
	p.sent = true
	return true
}

// propose queues an entry. done is called exactly once, possibly before propose returns.
func (d *driver) propose(entry consensus.Entry, done func(outcome)) *proposal {
	if d.failure != nil {
		done(outcome{err: &Error{Kind: StorageFailed, Detail: "this member's disk failed; use another control instance", Err: d.failure}})
		return nil
	}
	if p := d.pending[entry.ID]; p != nil {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.callers = max(p.callers, 0) + 1
		p.done = append(p.done, done)
		return p
	}
	first, repeated := d.window.find(entry.ID)
	repeated = repeated && entry.Kind == consensus.EntryCommand
	if repeated && first.Index <= d.node.Durable() {
		done(outcome{index: first.Index, result: first.Result})
		return nil
	}
	if len(d.pending) >= d.options.MaxPendingProposals {
		done(outcome{err: &Error{Kind: Overloaded, Detail: "too many proposals wait on this member; try again later"}})
		return nil
	}
	if entry.Kind == consensus.EntryCommand {
		entry.Expires = d.applied + d.options.DedupWindowEntries
	}
	d.lastSequence++
	p := &proposal{entry: entry, sequence: d.lastSequence, done: []func(outcome){done}, callers: 1}
	d.pending[entry.ID] = p
	if repeated {
		p.sent = true
		d.complete(entry.ID, outcome{index: first.Index, result: first.Result})
	} else {
		d.enqueue(p)
	}
	return p
}

func (d *driver) enqueue(p *proposal) {
	if !p.queued && p.applied == nil {
		p.queued = true
		d.sendQueue = append(d.sendQueue, p)
	}
}

// retryOverdue queues the proposals whose result is overdue, except those that this member, as leader, appended to
// its own log in the current term.
func (d *driver) retryOverdue(now time.Time) {
	for _, p := range d.pending {
		if own := d.leader == d.id && p.sentTerm == d.term; !own && now.Sub(p.sentAt) >= d.options.RetryInterval {
			d.enqueue(p)
		}
	}
}

// updateLeader queues all pending proposals when the leader or term has changed, so that they reach a new leader at
// once.
func (d *driver) updateLeader() {
	s := d.node.Leader()
	if s.ID == d.leader && s.Term == d.term {
		return
	}
	d.leader, d.term = s.ID, s.Term
	if d.leader != 0 {
		for _, p := range d.pending {
			d.enqueue(p)
		}
	}
}

// sendQueued passes the queued proposals to the node, in order of arrival and in batches that fit into a message.
func (d *driver) sendQueued(now time.Time) {
	if len(d.sendQueue) == 0 || !d.node.CanPropose() {
		return
	}
	queue := d.sendQueue
	d.sendQueue = nil
	slices.SortFunc(queue, func(a, b *proposal) int { return cmp.Compare(a.sequence, b.sequence) })
	var entries []consensus.Entry
	size := 0
	for _, p := range queue {
		p.queued = false
		if d.pending[p.entry.ID] != p || p.applied != nil {
			continue
		}
		if !p.markSent() {
			delete(d.pending, p.entry.ID)
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

// complete reports the outcome of a proposal to its callers, that of a command once its entry is durable.
func (d *driver) complete(id string, o outcome) {
	p := d.pending[id]
	if p == nil || id == "" {
		return
	}
	if o.err == nil && p.entry.Kind == consensus.EntryCommand && o.index > d.node.Durable() {
		if p.applied == nil {
			p.applied = &o
			d.whenDurable(o.index, func() { d.complete(id, o) })
		}
		return
	}
	delete(d.pending, id)
	for _, done := range p.done {
		done(o)
	}
}

// acknowledgementsHeld counts the acknowledgements that had to wait until their entry was durable.
var acknowledgementsHeld = metrics.NewCounter(`banyanfront_agreement_acknowledgements_held_total`)

// heldAcknowledgement is work that waits until an index is durable.
type heldAcknowledgement struct {
	index uint64
	run   func()
}

// whenDurable runs f as soon as all entries up to index are durable.
func (d *driver) whenDurable(index uint64, f func()) {
	if index > d.node.Durable() {
		acknowledgementsHeld.Inc()
	}
	d.holdOrRun(heldAcknowledgement{index, f})
}

// releaseHeld runs the work whose index has become durable, and logs when acknowledgements begin to wait and when they go on.
func (d *driver) releaseHeld(now time.Time) {
	held := d.held
	d.held = nil
	for _, h := range held {
		d.holdOrRun(h)
	}
	switch waiting := len(d.held) > 0; {
	case waiting && d.heldSince.IsZero():
		d.heldSince = now
		d.options.Logf("member %x holds back acknowledgements: its %d voters do not bear the loss of %d disks; a replacement is under way, or add members",
			d.id, d.node.Members().Voters(), d.options.Consensus.ToleratedLosses)
	case !waiting && !d.heldSince.IsZero():
		d.options.Logf("member %x acknowledges again, after %v", d.id, now.Sub(d.heldSince))
		d.heldSince = time.Time{}
	}
}

func (d *driver) holdOrRun(h heldAcknowledgement) {
	if h.index > d.node.Durable() {
		d.held = append(d.held, h)
		return
	}
	h.run()
}

// completeFromSnapshot completes the proposals whose results are part of a restored snapshot.
func (d *driver) completeFromSnapshot(s *consensus.Snapshot) {
	if s == nil {
		return
	}
	for _, id := range slices.Sorted(maps.Keys(d.pending)) {
		if first, ok := d.window.find(id); ok {
			d.complete(id, outcome{index: first.Index, result: first.Result})
		}
	}
}

// failAll fails all pending proposals and reads with err. Proposals that were sent fail with OutcomeUnknown instead.
func (d *driver) failAll(err *Error) {
	for _, id := range slices.Sorted(maps.Keys(d.pending)) {
		e := d.pending[id].abandon()
		if KindOf(e) == NoQuorum {
			e = err
		}
		d.complete(id, outcome{err: e})
	}
	for _, id := range slices.Sorted(maps.Keys(d.barriers)) {
		b := d.barriers[id]
		delete(d.barriers, id)
		b.finish(err)
	}
	for _, done := range d.queuedReads {
		done(err)
	}
	d.queuedReads = nil
}

// barrier is a batch of reads that share one confirmation of leadership.
type barrier struct {
	done     []func(error)
	answered bool   // the leader has confirmed the read index
	index    uint64 // read index: must be applied before the reads complete
}

func (b *barrier) finish(err error) {
	for _, done := range b.done {
		done(err)
	}
}

// readBarrier calls done as soon as a local read is linearizable.
func (d *driver) readBarrier(done func(error)) {
	if d.failure != nil {
		done(&Error{Kind: StorageFailed, Detail: "this member's disk failed; use another control instance", Err: d.failure})
		return
	}
	d.queuedReads = append(d.queuedReads, done)
}

// startBarrier sends one read request for all queued reads.
func (d *driver) startBarrier(now time.Time) {
	if len(d.queuedReads) == 0 || d.failure != nil {
		return
	}
	d.lastBarrierID++
	d.barriers[d.lastBarrierID] = &barrier{done: d.queuedReads}
	d.queuedReads = nil
	d.node.Read(now, d.lastBarrierID)
}

// handleReplies handles the node's read results and refused proposals.
func (d *driver) handleReplies(r *consensus.Ready) {
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
		if p := d.pending[refusal.ID]; p != nil {
			p.sentTerm = 0 // not in this member's log
		}
		if refusal.Invalid {
			d.complete(refusal.ID, outcome{err: &Error{Kind: Refused, Detail: refusal.Reason}})
		}
	}
}

package replica

import (
	"context"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/banyanfront/banyanfront/decide/consensus"
	"github.com/banyanfront/banyanfront/internal/storage"
)

// Limits of the queue of received messages. A message beyond them is dropped, as if the network had lost it.
const (
	maxInboxMessages = 4096
	maxInboxBytes    = 16 << 20
)

// maxEventsPerRound is the number of queued events that one round of the loop processes before it syncs.
const maxEventsPerRound = 4096

// maxEntriesReplyBytes limits one result of EntriesAfter, so that it fits into a protocol message.
const maxEntriesReplyBytes = 256 << 10

// Replica is a running member. Its methods are safe for concurrent use.
type Replica struct {
	driver      *driver
	inbox       chan []byte
	inboxBytes  atomic.Int64 // bytes in inbox, including a message being added
	calls       chan func(now time.Time)
	stop        chan struct{}
	done        chan struct{}
	closeOnce   sync.Once
	callsClosed chan struct{}  // closed when the loop has processed its last call
	background  sync.WaitGroup // running background work
	status      atomic.Pointer[Status]
	closeErr    error // result of driver.stop; read after done is closed

	subscribers    map[int]func(uint64) // by number; accessed only by the loop
	lastSubscriber int
}

// Status is the state of a member at one point in time.
type Status struct {
	consensus.Status
	Failure error // why the member stopped voting and acknowledging, nil if it has not
	Storage storage.Stats
}

// Entry is a committed log entry, as sent to followers that are not members. Command is nil if the entry has no effect
// on the state.
type Entry struct {
	Index   uint64
	Command []byte
}

// Snapshot is the application's state after the entry at Index, as returned by StateMachine.Snapshot.
type Snapshot struct {
	Index uint64
	State []byte
}

// Open starts the member whose data folder is options.FS. An empty folder gets a new identifier (see Prepare); the
// member then stays passive until the group adds it.
func Open(options Options) (*Replica, error) {
	d, err := newDriver(options, time.Now())
	if err != nil {
		return nil, err
	}
	r := &Replica{driver: d, inbox: make(chan []byte, maxInboxMessages), calls: make(chan func(time.Time), 1024),
		stop: make(chan struct{}), callsClosed: make(chan struct{}), done: make(chan struct{}), subscribers: map[int]func(uint64){}}
	d.onApply = func(index uint64) {
		for _, f := range r.subscribers {
			f(index)
		}
	}
	d.background = func(work, done func()) {
		r.background.Go(func() {
			work()
			select {
			case r.calls <- func(time.Time) { done() }:
			case <-r.callsClosed: // the next start finds the result on disk
			}
		})
	}
	r.publishStatus()
	go r.loop()
	return r, nil
}

// loop is the only goroutine that accesses the driver.
func (r *Replica) loop() {
	defer close(r.done)
	ticker := time.NewTicker(r.driver.options.Consensus.HeartbeatInterval / 4)
	defer ticker.Stop()
	stop := r.stop
	var transferDeadline time.Time // while stopping: when to stop waiting for a new leader
	for {
		var now time.Time
		select {
		case m := <-r.inbox:
			now = time.Now()
			r.processMessage(now, m)
		case f := <-r.calls:
			now = time.Now()
			f(now)
		case <-ticker.C:
			now = time.Now()
		case <-stop:
			stop, now = nil, time.Now()
			transferDeadline = now
			if r.driver.failure == nil && r.driver.node.TransferLeadership(now, 0) {
				transferDeadline = now.Add(r.driver.options.Consensus.ElectionTimeout)
			}
		}
		r.processQueued(now)
		r.driver.tick(now)
		r.driver.flush(now)
		r.publishStatus()
		if stop == nil && (!now.Before(transferDeadline) || r.driver.failure != nil || r.Status().Role != consensus.Leader) {
			close(r.callsClosed)
			r.background.Wait()
			r.closeErr = r.driver.stop()
			return
		}
	}
}

// processQueued processes the events that are already queued, so that they share one sync.
func (r *Replica) processQueued(now time.Time) {
	for range maxEventsPerRound {
		select {
		case m := <-r.inbox:
			r.processMessage(now, m)
		case f := <-r.calls:
			f(now)
		default:
			return
		}
	}
}

func (r *Replica) processMessage(now time.Time, m []byte) {
	r.inboxBytes.Add(-int64(len(m)))
	if err := r.driver.receive(now, m); err != nil {
		r.driver.options.Logf("message dropped: %v", err)
	}
}

func (r *Replica) publishStatus() {
	r.status.Store(&Status{Status: r.driver.node.Status(), Failure: r.driver.failure, Storage: r.driver.store.Stats()})
}

// Receive queues an encoded message from another member. It does not block; if the queue is full the message is dropped.
// The replica retains the slice.
func (r *Replica) Receive(message []byte) {
	if r.inboxBytes.Add(int64(len(message))) <= maxInboxBytes {
		select {
		case r.inbox <- message:
			return
		default:
		}
	}
	r.inboxBytes.Add(-int64(len(message)))
}

var errClosed = &Error{Kind: Closed, Detail: "the replica was closed; use another control instance"}

// call queues f to be run by the loop. It fails if the replica is closed or ctx ends before f is queued.
func (r *Replica) call(ctx context.Context, f func(now time.Time)) error {
	select {
	case r.calls <- f:
		return nil
	case <-r.done:
		return errClosed
	case <-ctx.Done():
		return &Error{Kind: NoQuorum, Detail: "the member was busy and the command was not sent; try again later", Err: ctx.Err()}
	}
}

// MaxCommandBytes limits a command with its identifier.
const MaxCommandBytes = consensus.MaxEntryBytes / 2

// Propose appends a command to the log, through the leader if this member is not it, and returns its index and result
// once this member has applied it. id identifies the command: within Options.DedupWindowEntries, a repetition with the
// same id returns the first index and result, on any member. See Kind for the guarantees of each error.
func (r *Replica) Propose(ctx context.Context, id string, command []byte) (index uint64, result []byte, err error) {
	if id == "" || len(command)+len(id) > MaxCommandBytes {
		return 0, nil, &Error{Kind: Refused, Detail: "a command needs an identifier and at most " +
			strconv.Itoa(MaxCommandBytes) + " bytes; split it"}
	}
	o := r.proposeAndWait(ctx, consensus.Entry{Kind: consensus.EntryCommand, ID: id, Data: command})
	return o.index, o.result, o.err
}

// ChangeMembers changes the configuration through the leader and returns once this member has applied the change. After
// OutcomeUnknown, Status shows whether the change took effect.
func (r *Replica) ChangeMembers(ctx context.Context, change consensus.Change) error {
	id := "members-" + strconv.FormatUint(randomUint64(), 16)
	return r.proposeAndWait(ctx, consensus.Entry{Kind: consensus.EntryMembers, ID: id, Change: &change}).err
}

func (r *Replica) proposeAndWait(ctx context.Context, entry consensus.Entry) outcome {
	results := make(chan outcome, 1)
	proposals := make(chan *proposal, 1)
	var claimed atomic.Bool // by the loop, or by the caller if it stops waiting first
	err := r.call(ctx, func(time.Time) {
		if claimed.CompareAndSwap(false, true) {
			proposals <- r.driver.propose(entry, func(o outcome) { results <- o })
		}
	})
	if err != nil {
		return outcome{err: err}
	}
	select {
	case o := <-results:
		return o
	case <-r.done:
		err = errClosed
	case <-ctx.Done():
		err = &Error{Kind: NoQuorum, Detail: "the member was busy and the command was not sent; try again later", Err: ctx.Err()}
	}
	if claimed.CompareAndSwap(false, true) {
		return outcome{err: err}
	}
	p := <-proposals
	select {
	case o := <-results:
		return o
	default:
		return outcome{err: p.abandon()}
	}
}

// ReadBarrier returns once this member has applied everything that was committed before the call, so that a local read is
// linearizable. The leader has confirmed its leadership with a majority.
func (r *Replica) ReadBarrier(ctx context.Context) error {
	results := make(chan error, 1)
	if err := r.call(ctx, func(time.Time) { r.driver.readBarrier(func(err error) { results <- err }) }); err != nil {
		return err
	}
	select {
	case err := <-results:
		return err
	case <-ctx.Done():
		return &Error{Kind: NoQuorum, Detail: "no majority of voters confirmed the leader in time; try again later", Err: ctx.Err()}
	case <-r.done:
		return errClosed
	}
}

// AwaitDurable returns once everything that this member has applied before the call survives the tolerated losses.
func (r *Replica) AwaitDurable(ctx context.Context) error {
	durable := make(chan struct{})
	if err := r.call(ctx, func(time.Time) { r.driver.whenDurable(r.driver.applied, func() { close(durable) }) }); err != nil {
		return err
	}
	select {
	case <-durable:
		return nil
	case <-ctx.Done():
		return &Error{Kind: OutcomeUnknown, Detail: "too few voters hold the change to survive the tolerated losses; ask again", Err: ctx.Err()}
	case <-r.done:
		return errClosed
	}
}

// TransferLeadership asks the given voter, or the most suitable one if to is 0, to become leader. It does not
// wait for the transfer.
func (r *Replica) TransferLeadership(ctx context.Context, to consensus.ID) error {
	return r.call(ctx, func(now time.Time) {
		if r.driver.failure == nil {
			r.driver.node.TransferLeadership(now, to)
		}
	})
}

// Status returns the state of the member after its last event. It does not block.
func (r *Replica) Status() Status { return *r.status.Load() }

// Subscribe calls f with the applied index whenever it grows, from the replica's goroutine, so f must not block. The
// returned function cancels the subscription.
func (r *Replica) Subscribe(f func(index uint64)) (cancel func()) {
	key := make(chan int, 1)
	if r.call(context.Background(), func(time.Time) {
		r.lastSubscriber++
		r.subscribers[r.lastSubscriber] = f
		key <- r.lastSubscriber
	}) != nil {
		return func() {}
	}
	return sync.OnceFunc(func() {
		_ = r.call(context.Background(), func(time.Time) { delete(r.subscribers, <-key) })
	})
}

// EntriesAfter returns committed entries after index for a follower that is not a member, oldest first and at most a few
// hundred kilobytes; the follower calls again until nothing is returned. If the entries are no longer in the log, or were
// not applied by this process, it returns the newest snapshot instead.
func (r *Replica) EntriesAfter(index uint64) (entries []Entry, snapshot *Snapshot) {
	answered := make(chan struct{})
	err := r.call(context.Background(), func(time.Time) {
		defer close(answered)
		entries, snapshot = r.driver.entriesAfter(index)
	})
	if err != nil {
		return nil, nil
	}
	select {
	case <-answered:
		return entries, snapshot
	case <-r.done:
		return nil, nil
	}
}

func (d *driver) entriesAfter(index uint64) ([]Entry, *Snapshot) {
	logEntries, ok := d.node.EntriesAfter(index, maxEntriesReplyBytes)
	if !ok || index < d.restoredIndex {
		newest := d.node.NewestSnapshot()
		var data snapshotData
		if newest.Data != nil && decoder.Unmarshal(newest.Data, &data) != nil {
			return nil, nil
		}
		return nil, &Snapshot{Index: newest.Index, State: data.State}
	}
	entries := make([]Entry, len(logEntries))
	for i := range logEntries {
		entries[i] = Entry{Index: logEntries[i].Index}
		if logEntries[i].Kind == consensus.EntryCommand && !d.skipped[logEntries[i].Index] {
			entries[i].Command = slices.Clip(logEntries[i].Data)
		}
	}
	return entries, nil
}

// Close transfers leadership if this member leads, fails all pending calls and closes the data folder.
func (r *Replica) Close() error {
	r.closeOnce.Do(func() { close(r.stop) })
	<-r.done
	return r.closeErr
}

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

// Bounds of the queue of received messages. What exceeds them is dropped like a lost message.
const (
	maxInboxMessages = 4096
	maxInboxBytes    = 16 << 20
)

// maxDrain is how many queued events one round of the loop takes before it syncs.
const maxDrain = 4096

// tailBytes bounds one answer of EntriesAfter, so that it fits into a protocol message.
const tailBytes = 256 << 10

// Replica is a running member. Its methods are safe for concurrent use.
type Replica struct {
	driver  *driver
	inbox   chan []byte
	pending atomic.Int64 // bytes in inbox
	calls   chan func(now time.Time)
	stop    chan struct{}
	done    chan struct{}
	once    sync.Once
	ended   chan struct{}  // the loop takes no more calls
	work    sync.WaitGroup // in the background
	status  atomic.Pointer[Status]
	err     error // of stop, read after done

	subscribers map[int]func(uint64) // owned by the loop
	subscribed  int
}

// Status is a view of a member.
type Status struct {
	consensus.Status
	Failure error // why the member stopped voting and acknowledging, nil if it has not
	Storage storage.Stats
}

// Entry is an accepted command, as followers that are not members receive it. Command is nil if the entry takes no
// effect on the state.
type Entry struct {
	Index   uint64
	Command []byte
}

// Snapshot is the application's state after Index, as StateMachine.Snapshot returned it.
type Snapshot struct {
	Index uint64
	State []byte
}

// Open starts the member whose data folder is options.FS. An empty folder gets a fresh identifier (see Prepare); the
// member then waits until the group adds it.
func Open(options Options) (*Replica, error) {
	d, err := newDriver(options, time.Now())
	if err != nil {
		return nil, err
	}
	r := &Replica{driver: d, inbox: make(chan []byte, maxInboxMessages), calls: make(chan func(time.Time), 1024),
		stop: make(chan struct{}), ended: make(chan struct{}), done: make(chan struct{}), subscribers: map[int]func(uint64){}}
	d.onApply = func(index uint64) {
		for _, f := range r.subscribers {
			f(index)
		}
	}
	d.background = func(work, done func()) {
		r.work.Go(func() {
			work()
			select {
			case r.calls <- func(time.Time) { done() }:
			case <-r.ended: // the next start finds the result
			}
		})
	}
	r.publish()
	go r.loop()
	return r, nil
}

// loop is the only goroutine that touches the driver.
func (r *Replica) loop() {
	defer close(r.done)
	ticker := time.NewTicker(r.driver.options.Consensus.HeartbeatInterval / 4)
	defer ticker.Stop()
	stop := r.stop
	var handOver time.Time // end of the wait for a successor
	for {
		var now time.Time
		select {
		case m := <-r.inbox:
			now = time.Now()
			r.take(now, m)
		case f := <-r.calls:
			now = time.Now()
			f(now)
		case <-ticker.C:
			now = time.Now()
		case <-stop:
			stop, now = nil, time.Now()
			handOver = now
			if r.driver.failure == nil && r.driver.node.TransferLeadership(now, 0) {
				handOver = now.Add(r.driver.options.Consensus.ElectionTimeout)
			}
		}
		r.drain(now)
		r.driver.tick(now)
		r.driver.flush(now)
		r.publish()
		if stop == nil && (!now.Before(handOver) || r.driver.failure != nil || r.Status().Role != consensus.Leader) {
			close(r.ended)
			r.work.Wait()
			r.err = r.driver.stop()
			return
		}
	}
}

// drain takes what has queued up meanwhile, so that it shares one sync.
func (r *Replica) drain(now time.Time) {
	for range maxDrain {
		select {
		case m := <-r.inbox:
			r.take(now, m)
		case f := <-r.calls:
			f(now)
		default:
			return
		}
	}
}

func (r *Replica) take(now time.Time, m []byte) {
	r.pending.Add(-int64(len(m)))
	if err := r.driver.receive(now, m); err != nil {
		r.driver.options.Logf("message dropped: %v", err)
	}
}

func (r *Replica) publish() {
	r.status.Store(&Status{Status: r.driver.node.Status(), Failure: r.driver.failure, Storage: r.driver.store.Stats()})
}

// Receive passes on an encoded message from another member. It does not block; when too much is queued the message is
// dropped. The replica keeps the slice.
func (r *Replica) Receive(message []byte) {
	if r.pending.Add(int64(len(message))) <= maxInboxBytes {
		select {
		case r.inbox <- message:
			return
		default:
		}
	}
	r.pending.Add(-int64(len(message)))
}

var errClosed = &Error{Kind: Closed, Detail: "the replica was closed; use another control instance"}

// call runs f in the loop. It fails if the replica is closed or ctx ends before f was queued.
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

// Propose adds a command to the log, through the leader if this member is none, and returns its index and result once
// this member has applied it. id identifies the command: within Options.Window entries, a repetition with the same id
// returns the first index and result, on any member. See Kind for what the errors promise.
func (r *Replica) Propose(ctx context.Context, id string, command []byte) (index uint64, result []byte, err error) {
	if id == "" || len(command)+len(id) > consensus.MaxEntryBytes/2 {
		return 0, nil, &Error{Kind: Refused, Detail: "a command needs an identifier and at most " +
			strconv.Itoa(consensus.MaxEntryBytes/2) + " bytes; split it"}
	}
	o := r.await(ctx, consensus.Entry{Kind: consensus.EntryCommand, ID: id, Data: command})
	return o.index, o.result, o.err
}

// ChangeMembers changes the configuration through the leader and returns once this member has applied the change. After
// OutcomeUnknown, Status tells whether the change took effect.
func (r *Replica) ChangeMembers(ctx context.Context, change consensus.Change) error {
	id := "members-" + strconv.FormatUint(randomUint64(), 16)
	return r.await(ctx, consensus.Entry{Kind: consensus.EntryMembers, ID: id, Change: &change}).err
}

func (r *Replica) await(ctx context.Context, entry consensus.Entry) outcome {
	results := make(chan outcome, 1)
	proposals := make(chan *proposal, 1)
	var taken atomic.Bool // by the loop, or by the caller who leaves before
	err := r.call(ctx, func(time.Time) {
		if taken.CompareAndSwap(false, true) {
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
	if taken.CompareAndSwap(false, true) {
		return outcome{err: err}
	}
	p := <-proposals
	select {
	case o := <-results:
		return o
	default:
		return outcome{err: p.giveUp()}
	}
}

// ReadBarrier returns once the state that this member has applied is at least as new as anything accepted before the
// call. The leader has confirmed with a majority that it leads.
func (r *Replica) ReadBarrier(ctx context.Context) error {
	results := make(chan error, 1)
	if err := r.call(ctx, func(time.Time) { r.driver.barrier(func(err error) { results <- err }) }); err != nil {
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

// TransferLeadership asks the given voter, or the best one if it is 0, to take over. It does not wait.
func (r *Replica) TransferLeadership(ctx context.Context, to consensus.ID) error {
	return r.call(ctx, func(now time.Time) {
		if r.driver.failure == nil {
			r.driver.node.TransferLeadership(now, to)
		}
	})
}

// Status returns a view of the member after its last event. It does not block.
func (r *Replica) Status() Status { return *r.status.Load() }

// Subscribe calls f with the applied index whenever it grows, from the replica's goroutine: f must not block. The
// returned function ends the subscription.
func (r *Replica) Subscribe(f func(index uint64)) (cancel func()) {
	key := make(chan int, 1)
	if r.call(context.Background(), func(time.Time) {
		r.subscribed++
		r.subscribers[r.subscribed] = f
		key <- r.subscribed
	}) != nil {
		return func() {}
	}
	return sync.OnceFunc(func() {
		_ = r.call(context.Background(), func(time.Time) { delete(r.subscribers, <-key) })
	})
}

// EntriesAfter returns accepted entries after index for a follower that is not a member, oldest first and at most a few
// hundred kilobytes; the follower asks again until nothing is returned. If the entries are no longer kept it returns the
// newest snapshot instead.
func (r *Replica) EntriesAfter(index uint64) (entries []Entry, snapshot *Snapshot) {
	answered := make(chan struct{})
	err := r.call(context.Background(), func(time.Time) {
		defer close(answered)
		entries, snapshot = r.driver.tail(index)
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

func (d *driver) tail(index uint64) ([]Entry, *Snapshot) {
	held, ok := d.node.EntriesAfter(index, tailBytes)
	if !ok || index < d.tailFrom {
		newest := d.node.NewestSnapshot()
		var data snapshotData
		if newest.Data != nil && decoder.Unmarshal(newest.Data, &data) != nil {
			return nil, nil
		}
		return nil, &Snapshot{Index: newest.Index, State: data.State}
	}
	entries := make([]Entry, len(held))
	for i := range held {
		entries[i] = Entry{Index: held[i].Index}
		if held[i].Kind == consensus.EntryCommand && !d.skipped[held[i].Index] {
			entries[i].Command = slices.Clip(held[i].Data)
		}
	}
	return entries, nil
}

// Close hands leadership over, ends all waits and releases the folder.
func (r *Replica) Close() error {
	r.once.Do(func() { close(r.stop) })
	<-r.done
	return r.err
}

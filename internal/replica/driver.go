package replica

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/banyanfront/banyanfront/decide/consensus"
	"github.com/banyanfront/banyanfront/internal/storage"
)

// driver connects the consensus state machine with the data folder, the transport and the application. It has no
// goroutine and no clock of its own, so that tests can run whole groups deterministically.
type driver struct {
	options Options
	id      consensus.ID
	node    *consensus.Node
	store   *storage.Store
	window  *dedupWindow
	failure error // why the member votes and acknowledges nothing, nil while it does
	// unsaved is the Ready that could not be persisted; it is processed once the disk works again. nil if there is none.
	unsaved    *consensus.Ready
	nextResume time.Time // when to try the failed disk again

	pending      map[string]*proposal // proposals without a result, by identifier
	lastSequence uint64               // sequence number of the newest proposal
	held         []heldAcknowledgement
	heldSince    time.Time   // when the first of them began to wait, zero if there is none
	sendQueue    []*proposal // to be passed to the node
	nextRetry    time.Time
	leader       consensus.ID
	term         uint64
	applied      uint64

	queuedReads   []func(error) // reads that arrived since the last flush
	barriers      map[uint64]*barrier
	lastBarrierID uint64

	logBytes      int             // size of the entries applied since the newest snapshot was taken
	restoredIndex uint64          // index of the last restored snapshot: which entries up to it had an effect is unknown
	skipped       map[uint64]bool // entries after restoredIndex that had no effect

	compacting bool // a snapshot is being written
	// retryCompactionAt is the applied index before which no snapshot is tried again, after one could not be encoded.
	retryCompactionAt uint64
	// background runs work concurrently with the driver and afterwards done in the driver's goroutine. The default runs
	// both synchronously.
	background func(work, done func())
	onApply    func(index uint64)
	onReady    func(*consensus.Ready) // test hook: observes or alters each Ready
}

func newDriver(options Options, now time.Time) (*driver, error) {
	d := &driver{options: options.withDefaults(), pending: map[string]*proposal{}, barriers: map[uint64]*barrier{},
		skipped: map[uint64]bool{}, nextRetry: now, onApply: func(uint64) {},
		background: func(work, done func()) { work(); done() }}
	if _, err := Prepare(options.FS); err != nil {
		return nil, err
	}
	store, contents, err := storage.Open(options.FS, options.Storage)
	if err != nil {
		return nil, err
	}
	if err := d.load(store, contents, now); err != nil {
		_ = store.Close()
		return nil, err
	}
	return d, nil
}

func (d *driver) load(store *storage.Store, contents *storage.Contents, now time.Time) (err error) {
	d.store = store
	if d.id, err = decodeIdentity(contents); err != nil {
		return err
	}
	restored, err := decodePersistedState(contents)
	if err != nil {
		return err
	}
	config := d.options.Consensus
	config.ID = d.id
	if d.node, err = consensus.New(config, now, restored); err != nil {
		return err
	}
	if err := d.restoreState(&restored.Snapshot); err != nil {
		return err
	}
	if last := d.node.Status().Last; last != store.LastIndex() {
		// The process crashed after it saved a snapshot from the leader and before it dropped the old log.
		if err := store.Reset(last); err != nil {
			return err
		}
		return store.Sync()
	}
	return nil
}

// restoreState replaces the application's state and the deduplication window by those of a snapshot.
func (d *driver) restoreState(s *consensus.Snapshot) error {
	var data snapshotData
	if s.Data != nil {
		if err := decoder.Unmarshal(s.Data, &data); err != nil {
			return fmt.Errorf("replica: the snapshot cannot be read; replace this member: %w", err)
		}
	}
	if err := d.options.StateMachine.Restore(data.State); err != nil {
		return fmt.Errorf("replica: the state machine refused the snapshot; replace this member: %w", err)
	}
	d.window = newDedupWindow(d.options.DedupWindowEntries, data.Window)
	d.applied, d.restoredIndex, d.logBytes = s.Index, s.Index, 0
	clear(d.skipped)
	return nil
}

// tick advances the node's clock and retries overdue proposals and reads.
func (d *driver) tick(now time.Time) {
	if d.failure != nil && !d.resume(now) {
		return
	}
	d.node.Tick(now)
	if now.Before(d.nextRetry) {
		return
	}
	d.nextRetry = now.Add(d.options.RetryInterval)
	d.retryOverdue(now)
	for _, id := range slices.Sorted(maps.Keys(d.barriers)) {
		if !d.barriers[id].answered {
			d.node.Read(now, id)
		}
	}
}

// receive passes an encoded message from another member to the node.
func (d *driver) receive(now time.Time, message []byte) error {
	var m consensus.Message
	if err := decoder.Unmarshal(message, &m); err != nil {
		return fmt.Errorf("replica: malformed message: %w", err)
	}
	if d.failure == nil {
		d.node.Step(now, m)
	}
	return nil
}

// flush processes all pending work of the node: it persists, sends, applies and replies. Everything collected since the
// last call shares one sync.
func (d *driver) flush(now time.Time) {
	d.startBarrier(now)
	for d.failure == nil {
		d.updateLeader()
		d.sendQueued(now)
		d.releaseHeld(now)
		r := d.node.Ready()
		if d.onReady != nil {
			d.onReady(&r)
		}
		if r.Empty() {
			return
		}
		d.send(r.EarlyMessages)
		if err := d.persist(&r); err != nil {
			d.unsaved = &r
			d.fail(err)
			return
		}
		d.finish(&r)
	}
}

// finish processes a Ready that was persisted.
func (d *driver) finish(r *consensus.Ready) {
	d.send(r.Messages)
	if r.Snapshot != nil {
		if err := d.restoreState(r.Snapshot); err != nil {
			d.fail(err)
			return
		}
	}
	for i := range r.Committed {
		d.apply(&r.Committed[i])
	}
	if r.Snapshot != nil || len(r.Committed) > 0 {
		d.completeFromSnapshot(r.Snapshot)
		d.onApply(d.applied)
	}
	d.handleReplies(r)
	d.node.Advance(r)
	d.compact()
}

func (d *driver) send(messages []consensus.Message) {
	for i := range messages {
		m := &messages[i]
		to := consensus.Member{ID: m.To}
		if member := d.node.Members().Find(m.To); member != nil {
			to = *member
		}
		d.options.Transport.Send(to, encode(m))
	}
}

// persist writes what must be on disk before the Ready's messages are sent. If only the commit index changed, it is
// written with the next sync.
func (d *driver) persist(r *consensus.Ready) error {
	if r.Snapshot != nil {
		if err := d.store.SaveSnapshot(r.Snapshot.Index, encode(r.Snapshot)); err != nil {
			return err
		}
		if err := d.store.Reset(r.Snapshot.Index); err != nil {
			return err
		}
	}
	if !r.MustSync && r.Snapshot == nil {
		return nil
	}
	if r.HardState != nil {
		if err := d.store.SetState(encode(r.HardState)); err != nil {
			return err
		}
	}
	for i := range r.Entries {
		e := &r.Entries[i]
		if err := d.store.Append(storage.Record{Index: e.Index, Data: encode(e)}); err != nil {
			return err
		}
	}
	return d.store.Sync()
}

// apply applies one committed entry, unless it is a duplicate or has expired.
func (d *driver) apply(e *consensus.Entry) {
	d.applied = e.Index
	d.logBytes += len(e.Data) + len(e.ID)
	d.window.expire(e.Index)
	if e.Kind != consensus.EntryCommand {
		d.complete(e.ID, outcome{index: e.Index})
		return
	}
	if first, ok := d.window.find(e.ID); ok {
		d.skipped[e.Index] = true
		d.complete(e.ID, outcome{index: first.Index, result: first.Result})
		return
	}
	if e.Expires != 0 && e.Index > e.Expires {
		d.skipped[e.Index] = true
		d.complete(e.ID, outcome{err: &Error{Kind: NoQuorum, Detail: "the command reached the log too late and takes no effect; propose it again"}})
		return
	}
	result := d.options.StateMachine.Apply(e.Index, e.Data)
	d.window.add(windowEntry{ID: e.ID, Index: e.Index, Result: result})
	d.complete(e.ID, outcome{index: e.Index, result: result})
}

// compact takes a snapshot when the log has grown by SnapshotEntries or SnapshotBytes. The file is written in the
// background: writing 32 MiB in the driver blocked proposals and heartbeats for 186 ms.
func (d *driver) compact() {
	newest := d.node.NewestSnapshot()
	if d.compacting || d.applied < d.retryCompactionAt ||
		(d.applied < newest.Index+d.options.SnapshotEntries && d.logBytes < d.options.SnapshotBytes) {
		return
	}
	s := d.node.SnapshotMetadata()
	data := snapshotData{Window: slices.Clone(d.window.queue), State: d.options.StateMachine.Snapshot()}
	d.logBytes = 0
	if data.State == nil {
		d.retryCompactionAt = d.applied + d.options.SnapshotEntries
		d.options.Logf("agreement member %x could not encode its state and keeps the whole log; it grows until a snapshot succeeds", d.id)
		return
	}
	d.compacting = true
	var err error
	d.background(func() {
		s.Data = encode(data)
		err = d.store.WriteSnapshot(s.Index, encode(s))
	}, func() {
		d.compacting = false
		if d.failure == nil {
			if err := d.adoptSnapshot(s, err); err != nil {
				d.fail(err)
			}
		}
	})
}

// adoptSnapshot compacts the log up to a snapshot that was written to disk. err is the result of writing it.
func (d *driver) adoptSnapshot(s consensus.Snapshot, err error) error {
	if err := d.store.AdoptSnapshot(s.Index, err); err != nil {
		return err
	}
	d.node.Compact(s, d.options.KeepEntries, d.options.SnapshotBytes)
	first := d.node.Status().First
	for index := range d.skipped {
		if index < first {
			delete(d.skipped, index)
		}
	}
	return d.store.Compact(first)
}

// resumeInterval is the interval at which a failed disk is tried again.
const resumeInterval = 250 * time.Millisecond

// resume lets the member take part again if its disk works again. To the other members it was silent, as after a
// partition: it has kept its state in memory, and has sent nothing that depends on what was not persisted.
func (d *driver) resume(now time.Time) bool {
	if d.store.Err() == nil || now.Before(d.nextResume) {
		return false // the failure is not the disk's, or the disk was tried recently
	}
	d.nextResume = now.Add(resumeInterval)
	if d.store.Resume() != nil || d.unsaved != nil && d.persist(d.unsaved) != nil {
		return false
	}
	d.options.Logf("agreement member %x takes part again, its disk works: it had stopped for %v", d.id, d.failure)
	unsaved := d.unsaved
	d.failure, d.unsaved = nil, nil
	if unsaved != nil {
		d.finish(unsaved)
	}
	return d.failure == nil
}

// fail stops the member until resume succeeds: it no longer votes, acknowledges or replies. The process continues to run.
func (d *driver) fail(err error) {
	d.failure = err
	d.options.Logf("agreement member %x stopped, the process goes on: %v", d.id, err)
	d.failAll(&Error{Kind: StorageFailed, Detail: "this member's disk failed; use another control instance", Err: err})
}

// stop fails all pending proposals and reads and closes the data folder.
func (d *driver) stop() error {
	d.failAll(&Error{Kind: Closed, Detail: "the replica was closed; use another control instance"})
	return d.store.Close()
}

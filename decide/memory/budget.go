// Package memory decides who may make a process hold how many bytes: bodies on their way in, heads and answers on their way out.
// One budget covers them all. While it has room, everybody is admitted. When it is short, transfers that make no progress are given
// up first, and owners that hold little come before those that hold much.
package memory

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Config sets the parameters of a Budget.
type Config struct {
	Total int64 // bytes of all holders together
	// Patience is how long a transfer may make no progress before it may be given up for others.
	Patience time.Duration
}

// Holder is one transfer for which bytes are held.
type Holder struct {
	owner      string
	held       int64
	progressAt time.Time
	waiting    int64 // bytes that it waits for, 0 if it does not wait
	stoppable  bool  // its progress depends on the peer, so that it may be given up
	givenUp    bool
	closed     bool
}

// Held returns the bytes that are held for the transfer.
func (h *Holder) Held() int64 { return h.held }

// Answer is the decision on a request for more bytes.
type Answer uint8

// Answers to a request.
const (
	Granted Answer = iota
	// Wait means that the holder is in the queue: it is granted by a later Close or Shrink, or withdrawn.
	Wait
	// Refused means that the holder must not wait: its owner holds most of the budget already.
	Refused
)

// Budget divides the memory for transfers. It is not safe for concurrent use.
type Budget struct {
	config  Config
	held    int64
	owners  map[string]int64
	holders map[*Holder]struct{}
	queue   []*Holder
}

// New returns a Budget of which nothing is held.
func New(config Config) *Budget {
	return &Budget{config: config, owners: map[string]int64{}, holders: map[*Holder]struct{}{}}
}

// Held returns the bytes held for all transfers.
func (b *Budget) Held() int64 { return b.held }

// Total returns the size of the budget.
func (b *Budget) Total() int64 { return b.config.Total }

// Open starts a transfer that holds nothing. owner is the organisation or address that it counts towards.
func (b *Budget) Open(now time.Time, owner string) *Holder {
	h := &Holder{owner: owner, progressAt: now, stoppable: true}
	b.holders[h] = struct{}{}
	return h
}

// Request asks for n more bytes for a transfer, which proves its progress. The transfers in givenUp must be ended: their bytes are
// needed for others.
func (b *Budget) Request(now time.Time, h *Holder, n int64) (answer Answer, givenUp []*Holder) {
	if h.givenUp {
		return Refused, nil
	}
	h.progressAt = now
	if b.fits(h, n) {
		b.add(h, n)
		return Granted, nil
	}
	givenUp = b.giveUp(now, h, n)
	if h.held+n > b.config.Total || b.owners[h.owner] > b.config.Total/2 && !slices.ContainsFunc(givenUp, func(g *Holder) bool { return g.owner == h.owner }) {
		return Refused, givenUp
	}
	h.waiting = n
	b.queue = append(b.queue, h)
	return Wait, givenUp
}

// RequestNow is Request for a holder that cannot wait: it reports whether the bytes were granted.
func (b *Budget) RequestNow(now time.Time, h *Holder, n int64) (granted bool, givenUp []*Holder) {
	answer, givenUp := b.Request(now, h, n)
	if answer == Wait {
		b.Withdraw(h)
	}
	return answer == Granted, givenUp
}

// fits reports whether there is room for n bytes, and no one who waits comes first.
func (b *Budget) fits(h *Holder, n int64) bool {
	if b.held+n > b.config.Total {
		return false
	}
	return !slices.ContainsFunc(b.queue, func(q *Holder) bool { return !b.before(h, q) })
}

// Withdraw ends the wait of a transfer. It reports false if it had not waited any more, as its bytes were granted.
func (b *Budget) Withdraw(h *Holder) bool {
	if h.waiting == 0 {
		return false
	}
	h.waiting = 0
	b.queue = slices.DeleteFunc(b.queue, func(q *Holder) bool { return q == h })
	return true
}

// Arrived states that a transfer no longer depends on its peer: it is not given up any more.
func (b *Budget) Arrived(h *Holder) { h.stoppable = false }

// Shrink returns n bytes of a transfer, and returns the transfers whose wait ends with that.
func (b *Budget) Shrink(h *Holder, n int64) (granted []*Holder) {
	b.add(h, -min(n, h.held))
	return b.grant()
}

// Close ends a transfer, and returns the transfers whose wait ends with that.
func (b *Budget) Close(h *Holder) (granted []*Holder) {
	if h.closed {
		return nil
	}
	h.closed = true
	b.Withdraw(h)
	b.add(h, -h.held)
	delete(b.holders, h)
	return b.grant()
}

func (b *Budget) add(h *Holder, n int64) {
	h.held += n
	b.held += n
	if b.owners[h.owner] += n; b.owners[h.owner] == 0 {
		delete(b.owners, h.owner)
	}
}

// grant admits those who wait while there is room for them.
func (b *Budget) grant() (granted []*Holder) {
	for len(b.queue) > 0 {
		slices.SortStableFunc(b.queue, func(x, y *Holder) int {
			switch {
			case b.before(x, y):
				return -1
			case b.before(y, x):
				return 1
			}
			return 0
		})
		h := b.queue[0]
		if b.held+h.waiting > b.config.Total {
			break
		}
		n := h.waiting
		b.Withdraw(h)
		b.add(h, n)
		granted = append(granted, h)
	}
	return granted
}

// before reports whether a transfer is admitted before another one: that of the owner who holds less, then the one that holds more and
// thus ends sooner.
func (b *Budget) before(x, y *Holder) bool {
	if o := cmp.Compare(b.owners[x.owner], b.owners[y.owner]); o != 0 && x.owner != y.owner {
		return o < 0
	}
	return x.held > y.held
}

// giveUp chooses the transfers to end for n more bytes: those without progress, of the owner that holds most first, and by the bytes
// held times the time without progress.
func (b *Budget) giveUp(now time.Time, asking *Holder, n int64) (chosen []*Holder) {
	missing := b.held + n - b.config.Total
	var stalled []*Holder
	for h := range b.holders {
		switch {
		case h.givenUp:
			missing -= h.held // its bytes are about to be returned
		case h != asking && h.stoppable && h.waiting == 0 && h.held > 0 && now.Sub(h.progressAt) >= b.config.Patience:
			stalled = append(stalled, h)
		}
	}
	waste := func(h *Holder) float64 { return float64(h.held) * now.Sub(h.progressAt).Seconds() }
	slices.SortFunc(stalled, func(x, y *Holder) int {
		if o := cmp.Compare(b.owners[y.owner], b.owners[x.owner]); o != 0 {
			return o
		}
		return cmp.Compare(waste(y), waste(x))
	})
	for _, h := range stalled {
		if missing <= 0 {
			break
		}
		h.givenUp = true
		missing -= h.held
		chosen = append(chosen, h)
	}
	return chosen
}

// Shares of a process's memory. The rest is for the program itself, its state and the collector.
const (
	// transferShare is the share for the bytes of transfers.
	transferShare = 1.0 / 3
	// connectionShare is the share for connections, each with what it holds without a transfer.
	connectionShare = 1.0 / 8
	// connectionBytes is the cost of a connection: its goroutine, its buffers, a usual head and a small body.
	connectionBytes = 16 << 10
	// fileDescriptors is the part of the descriptors that is kept for files.
	fileDescriptors = 200
)

// TransferBytes returns the budget of a process with an amount of memory.
func TransferBytes(memory int64) int64 { return int64(float64(memory) * transferShare) }

// Connections returns how many connections a process with an amount of memory and descriptors accepts, if share of its sockets are for
// these connections.
func Connections(memory int64, descriptors int, share float64) int {
	byMemory := float64(memory) * connectionShare / connectionBytes
	bySockets := math.Max(0, float64(descriptors-fileDescriptors)) * share
	return max(minConnections, int(min(byMemory, bySockets)))
}

// minConnections keeps a listener of use on the smallest machines.
const minConnections = 16

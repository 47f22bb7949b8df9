package transport

import (
	"errors"
	"sync"
	"time"

	"github.com/banyanfront/banyanfront/internal/protocol"
)

// pipeBytes is what one direction of a pipe holds before writes block, as the socket buffers of a connection do.
const pipeBytes = 256 << 10

// Direction is one direction of a pipe.
type Direction uint8

// Directions of a pipe.
const (
	AToB Direction = iota
	BToA
)

// Faults disturbs the connection between the two sessions of a pipe.
type Faults struct {
	ways [2]*pipeWay
}

// Silence holds back everything sent in the direction, without an error on either side, until it is turned off again.
func (f *Faults) Silence(d Direction, on bool) {
	f.ways[d].change(func(w *pipeWay) { w.silent = on })
}

// Delay sets how long batches sent from now on take in the direction.
func (f *Faults) Delay(d Direction, delay time.Duration) {
	f.ways[d].change(func(w *pipeWay) { w.delay = delay })
}

// Cut breaks the connection: what is under way is lost and both sides see an error.
func (f *Faults) Cut() {
	for _, w := range f.ways {
		w.fail(errors.New("connection reset by peer"))
	}
}

// Inject delivers raw bytes in the direction as one batch, as a faulty or hostile peer would send it.
func (f *Faults) Inject(d Direction, batch []byte) { _ = f.ways[d].write(batch) }

// Pipe returns two sessions joined by an in-memory connection, for tests in virtual time. cfgA is the dialling side.
func Pipe(cfgA Config, helloA protocol.Hello, hA Handler, cfgB Config, helloB protocol.Hello, hB Handler) (a, b Session, faults *Faults, err error) {
	if cfgA, err = cfgA.withDefaults(); err != nil {
		return nil, nil, nil, err
	}
	if cfgB, err = cfgB.withDefaults(); err != nil {
		return nil, nil, nil, err
	}
	faults = &Faults{ways: [2]*pipeWay{newPipeWay(), newPipeWay()}}
	type result struct {
		s   Session
		err error
	}
	other := make(chan result, 1)
	go func() {
		s, err := open(&pipeEnd{in: faults.ways[AToB], out: faults.ways[BToA]}, cfgB, helloB, hB, false)
		other <- result{s, err}
	}()
	a, err = open(&pipeEnd{in: faults.ways[BToA], out: faults.ways[AToB]}, cfgA, helloA, hA, true)
	r := <-other
	if err == nil {
		err = r.err
	}
	if err != nil {
		if a != nil {
			a.Close("other side of the pipe failed")
		}
		if r.s != nil {
			r.s.Close("other side of the pipe failed")
		}
		return nil, nil, nil, err
	}
	return a, r.s, faults, nil
}

// pipeEnd is one side of a pipe.
type pipeEnd struct {
	in, out *pipeWay
}

var _ conn = (*pipeEnd)(nil)

func (e *pipeEnd) read() (*[]byte, error)   { return e.in.read() }
func (e *pipeEnd) write(batch []byte) error { return e.out.write(batch) }
func (e *pipeEnd) setLimit(int)             {}

func (e *pipeEnd) close(reason string) {
	e.out.finish(&peerClosed{reason})
	e.in.leave()
}

func (e *pipeEnd) abort() {
	e.out.finish(errors.New("connection closed by the peer"))
	e.in.leave()
}

var errPipeClosed = errors.New("connection is closed")

// pipeWay is one direction of a pipe.
type pipeWay struct {
	mu      sync.Mutex
	queue   []parcel
	bytes   int
	silent  bool
	delay   time.Duration
	closing error         // returned by read once the queue is empty; writes fail
	left    bool          // the reader is gone
	changed chan struct{} // closed and replaced at each change
}

type parcel struct {
	batch *[]byte
	due   time.Time
}

func newPipeWay() *pipeWay { return &pipeWay{changed: make(chan struct{})} }

// change applies f and wakes both sides.
func (w *pipeWay) change(f func(*pipeWay)) {
	w.mu.Lock()
	defer w.mu.Unlock()
	f(w)
	close(w.changed)
	w.changed = make(chan struct{})
}

// fail drops what is under way and makes both sides fail.
func (w *pipeWay) fail(err error) {
	w.change(func(w *pipeWay) {
		w.queue, w.bytes, w.silent = nil, 0, false
		if w.closing == nil {
			w.closing = err
		}
	})
}

// finish makes reads fail after what is under way. In a silent direction the end does not arrive either.
func (w *pipeWay) finish(err error) {
	w.change(func(w *pipeWay) {
		if w.closing == nil {
			w.closing = err
		}
	})
}

// leave makes reads fail at once. Writes fail as well, unless the direction is silent, where the writer cannot know.
func (w *pipeWay) leave() {
	w.change(func(w *pipeWay) {
		w.queue, w.bytes, w.left = nil, 0, true
	})
}

func (w *pipeWay) write(batch []byte) error {
	for {
		w.mu.Lock()
		if w.closing != nil {
			defer w.mu.Unlock()
			return w.closing
		}
		if w.left {
			defer w.mu.Unlock()
			if w.silent {
				return nil
			}
			return errPipeClosed
		}
		if w.bytes == 0 || w.bytes+len(batch) <= pipeBytes {
			w.mu.Unlock()
			break
		}
		changed := w.changed
		w.mu.Unlock()
		<-changed
	}
	b := getBatch()
	*b = append(*b, batch...)
	w.change(func(w *pipeWay) {
		w.queue = append(w.queue, parcel{b, time.Now().Add(w.delay)})
		w.bytes += len(*b)
	})
	return nil
}

func (w *pipeWay) read() (*[]byte, error) {
	for {
		w.mu.Lock()
		if w.left {
			w.mu.Unlock()
			return nil, errPipeClosed
		}
		changed := w.changed
		var wait time.Duration
		if !w.silent {
			if len(w.queue) > 0 {
				if wait = time.Until(w.queue[0].due); wait <= 0 {
					b := w.queue[0].batch
					w.queue = w.queue[1:]
					w.bytes -= len(*b)
					w.mu.Unlock()
					w.change(func(*pipeWay) {})
					return b, nil
				}
			} else if w.closing != nil {
				defer w.mu.Unlock()
				return nil, w.closing
			}
		}
		w.mu.Unlock()
		if wait > 0 {
			timer := time.NewTimer(wait)
			select {
			case <-timer.C:
			case <-changed:
			}
			timer.Stop()
			continue
		}
		<-changed
	}
}

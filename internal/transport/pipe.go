package transport

import (
	"errors"
	"sync"
	"time"

	"github.com/banyanfront/banyanfront/internal/protocol"
)

// pipeBufferBytes is the capacity of one direction of a pipe, after which writes block as on a full socket buffer.
const pipeBufferBytes = 256 << 10

// Direction is one direction of a pipe.
type Direction uint8

// Directions of a pipe.
const (
	AToB Direction = iota
	BToA
)

// Faults injects faults into the connection between the two sessions of a pipe.
type Faults struct {
	directions [2]*pipeDirection
}

// Stall holds back everything sent in the direction, without an error on either side, until it is called with false.
func (f *Faults) Stall(d Direction, on bool) {
	f.directions[d].update(func(dir *pipeDirection) { dir.stalled = on })
}

// Delay sets the latency of batches sent from now on in the direction.
func (f *Faults) Delay(d Direction, delay time.Duration) {
	f.directions[d].update(func(dir *pipeDirection) { dir.delay = delay })
}

// Reset breaks the connection: batches in transit are lost and both sides get an error.
func (f *Faults) Reset() {
	for _, d := range f.directions {
		d.fail(errors.New("connection reset by peer"))
	}
}

// Inject delivers raw bytes in the direction as one batch, as a faulty or malicious peer would send it.
func (f *Faults) Inject(d Direction, batch []byte) { _ = f.directions[d].write(batch) }

// Pipe returns two sessions connected in memory, for tests in virtual time. Session a is the dialling side.
func Pipe(cfgA Config, helloA protocol.Hello, hA Handler, cfgB Config, helloB protocol.Hello, hB Handler) (a, b Session, faults *Faults, err error) {
	if cfgA, err = cfgA.withDefaults(); err != nil {
		return nil, nil, nil, err
	}
	if cfgB, err = cfgB.withDefaults(); err != nil {
		return nil, nil, nil, err
	}
	faults = &Faults{directions: [2]*pipeDirection{newPipeDirection(), newPipeDirection()}}
	type result struct {
		s   Session
		err error
	}
	accepted := make(chan result, 1)
	go func() {
		s, err := open(&pipeEnd{in: faults.directions[AToB], out: faults.directions[BToA]}, cfgB, helloB, hB, false)
		accepted <- result{s, err}
	}()
	a, err = open(&pipeEnd{in: faults.directions[BToA], out: faults.directions[AToB]}, cfgA, helloA, hA, true)
	r := <-accepted
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
	in, out *pipeDirection
}

var _ conn = (*pipeEnd)(nil)

func (e *pipeEnd) read() (*[]byte, error)   { return e.in.read() }
func (e *pipeEnd) write(batch []byte) error { return e.out.write(batch) }
func (e *pipeEnd) setLimit(int)             {}

func (e *pipeEnd) close(reason string) {
	e.out.closeWrite(&peerClosed{reason})
	e.in.closeRead()
}

func (e *pipeEnd) abort() {
	e.out.closeWrite(errors.New("connection closed by the peer"))
	e.in.closeRead()
}

var errPipeClosed = errors.New("connection is closed")

// pipeDirection buffers the batches of one direction of a pipe.
type pipeDirection struct {
	mu           sync.Mutex
	queue        []delayedBatch
	bytes        int
	stalled      bool
	delay        time.Duration
	closeErr     error         // returned by read once the queue is empty; writes fail
	readerClosed bool          // closed by the reader: reads fail
	changed      chan struct{} // closed and replaced at each update
}

type delayedBatch struct {
	batch *[]byte
	due   time.Time
}

func newPipeDirection() *pipeDirection { return &pipeDirection{changed: make(chan struct{})} }

// update applies f and wakes both sides.
func (d *pipeDirection) update(f func(*pipeDirection)) {
	d.mu.Lock()
	defer d.mu.Unlock()
	f(d)
	close(d.changed)
	d.changed = make(chan struct{})
}

// fail drops the batches in transit and makes reads and writes fail.
func (d *pipeDirection) fail(err error) {
	d.update(func(d *pipeDirection) {
		d.queue, d.bytes, d.stalled = nil, 0, false
		if d.closeErr == nil {
			d.closeErr = err
		}
	})
}

// closeWrite makes writes fail, and reads once the queue is empty. In a stalled direction reads keep waiting.
func (d *pipeDirection) closeWrite(err error) {
	d.update(func(d *pipeDirection) {
		if d.closeErr == nil {
			d.closeErr = err
		}
	})
}

// closeRead makes reads fail at once. Writes fail as well, unless the direction is stalled: the writer then gets no error.
func (d *pipeDirection) closeRead() {
	d.update(func(d *pipeDirection) {
		d.queue, d.bytes, d.readerClosed = nil, 0, true
	})
}

func (d *pipeDirection) write(batch []byte) error {
	for {
		d.mu.Lock()
		if d.closeErr != nil {
			defer d.mu.Unlock()
			return d.closeErr
		}
		if d.readerClosed {
			defer d.mu.Unlock()
			if d.stalled {
				return nil
			}
			return errPipeClosed
		}
		if d.bytes == 0 || d.bytes+len(batch) <= pipeBufferBytes {
			d.mu.Unlock()
			break
		}
		changed := d.changed
		d.mu.Unlock()
		<-changed
	}
	b := getBatch()
	*b = append(*b, batch...)
	d.update(func(d *pipeDirection) {
		d.queue = append(d.queue, delayedBatch{b, time.Now().Add(d.delay)})
		d.bytes += len(*b)
	})
	return nil
}

func (d *pipeDirection) read() (*[]byte, error) {
	for {
		d.mu.Lock()
		if d.readerClosed {
			d.mu.Unlock()
			return nil, errPipeClosed
		}
		changed := d.changed
		var wait time.Duration
		if !d.stalled {
			if len(d.queue) > 0 {
				if wait = time.Until(d.queue[0].due); wait <= 0 {
					b := d.queue[0].batch
					d.queue = d.queue[1:]
					d.bytes -= len(*b)
					d.mu.Unlock()
					d.update(func(*pipeDirection) {})
					return b, nil
				}
			} else if d.closeErr != nil {
				defer d.mu.Unlock()
				return nil, d.closeErr
			}
		}
		d.mu.Unlock()
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

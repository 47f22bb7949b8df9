package transport

import (
	"encoding/binary"
	"sync"
)

// conn carries batches of frames in order. The implementations are a WebSocket connection and, for tests, a pipe.
type conn interface {
	// read returns the next batch. The caller releases it with putBatch.
	read() (*[]byte, error)
	// write sends one batch. The batch may be reused after it returns.
	write(batch []byte) error
	// setLimit bounds the batches that read accepts.
	setLimit(bytes int)
	// close tells the peer the reason and ends the connection. It may wait for the peer for some seconds.
	close(reason string)
	// abort ends the connection at once.
	abort()
}

// A batch is a CBOR sequence of byte strings with four-byte lengths, each holding one frame. The lengths keep the
// frames apart, so that a malformed one ends only its stream.
const (
	batchPrefix     = 0x5a
	batchPrefixSize = 5
	// batchBytes is the size up to which queued frames are coalesced into one write.
	batchBytes = 64 << 10
)

func putPrefix(dst []byte, size int) {
	dst[0] = batchPrefix
	binary.BigEndian.PutUint32(dst[1:], uint32(size))
}

// batches holds buffers of one batch. Idle sessions hold none.
var batches = sync.Pool{New: func() any {
	b := make([]byte, 0, batchBytes)
	return &b
}}

func getBatch() *[]byte { return batches.Get().(*[]byte) }

func putBatch(b *[]byte) {
	// A buffer that grew for a large message is left to the garbage collector, so that it pins no memory.
	if cap(*b) <= 2*batchBytes {
		*b = (*b)[:0]
		batches.Put(b)
	}
}

// peerClosed is the error of a read after the peer has closed the connection with a reason.
type peerClosed struct {
	reason string
}

// Error implements error.
func (e *peerClosed) Error() string { return "closed by the peer: " + e.reason }

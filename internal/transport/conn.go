package transport

import (
	"encoding/binary"
	"sync"
)

// conn is an ordered connection for batches of frames, implemented by a WebSocket and, for tests, by an in-memory pipe.
type conn interface {
	// read returns the next batch. The caller releases it with putBatch.
	read() (*[]byte, error)
	// write sends one batch. The batch may be reused after it returns.
	write(batch []byte) error
	// setLimit sets the largest batch that read accepts.
	setLimit(bytes int)
	// close sends the reason to the peer and closes the connection. It may wait for the peer for some seconds.
	close(reason string)
	// abort closes the connection at once, without a close frame.
	abort()
}

// A batch is a CBOR sequence of byte strings with four-byte lengths, each holding one frame. The lengths delimit the
// frames, so that a malformed frame fails only its own stream.
const (
	batchPrefix      = 0x5a
	batchPrefixBytes = 5
	// batchBytes is the size up to which queued frames are coalesced into one write.
	batchBytes = 64 << 10
)

func putBatchPrefix(dst []byte, size int) {
	dst[0] = batchPrefix
	binary.BigEndian.PutUint32(dst[1:], uint32(size))
}

// batchPool holds batch buffers. Idle sessions hold none.
var batchPool = sync.Pool{New: func() any {
	b := make([]byte, 0, batchBytes)
	return &b
}}

func getBatch() *[]byte { return batchPool.Get().(*[]byte) }

func putBatch(b *[]byte) {
	// A buffer that grew for a large message is left to the garbage collector, so that the pool does not pin its memory.
	if cap(*b) <= 2*batchBytes {
		*b = (*b)[:0]
		batchPool.Put(b)
	}
}

// peerClosed is returned by read after the peer has closed the connection with a reason.
type peerClosed struct {
	reason string
}

// Error implements error.
func (e *peerClosed) Error() string { return "closed by the peer: " + e.reason }

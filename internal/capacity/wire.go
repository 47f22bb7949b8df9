package capacity

import (
	"github.com/banyanfront/banyanfront/internal/protocol"
	"github.com/banyanfront/banyanfront/internal/transport"
)

// Overhead of one write of a session that fits one segment. Pure TCP acknowledgements are counted apart by Acks: a
// message that gets no answer within the delayed-acknowledgement time costs one in the other direction.
const (
	TCPIPBytes = 20 + 20 + 12 // IPv4, TCP, TCP timestamps
	TLSBytes   = 5 + 1 + 16   // TLS 1.3 record header, content type and authentication tag
	// PrefixBytes precedes each frame in a batch of a session (package transport).
	PrefixBytes = 5
	maskBytes   = 4 // the dialling side masks its WebSocket frames
	// segmentBytes is the payload of one TCP segment on Ethernet.
	segmentBytes = 1448
)

// webSocketBytes returns the header of a WebSocket frame.
func webSocketBytes(payload int, masked bool) int {
	n := 2
	switch {
	case payload >= 1<<16:
		n += 8
	case payload > 125:
		n += 2
	}
	if masked {
		n += maskBytes
	}
	return n
}

// Wire returns the bytes on the wire of one message that is written by itself. masked tells that the dialling side
// sends it.
func Wire(payload int, masked bool) int {
	batch := PrefixBytes + payload
	n := batch + webSocketBytes(batch, masked) + TLSBytes
	return n + (n+segmentBytes-1)/segmentBytes*TCPIPBytes
}

// Frame returns the payload bytes of a message outside streams: its encoded frame.
func Frame(m protocol.Message) int {
	data, err := protocol.Encode(0, m)
	if err != nil {
		panic(err) // only messages of this package are measured
	}
	return len(data)
}

// Traffic counts what a process sends or receives.
type Traffic struct {
	Messages float64
	Payload  float64 // bytes of encoded frames
	Wire     float64 // bytes with WebSocket, TLS and TCP/IP headers, without pure acknowledgements
}

// Add counts n messages of the payload size.
func (t *Traffic) Add(n float64, payload int, masked bool) {
	t.Messages += n
	t.Payload += n * float64(payload)
	t.Wire += n * float64(Wire(payload, masked))
}

// Sum returns both together.
func (t Traffic) Sum(other Traffic) Traffic {
	return Traffic{t.Messages + other.Messages, t.Payload + other.Payload, t.Wire + other.Wire}
}

// Each returns the traffic multiplied by n.
func (t Traffic) Each(n float64) Traffic { return Traffic{t.Messages * n, t.Payload * n, t.Wire * n} }

// sent returns what a session has sent, and received what it has received, by its own counts.
func sent(s transport.Session, masked bool) Traffic {
	stats := s.(transport.StatsProvider).Stats()
	return counted(stats.BytesSent, stats.BatchesSent, masked)
}

func received(s transport.Session, masked bool) Traffic {
	stats := s.(transport.StatsProvider).Stats()
	return counted(stats.BytesReceived, stats.BatchesReceived, masked)
}

// counted takes a session's counts, whose bytes include the prefixes. It holds for batches of at most 125 bytes, as those
// of heartbeats and load reports are.
func counted(bytes, batches uint64, masked bool) Traffic {
	overhead := webSocketBytes(0, masked) + TLSBytes + TCPIPBytes
	return Traffic{float64(batches), float64(bytes), float64(bytes) + float64(batches)*float64(overhead)}
}

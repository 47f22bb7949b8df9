package capacity

import (
	"github.com/banyanfront/banyanfront/internal/protocol"
	"github.com/banyanfront/banyanfront/internal/transport"
)

// Overhead of one write of a session that fits one TCP segment. Pure TCP acknowledgements are not included: a message
// without an answer within the delayed-acknowledgement time costs one in the other direction.
const (
	TCPIPBytes = 20 + 20 + 12 // IPv4, TCP, TCP timestamps
	TLSBytes   = 5 + 1 + 16   // TLS 1.3 record header, content type and authentication tag
	// PrefixBytes is the size of the prefix of each frame in a batch of a session (package transport).
	PrefixBytes = 5
	maskBytes   = 4 // the dialling side masks its WebSocket frames
	// segmentBytes is the payload of one TCP segment on Ethernet.
	segmentBytes = 1448
)

// webSocketBytes returns the size of the header of a WebSocket frame.
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

// WireBytes returns the bytes on the wire of one message in a batch of its own. masked is true if the dialling side sends
// it.
func WireBytes(payload int, masked bool) int {
	batch := PrefixBytes + payload
	n := batch + webSocketBytes(batch, masked) + TLSBytes
	return n + (n+segmentBytes-1)/segmentBytes*TCPIPBytes
}

// FrameBytes returns the payload size of a message outside streams, that is of its encoded frame.
func FrameBytes(m protocol.Message) int {
	data, err := protocol.Encode(0, m)
	if err != nil {
		panic(err) // only messages of this package are measured
	}
	return len(data)
}

// Traffic is an amount of messages and bytes sent or received.
type Traffic struct {
	Messages float64
	Payload  float64 // bytes of encoded frames
	Wire     float64 // bytes with WebSocket, TLS and TCP/IP headers, without pure acknowledgements
}

// Add adds n messages with the given payload size in bytes.
func (t *Traffic) Add(n float64, payload int, masked bool) {
	t.Messages += n
	t.Payload += n * float64(payload)
	t.Wire += n * float64(WireBytes(payload, masked))
}

// Plus returns the sum of both.
func (t Traffic) Plus(other Traffic) Traffic {
	return Traffic{t.Messages + other.Messages, t.Payload + other.Payload, t.Wire + other.Wire}
}

// Times returns the traffic multiplied by n.
func (t Traffic) Times(n float64) Traffic { return Traffic{t.Messages * n, t.Payload * n, t.Wire * n} }

// sentTraffic and receivedTraffic return the traffic of a session from its own statistics.
func sentTraffic(s transport.Session, masked bool) Traffic {
	stats := s.(transport.StatsProvider).Stats()
	return trafficOf(stats.BytesSent, stats.BatchesSent, masked)
}

func receivedTraffic(s transport.Session, masked bool) Traffic {
	stats := s.(transport.StatsProvider).Stats()
	return trafficOf(stats.BytesReceived, stats.BatchesReceived, masked)
}

// trafficOf converts the byte and batch counts of a session; the bytes include the prefixes. It is exact only for batches of
// at most 125 bytes, such as those of heartbeats and load reports.
func trafficOf(bytes, batches uint64, masked bool) Traffic {
	overhead := webSocketBytes(0, masked) + TLSBytes + TCPIPBytes
	return Traffic{float64(batches), float64(bytes), float64(bytes) + float64(batches)*float64(overhead)}
}

package transport

import (
	"sync/atomic"
	"time"
)

// Stats holds the figures of a session since its start, for metrics and the account.
type Stats struct {
	BytesSent       uint64 // encoded batches, without WebSocket, TLS and TCP headers
	BytesReceived   uint64
	BatchesSent     uint64 // writes to the connection, each with one or more messages
	BatchesReceived uint64
	OpenStreams     int           // of both sides
	Unread          int           // bytes received and not yet read by the streams' readers
	Queued          int           // bytes of messages outside streams that wait to be sent
	Silence         time.Duration // since the last batch from the peer
	PeerSilence     time.Duration // that the peer has last reported
	Reason          string        // why the session is suspect or has ended, empty while it is live
}

// Measured is implemented by the sessions of this package.
type Measured interface {
	Stats() Stats
}

var _ Measured = (*session)(nil)

// counters holds what the reader and the writer count.
type counters struct {
	bytesSent, bytesReceived, batchesSent, batchesReceived atomic.Uint64
}

func (c *counters) sent(batch []byte) {
	c.bytesSent.Add(uint64(len(batch)))
	c.batchesSent.Add(1)
}

func (c *counters) received(batch []byte) {
	c.bytesReceived.Add(uint64(len(batch)))
	c.batchesReceived.Add(1)
}

// Stats implements Measured.
func (s *session) Stats() Stats {
	s.mu.Lock()
	defer s.mu.Unlock()
	reason := s.reason
	if !s.closed && s.health.state() == StateSuspect {
		silence, cause := s.health.silence()
		reason = silenceReason(silence, cause)
	}
	return Stats{
		BytesSent:       s.counters.bytesSent.Load(),
		BytesReceived:   s.counters.bytesReceived.Load(),
		BatchesSent:     s.counters.batchesSent.Load(),
		BatchesReceived: s.counters.batchesReceived.Load(),
		OpenStreams:     len(s.streams),
		Unread:          int(s.unread.Load()),
		Queued:          s.queues.messageBytes,
		Silence:         time.Duration(s.health.now() - s.health.lastReceived.Load()),
		PeerSilence:     time.Duration(s.health.peerSilence.Load()),
		Reason:          reason,
	}
}

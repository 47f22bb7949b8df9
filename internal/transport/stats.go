package transport

import (
	"sync/atomic"
	"time"

	"github.com/apex/log"
)

// Stats holds counters since the start of a session and its current state, for metrics and the account.
type Stats struct {
	BytesSent       uint64 // encoded batches, without WebSocket, TLS and TCP headers
	BytesReceived   uint64
	BatchesSent     uint64 // writes to the connection, each with one or more messages
	BatchesReceived uint64
	OpenStreams     int           // opened by either side
	UnreadBytes     int           // received and not yet read by the streams' readers
	QueuedBytes     int           // queued session-level messages
	Silence         time.Duration // time since the last batch from the peer
	PeerSilence     time.Duration // as last reported by the peer
	Reason          string        // why the session is suspect or closed, empty while it is live
	Lasted          time.Duration // from its start to its end, or until now
}

// StatsProvider is implemented by the sessions of this package.
type StatsProvider interface {
	Stats() Stats
}

var _ StatsProvider = (*session)(nil)

// EndFields returns the fields of a log line about the end of a session.
func EndFields(s Session) log.Fields {
	fields := log.Fields{"peer": s.Peer().Instance}
	if provider, ok := s.(StatsProvider); ok {
		stats := provider.Stats()
		fields["reason"], fields["lastedMs"] = stats.Reason, stats.Lasted.Milliseconds()
	}
	return fields
}

// trafficCounters is updated by readLoop and writeLoop.
type trafficCounters struct {
	bytesSent, bytesReceived, batchesSent, batchesReceived atomic.Uint64
}

func (c *trafficCounters) sent(batch []byte) {
	c.bytesSent.Add(uint64(len(batch)))
	c.batchesSent.Add(1)
}

func (c *trafficCounters) received(batch []byte) {
	c.bytesReceived.Add(uint64(len(batch)))
	c.batchesReceived.Add(1)
}

// Stats implements StatsProvider.
func (s *session) Stats() Stats {
	s.mu.Lock()
	defer s.mu.Unlock()
	reason := s.reason
	if !s.closed && s.health.state() == StateSuspect {
		silence, cause := s.health.silence()
		reason = silenceReason(silence, cause)
	}
	lasted := s.endedAfter
	if !s.closed {
		lasted = time.Duration(s.health.now())
	}
	return Stats{
		BytesSent:       s.counters.bytesSent.Load(),
		BytesReceived:   s.counters.bytesReceived.Load(),
		BatchesSent:     s.counters.batchesSent.Load(),
		BatchesReceived: s.counters.batchesReceived.Load(),
		OpenStreams:     len(s.streams),
		UnreadBytes:     int(s.unreadBytes.Load()),
		QueuedBytes:     s.queues.messageBytes,
		Silence:         time.Duration(s.health.now() - s.health.lastReceived.Load()),
		PeerSilence:     time.Duration(s.health.peerSilence.Load()),
		Reason:          reason,
		Lasted:          lasted,
	}
}

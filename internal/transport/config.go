package transport

import (
	"context"
	"crypto/tls"
	"fmt"
	"net"
	"time"

	"github.com/banyanfront/banyanfront/internal/protocol"
)

// Defaults of Config.
const (
	DefaultPingInterval     = time.Second
	DefaultSuspectAfter     = 3 * time.Second
	DefaultGiveUpAfter      = 5 * time.Second
	DefaultHandshakeTimeout = 3 * time.Second

	DefaultIdlePingInterval = 6 * time.Second
	DefaultIdleSuspectAfter = 20 * time.Second
	DefaultIdleGiveUpAfter  = 25 * time.Second
	DefaultWindowBytes      = 256 << 10
	DefaultQueueMessages    = 4096
	DefaultQueueBytes       = 8 << 20
	DefaultMaxStreams       = 8192
	DefaultReceiveBytes     = 64 << 20
)

// MinFleetKeyBytes is the minimum length of the fleet key. A shorter one could be brute-forced from a recorded handshake.
const MinFleetKeyBytes = 16

// Config holds the settings of a session. Both sides need the same FleetKey; the other fields may differ.
type Config struct {
	// FleetKey is the secret shared by all processes of one fleet, at least MinFleetKeyBytes long. Each side proves
	// possession by an HMAC over nonces; the key itself is never sent. Required.
	FleetKey []byte
	// TLS is the client's TLS configuration for wss addresses. Default: the system's roots.
	TLS *tls.Config
	// AllowPlaintext permits sessions without TLS to and from non-loopback addresses. Default false.
	AllowPlaintext bool
	// DialContext opens the connection of Dial. Default: TCP.
	DialContext func(ctx context.Context, network, address string) (net.Conn, error)
	// PingInterval is the silence in either direction after which a Ping is sent. Default 1 s.
	PingInterval time.Duration
	// SuspectAfter is the silence in either direction after which a session is suspect. Default 3 s.
	SuspectAfter time.Duration
	// GiveUpAfter is the silence in either direction after which a session is lost. Default 5 s.
	GiveUpAfter time.Duration
	// IdlePingInterval, IdleSuspectAfter and IdleGiveUpAfter replace the three above on an idle session with an agent:
	// one with no open stream for at least GiveUpAfter. An entry instance at target size has 300 such sessions; at one
	// ping a second they would use twice its traffic budget of 28 KB/s. Defaults 6 s, 20 s and 25 s.
	IdlePingInterval time.Duration
	IdleSuspectAfter time.Duration
	IdleGiveUpAfter  time.Duration
	// HandshakeTimeout bounds connecting and authentication. Default 3 s.
	HandshakeTimeout time.Duration
	// WindowBytes is the receive window: the bytes of unread Data that this side accepts per stream. Default 256 KiB.
	WindowBytes int
	// QueueMessages bounds the number of queued session-level messages. Default 4,096 messages.
	QueueMessages int
	// QueueBytes bounds each of these separately: the queued session-level messages, the queued Opens of all streams,
	// and the queued non-Data messages of one stream. Default 8 MiB.
	QueueBytes int
	// MaxMessageBytes bounds one encoded message. Default and maximum 1 MiB.
	MaxMessageBytes int
	// MaxStreams bounds the open streams per opening side. Default 8,192 streams.
	MaxStreams int
	// ReceiveBytes bounds the unread bytes of all streams of the session. Above it, the least recently read of the
	// streams with a large backlog is cancelled. Default 64 MiB.
	ReceiveBytes int
}

func (c Config) withDefaults() (Config, error) {
	if len(c.FleetKey) < MinFleetKeyBytes {
		return c, fmt.Errorf("fleet key has %d bytes: set a random key of at least %d bytes", len(c.FleetKey), MinFleetKeyBytes)
	}
	if c.MaxMessageBytes > protocol.MaxMessageBytes {
		return c, fmt.Errorf("message limit is %d bytes: set at most %d", c.MaxMessageBytes, protocol.MaxMessageBytes)
	}
	if c.DialContext == nil {
		c.DialContext = new(net.Dialer).DialContext
	}
	setDefault(&c.PingInterval, DefaultPingInterval)
	setDefault(&c.SuspectAfter, DefaultSuspectAfter)
	setDefault(&c.GiveUpAfter, DefaultGiveUpAfter)
	setDefault(&c.IdlePingInterval, DefaultIdlePingInterval)
	setDefault(&c.IdleSuspectAfter, DefaultIdleSuspectAfter)
	setDefault(&c.IdleGiveUpAfter, DefaultIdleGiveUpAfter)
	setDefault(&c.HandshakeTimeout, DefaultHandshakeTimeout)
	setDefault(&c.WindowBytes, DefaultWindowBytes)
	setDefault(&c.QueueMessages, DefaultQueueMessages)
	setDefault(&c.QueueBytes, DefaultQueueBytes)
	setDefault(&c.MaxMessageBytes, protocol.MaxMessageBytes)
	setDefault(&c.MaxStreams, DefaultMaxStreams)
	setDefault(&c.ReceiveBytes, DefaultReceiveBytes)
	if 2*c.PingInterval > c.SuspectAfter || c.SuspectAfter >= c.GiveUpAfter {
		return c, fmt.Errorf("ping interval %v, suspect after %v, give up after %v: set the second to at least twice the first and below the third",
			c.PingInterval, c.SuspectAfter, c.GiveUpAfter)
	}
	if 2*c.IdlePingInterval > c.IdleSuspectAfter || c.IdleSuspectAfter >= c.IdleGiveUpAfter {
		return c, fmt.Errorf("idle ping interval %v, suspect after %v, give up after %v: set the second to at least twice the first and below the third",
			c.IdlePingInterval, c.IdleSuspectAfter, c.IdleGiveUpAfter)
	}
	return c, nil
}

func setDefault[T int | time.Duration](field *T, value T) {
	if *field <= 0 {
		*field = value
	}
}

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
	DefaultWindow           = 256 << 10
	DefaultQueueMessages    = 4096
	DefaultQueueBytes       = 8 << 20
	DefaultMaxStreams       = 8192
	DefaultReceiveBytes     = 64 << 20
)

// MinFleetKeyBytes is the least length of the fleet key. A shorter one could be guessed from a recorded handshake.
const MinFleetKeyBytes = 16

// Config holds the settings of a session. Both sides need the same FleetKey; the other fields may differ.
type Config struct {
	// FleetKey is the shared secret of all processes of one fleet, at least MinFleetKeyBytes. It is proved by HMAC over
	// nonces and never sent. No default.
	FleetKey []byte
	// TLS is the client's TLS configuration for wss addresses. Default: the system's roots.
	TLS *tls.Config
	// AllowPlaintext permits sessions without TLS to and from addresses other than loopback. Default false.
	AllowPlaintext bool
	// DialContext opens the connection of Dial. Default: TCP.
	DialContext func(ctx context.Context, network, address string) (net.Conn, error)
	// PingInterval is the time without a frame after which a Ping is sent. Default 1 s.
	PingInterval time.Duration
	// SuspectAfter is the silence in either direction after which a session is suspect. Default 3 s.
	SuspectAfter time.Duration
	// GiveUpAfter is the silence in either direction after which a session is lost. Default 5 s.
	GiveUpAfter time.Duration
	// IdlePingInterval, IdleSuspectAfter and IdleGiveUpAfter stand for the three above on a session with an agent while no
	// stream is open and none has been for GiveUpAfter. An entry instance at the target has 300 such sessions; with a ping
	// a second they cost twice its budget of 28 KB/s. Defaults 6 s, 20 s and 25 s.
	IdlePingInterval time.Duration
	IdleSuspectAfter time.Duration
	IdleGiveUpAfter  time.Duration
	// HandshakeTimeout bounds connecting and authentication. Default 3 s.
	HandshakeTimeout time.Duration
	// Window is the number of bytes of unread Data that this side accepts per stream. Default 256 KiB.
	Window int
	// QueueMessages bounds the number of queued messages outside streams. Default 4,096 messages.
	QueueMessages int
	// QueueBytes bounds, each by itself, the queued messages outside streams, the queued Opens of all streams, and the
	// queued messages other than Data of one stream. Default 8 MiB.
	QueueBytes int
	// MaxMessage bounds one encoded message. Default and maximum 1 MiB.
	MaxMessage int
	// MaxStreams bounds the open streams in each direction. Default 8,192 streams.
	MaxStreams int
	// ReceiveBytes bounds the unread bytes of all streams of the session. Above it, of the streams with much
	// unread the one that has not been read for the longest time is cancelled. Default 64 MiB.
	ReceiveBytes int
}

func (c Config) withDefaults() (Config, error) {
	if len(c.FleetKey) < MinFleetKeyBytes {
		return c, fmt.Errorf("fleet key has %d bytes: set a random key of at least %d bytes", len(c.FleetKey), MinFleetKeyBytes)
	}
	if c.MaxMessage > protocol.MaxMessageBytes {
		return c, fmt.Errorf("message limit is %d bytes: set at most %d", c.MaxMessage, protocol.MaxMessageBytes)
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
	setDefault(&c.Window, DefaultWindow)
	setDefault(&c.QueueMessages, DefaultQueueMessages)
	setDefault(&c.QueueBytes, DefaultQueueBytes)
	setDefault(&c.MaxMessage, protocol.MaxMessageBytes)
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

package transport

import (
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"errors"
	"fmt"
	"strings"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/banyanfront/banyanfront/internal/protocol"
)

// The handshake has three messages. The accepting side sends a nonce first and answers only a peer that has proved the
// key, so that a stranger learns nothing about the instance:
//
//	acceptor: nonce
//	dialler:  nonce, Hello, window, HMAC("dial", both nonces, its Hello and window)
//	acceptor: Hello, window, HMAC("accept", both nonces, both Hellos and windows)
type greeting struct {
	Nonce  []byte `cbor:"1,keyasint,omitempty"`
	Hello  []byte `cbor:"2,keyasint,omitempty"` // frame of protocol.Hello
	Window int    `cbor:"3,keyasint,omitempty"` // bytes of Data that the sender accepts per stream
	Proof  []byte `cbor:"4,keyasint,omitempty"`
}

const (
	nonceBytes = 32
	// maxGreetingBytes bounds what an unauthenticated peer can make this side read.
	maxGreetingBytes = 4 << 10
)

// refusal is the prefix of the close reason by which the peer learns why the handshake failed.
const refusal = "handshake failed: "

var errGreeting = errors.New("greeting is malformed")

// open runs the handshake on c and starts the session.
func open(c conn, cfg Config, hello protocol.Hello, h Handler, dialler bool) (Session, error) {
	timeout := time.AfterFunc(cfg.HandshakeTimeout, c.abort)
	peer, window, err := greet(c, cfg, hello, dialler)
	if !timeout.Stop() && err == nil {
		err = &HandshakeError{Kind: HandshakeConnection, Detail: "handshake took too long"}
	}
	if err != nil {
		var handshake *HandshakeError
		var closed *peerClosed
		switch {
		case errors.As(err, &handshake):
			go c.close(refusal + string(handshake.Kind))
			return nil, err
		case errors.As(err, &closed) && closed.reason == refusal+string(HandshakeWrongKey):
			err = wrongKey()
		case errors.As(err, &closed) && strings.HasPrefix(closed.reason, refusal):
			kind := HandshakeErrorKind(strings.TrimPrefix(closed.reason, refusal))
			err = &HandshakeError{Kind: kind, Detail: "refused by the peer: see the peer's log"}
		default:
			err = &HandshakeError{Kind: HandshakeConnection, Detail: "connection failed", Err: err}
		}
		c.abort()
		return nil, err
	}
	c.setLimit(batchBytes + protocol.MaxMessageBytes + batchPrefixSize)
	s := newSession(c, cfg, peer, window, h, dialler)
	s.health.mayIdle = hello.Agent || peer.Agent
	h.SessionOpened(s)
	s.start()
	return s, nil
}

func greet(c conn, cfg Config, hello protocol.Hello, dialler bool) (peer protocol.Hello, window int, err error) {
	hello.Version = protocol.Version
	frame, err := protocol.Encode(0, &hello)
	if err != nil {
		return peer, 0, err
	}
	mine := greeting{Nonce: make([]byte, nonceBytes), Hello: frame, Window: cfg.Window}
	_, _ = rand.Read(mine.Nonce) // never fails
	var theirs greeting
	if dialler {
		challenge, err := receiveGreeting(c)
		if err != nil {
			return peer, 0, err
		}
		mine.Proof = proof(cfg.FleetKey, "dial", challenge.Nonce, mine.Nonce, &mine, nil)
		if err := sendGreeting(c, &mine); err != nil {
			return peer, 0, err
		}
		if theirs, err = receiveGreeting(c); err != nil {
			return peer, 0, err
		}
		want := proof(cfg.FleetKey, "accept", challenge.Nonce, mine.Nonce, &theirs, &mine)
		if !hmac.Equal(want, theirs.Proof) {
			return peer, 0, wrongKey()
		}
	} else {
		if err := sendGreeting(c, &greeting{Nonce: mine.Nonce}); err != nil {
			return peer, 0, err
		}
		if theirs, err = receiveGreeting(c); err != nil {
			return peer, 0, err
		}
		want := proof(cfg.FleetKey, "dial", mine.Nonce, theirs.Nonce, &theirs, nil)
		if !hmac.Equal(want, theirs.Proof) {
			return peer, 0, wrongKey()
		}
		answer := greeting{Hello: mine.Hello, Window: mine.Window}
		answer.Proof = proof(cfg.FleetKey, "accept", mine.Nonce, theirs.Nonce, &answer, &theirs)
		if err := sendGreeting(c, &answer); err != nil {
			return peer, 0, err
		}
	}
	_, m, err := protocol.Decode(theirs.Hello)
	if err != nil {
		return peer, 0, &HandshakeError{Kind: HandshakeMalformed, Detail: "peer's Hello cannot be read", Err: err}
	}
	received, ok := m.(*protocol.Hello)
	if !ok || theirs.Window <= 0 {
		return peer, 0, &HandshakeError{Kind: HandshakeMalformed, Detail: "peer sent no Hello or no window", Err: errGreeting}
	}
	if received.Version != protocol.Version {
		return peer, 0, &HandshakeError{Kind: HandshakeVersion, Detail: fmt.Sprintf(
			"peer %s speaks protocol version %d, this process %d: upgrade the older one", received.Instance, received.Version, protocol.Version)}
	}
	return *received, theirs.Window, nil
}

func wrongKey() error {
	return &HandshakeError{Kind: HandshakeWrongKey, Detail: "peer does not hold the fleet key: set the same key on both sides"}
}

// proof authenticates the nonces, the sender's greeting and, in an answer, the greeting that it answers.
func proof(key []byte, label string, acceptorNonce, diallerNonce []byte, sender, answered *greeting) []byte {
	mac := hmac.New(sha256.New, key)
	write := func(b []byte) {
		_, _ = fmt.Fprintf(mac, "%d:", len(b))
		_, _ = mac.Write(b)
	}
	write([]byte("banyanfront session " + label))
	write(acceptorNonce)
	write(diallerNonce)
	for _, g := range []*greeting{sender, answered} {
		if g != nil {
			write(g.Hello)
			write(fmt.Append(nil, g.Window))
		}
	}
	return mac.Sum(nil)
}

func sendGreeting(c conn, g *greeting) error {
	b, err := cbor.Marshal(g)
	if err != nil {
		return err
	}
	return c.write(b)
}

func receiveGreeting(c conn) (g greeting, err error) {
	b, err := c.read()
	if err != nil {
		return g, err
	}
	defer putBatch(b)
	if len(*b) > maxGreetingBytes {
		return g, &HandshakeError{Kind: HandshakeMalformed, Detail: "peer's greeting is too long", Err: errGreeting}
	}
	if err := cbor.Unmarshal(*b, &g); err != nil {
		return g, &HandshakeError{Kind: HandshakeMalformed, Detail: "peer's greeting cannot be read", Err: err}
	}
	if g.Nonce != nil && len(g.Nonce) != nonceBytes {
		return g, &HandshakeError{Kind: HandshakeMalformed, Detail: "peer's nonce has a wrong length", Err: errGreeting}
	}
	return g, nil
}

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

// greeting is a handshake message. The handshake has three. The acceptor sends only a nonce until the dialler has proved
// that it holds the key, so that an unauthenticated peer learns nothing about the instance:
//
//	acceptor: nonce
//	dialler:  nonce, Hello, window, HMAC("dial", both nonces, its Hello and window)
//	acceptor: Hello, window, HMAC("accept", both nonces, both Hellos and windows)
type greeting struct {
	Nonce  []byte `cbor:"1,keyasint,omitempty"`
	Hello  []byte `cbor:"2,keyasint,omitempty"` // encoded frame of protocol.Hello
	Window int    `cbor:"3,keyasint,omitempty"` // bytes of Data that the sender accepts per stream
	Proof  []byte `cbor:"4,keyasint,omitempty"`
}

const (
	nonceBytes = 32
	// maxGreetingBytes bounds what an unauthenticated peer can make this side read.
	maxGreetingBytes = 4 << 10
)

// refusalPrefix begins the close reason of a failed handshake; the HandshakeErrorKind follows.
const refusalPrefix = "handshake failed: "

var errMalformedGreeting = errors.New("greeting is malformed")

// open runs the handshake on c, bounded by cfg.HandshakeTimeout, and starts the session.
func open(c conn, cfg Config, hello protocol.Hello, h Handler, dialler bool) (Session, error) {
	timeout := time.AfterFunc(cfg.HandshakeTimeout, c.abort)
	peer, window, err := exchangeGreetings(c, cfg, hello, dialler)
	if !timeout.Stop() && err == nil {
		err = &HandshakeError{Kind: HandshakeConnection, Detail: "handshake took too long"}
	}
	if err != nil {
		var handshake *HandshakeError
		var closed *peerClosed
		switch {
		case errors.As(err, &handshake):
			go c.close(refusalPrefix + string(handshake.Kind))
			return nil, err
		case errors.As(err, &closed) && closed.reason == refusalPrefix+string(HandshakeWrongKey):
			err = wrongKeyError()
		case errors.As(err, &closed) && strings.HasPrefix(closed.reason, refusalPrefix):
			kind := HandshakeErrorKind(strings.TrimPrefix(closed.reason, refusalPrefix))
			err = &HandshakeError{Kind: kind, Detail: "refused by the peer: see the peer's log"}
		default:
			err = &HandshakeError{Kind: HandshakeConnection, Detail: "connection failed", Err: err}
		}
		c.abort()
		return nil, err
	}
	c.setLimit(batchBytes + protocol.MaxMessageBytes + batchPrefixBytes)
	s := newSession(c, cfg, peer, window, h, dialler)
	s.health.withAgent = hello.Agent || peer.Agent
	h.SessionOpened(s)
	s.start()
	return s, nil
}

// exchangeGreetings authenticates both sides and returns the peer's Hello and receive window in bytes.
func exchangeGreetings(c conn, cfg Config, hello protocol.Hello, dialler bool) (peer protocol.Hello, window int, err error) {
	hello.Version = protocol.Version
	frame, err := protocol.Encode(0, &hello)
	if err != nil {
		return peer, 0, err
	}
	local := greeting{Nonce: make([]byte, nonceBytes), Hello: frame, Window: cfg.WindowBytes}
	_, _ = rand.Read(local.Nonce) // never fails
	var remote greeting
	if dialler {
		challenge, err := receiveGreeting(c)
		if err != nil {
			return peer, 0, err
		}
		local.Proof = proof(cfg.FleetKey, "dial", challenge.Nonce, local.Nonce, &local, nil)
		if err := sendGreeting(c, &local); err != nil {
			return peer, 0, err
		}
		if remote, err = receiveGreeting(c); err != nil {
			return peer, 0, err
		}
		expected := proof(cfg.FleetKey, "accept", challenge.Nonce, local.Nonce, &remote, &local)
		if !hmac.Equal(expected, remote.Proof) {
			return peer, 0, wrongKeyError()
		}
	} else {
		if err := sendGreeting(c, &greeting{Nonce: local.Nonce}); err != nil {
			return peer, 0, err
		}
		if remote, err = receiveGreeting(c); err != nil {
			return peer, 0, err
		}
		expected := proof(cfg.FleetKey, "dial", local.Nonce, remote.Nonce, &remote, nil)
		if !hmac.Equal(expected, remote.Proof) {
			return peer, 0, wrongKeyError()
		}
		response := greeting{Hello: local.Hello, Window: local.Window}
		response.Proof = proof(cfg.FleetKey, "accept", local.Nonce, remote.Nonce, &response, &remote)
		if err := sendGreeting(c, &response); err != nil {
			return peer, 0, err
		}
	}
	_, m, err := protocol.Decode(remote.Hello)
	if err != nil {
		return peer, 0, &HandshakeError{Kind: HandshakeMalformed, Detail: "peer's Hello cannot be read", Err: err}
	}
	remoteHello, ok := m.(*protocol.Hello)
	if !ok || remote.Window <= 0 {
		return peer, 0, &HandshakeError{Kind: HandshakeMalformed, Detail: "peer sent no Hello or no window", Err: errMalformedGreeting}
	}
	if remoteHello.Version != protocol.Version {
		return peer, 0, &HandshakeError{Kind: HandshakeVersion, Detail: fmt.Sprintf(
			"peer %s speaks protocol version %d, this process %d: upgrade the older one", remoteHello.Instance, remoteHello.Version, protocol.Version)}
	}
	return *remoteHello, remote.Window, nil
}

func wrongKeyError() error {
	return &HandshakeError{Kind: HandshakeWrongKey, Detail: "peer does not hold the fleet key: set the same key on both sides"}
}

// proof returns the HMAC over the nonces, the sender's greeting and, in a response, the greeting that it responds to.
func proof(key []byte, label string, acceptorNonce, diallerNonce []byte, sender, request *greeting) []byte {
	mac := hmac.New(sha256.New, key)
	write := func(b []byte) {
		_, _ = fmt.Fprintf(mac, "%d:", len(b))
		_, _ = mac.Write(b)
	}
	write([]byte("banyanfront session " + label))
	write(acceptorNonce)
	write(diallerNonce)
	for _, g := range []*greeting{sender, request} {
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
		return g, &HandshakeError{Kind: HandshakeMalformed, Detail: "peer's greeting is too long", Err: errMalformedGreeting}
	}
	if err := cbor.Unmarshal(*b, &g); err != nil {
		return g, &HandshakeError{Kind: HandshakeMalformed, Detail: "peer's greeting cannot be read", Err: err}
	}
	if g.Nonce != nil && len(g.Nonce) != nonceBytes {
		return g, &HandshakeError{Kind: HandshakeMalformed, Detail: "peer's nonce has a wrong length", Err: errMalformedGreeting}
	}
	return g, nil
}

package transport

import (
	"fmt"

	"github.com/banyanfront/banyanfront/internal/protocol"
)

// messageOrder checks the order of the messages of a stream: at most one Head, before any Data, and no gap or repetition
// in the offsets of Data. Offsets count tokens in Data with tokens and bytes in other Data, and start at any value. Data
// without tokens on a stream that has had tokens, such as a closing event, may count either.
type messageOrder struct {
	headReceived    bool
	dataReceived    bool
	tokensReceived  bool
	nextTokenOffset uint64
	nextByteOffset  uint64
}

// check records the message and returns "", or describes how it violates the order.
func (o *messageOrder) check(m protocol.Message) string {
	switch m := m.(type) {
	case *protocol.Head:
		if o.headReceived || o.dataReceived {
			return "peer sent Head after Head or Data"
		}
		o.headReceived = true
	case *protocol.Data:
		if m.Tokens < 0 {
			return "peer sent Data with a negative number of tokens"
		}
		matchesTokens := m.Offset == o.nextTokenOffset && (m.Tokens > 0 || o.tokensReceived)
		matchesBytes := m.Offset == o.nextByteOffset && m.Tokens == 0
		if o.dataReceived && !matchesTokens && !matchesBytes {
			return fmt.Sprintf("peer sent Data at offset %d, expected %d tokens or %d bytes", m.Offset, o.nextTokenOffset, o.nextByteOffset)
		}
		if !o.dataReceived {
			o.nextTokenOffset, o.nextByteOffset = m.Offset, m.Offset
		}
		o.dataReceived = true
		o.tokensReceived = o.tokensReceived || m.Tokens > 0
		o.nextTokenOffset += uint64(m.Tokens)
		o.nextByteOffset += uint64(len(m.Payload))
	case *protocol.Ping, *protocol.Pong, *protocol.GoAway, *protocol.Hello, *protocol.Open:
		return fmt.Sprintf("peer sent a message of type %d on a stream", m.Type())
	}
	return ""
}

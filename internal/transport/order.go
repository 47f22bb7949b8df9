package transport

import (
	"fmt"

	"github.com/banyanfront/banyanfront/internal/protocol"
)

// order checks that the messages of a stream follow one another: one Head before any Data, and no gap or repetition in
// the offsets of Data. The offset of Data with tokens counts tokens, that of other Data counts bytes, from any start.
// Data without tokens on a stream that has had tokens, such as a closing event, may count either.
type order struct {
	headSeen   bool
	dataSeen   bool
	tokensSeen bool
	nextTokens uint64
	nextBytes  uint64
}

// check returns why the message may not follow, or "".
func (o *order) check(m protocol.Message) string {
	switch m := m.(type) {
	case *protocol.Head:
		if o.headSeen || o.dataSeen {
			return "peer sent Head after Head or Data"
		}
		o.headSeen = true
	case *protocol.Data:
		if m.Tokens < 0 {
			return "peer sent Data with a negative number of tokens"
		}
		inTokens := m.Offset == o.nextTokens && (m.Tokens > 0 || o.tokensSeen)
		inBytes := m.Offset == o.nextBytes && m.Tokens == 0
		if o.dataSeen && !inTokens && !inBytes {
			return fmt.Sprintf("peer sent Data at offset %d, expected %d tokens or %d bytes", m.Offset, o.nextTokens, o.nextBytes)
		}
		if !o.dataSeen {
			o.nextTokens, o.nextBytes = m.Offset, m.Offset
		}
		o.dataSeen = true
		o.tokensSeen = o.tokensSeen || m.Tokens > 0
		o.nextTokens += uint64(m.Tokens)
		o.nextBytes += uint64(len(m.Payload))
	case *protocol.Ping, *protocol.Pong, *protocol.GoAway, *protocol.Hello, *protocol.Open:
		return fmt.Sprintf("peer sent a message of type %d on a stream", m.Type())
	}
	return ""
}

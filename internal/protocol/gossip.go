package protocol

import "github.com/banyanfront/banyanfront/decide/membership"

// MaxGossipBytes is the maximum size of one membership message. It suffices to exchange a table of 2,000 members.
const MaxGossipBytes = 256 << 10

// EncodeGossip encodes a membership message for Gossip.Payload.
func EncodeGossip(message *membership.Message) ([]byte, error) {
	return encodeAgreed([]byte{agreedFormat}, message, MaxGossipBytes)
}

// DecodeGossip decodes a membership message from EncodeGossip.
func DecodeGossip(data []byte) (*membership.Message, error) {
	message := new(membership.Message)
	return message, decodeAgreed(data, 1, message, MaxGossipBytes)
}

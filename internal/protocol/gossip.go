package protocol

import "github.com/banyanfront/banyanfront/decide/membership"

// MaxGossipBytes bounds one membership message: a table exchange of 2,000 members.
const MaxGossipBytes = 256 << 10

// EncodeGossip encodes a membership message for Gossip.Payload.
func EncodeGossip(message *membership.Message) ([]byte, error) {
	return encodeAgreed([]byte{agreedFormat}, message, MaxGossipBytes)
}

// DecodeGossip decodes what EncodeGossip has encoded.
func DecodeGossip(data []byte) (*membership.Message, error) {
	message := new(membership.Message)
	return message, decodeAgreed(data, 1, message, MaxGossipBytes)
}

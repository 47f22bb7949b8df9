package protocol

import (
	"bytes"
	"errors"
	"fmt"
	"sync"

	"github.com/fxamacker/cbor/v2"
)

// Limits of the decoder in addition to MaxMessageBytes.
const (
	// maxNesting limits the depth of nested arrays and maps. The deepest message, Announce, needs 4.
	maxNesting = 8
	// maxElements limits the elements of one array. State.Entries is the longest; the sender splits a longer list.
	maxElements = 16 << 10
	// maxPairs limits the pairs of one map, including fields of newer protocol revisions.
	maxPairs = 64
	// maxPooledBytes limits the buffers returned to bufferPool, so that one large message does not pin memory.
	maxPooledBytes = 64 << 10
)

// frameArrayHead is the CBOR head of a three-element array: stream, type and message body.
const frameArrayHead = 0x83

// CBOR major types used here, in the upper three bits of the head of an item.
const (
	majorUint  = 0 << 5
	majorBytes = 2 << 5
	majorMap   = 5 << 5
)

var (
	encMode    = mustEncMode()
	decMode    = mustDecMode()
	bufferPool = sync.Pool{New: func() any { return new(bytes.Buffer) }}
)

func mustEncMode() cbor.UserBufferEncMode {
	mode, err := cbor.EncOptions{
		IndefLength: cbor.IndefLengthForbidden,
		TagsMd:      cbor.TagsForbidden,
		// The KV cache share in load reports is 0 until the engine reports another one. This form takes 3 bytes instead of 9.
		ShortestFloat: cbor.ShortestFloat16,
	}.UserBufferEncMode()
	if err != nil {
		panic(err)
	}
	return mode
}

func mustDecMode() cbor.DecMode {
	mode, err := cbor.DecOptions{
		DupMapKey:        cbor.DupMapKeyEnforcedAPF,
		MaxNestedLevels:  maxNesting,
		MaxArrayElements: maxElements,
		MaxMapPairs:      maxPairs,
		IndefLength:      cbor.IndefLengthForbidden,
		TagsMd:           cbor.TagsForbidden,
		// Header fields, paths and identifiers come from callers and servers, and need not be UTF-8. The encoder accepts them
		// as they are.
		UTF8: cbor.UTF8DecodeInvalid,
	}.DecMode()
	if err != nil {
		panic(err)
	}
	return mode
}

// TooLargeError reports a message above MaxMessageBytes.
type TooLargeError struct {
	Stream uint64
	Type   Type // 0 if unknown
	Bytes  int
}

// Error implements error.
func (e *TooLargeError) Error() string {
	return fmt.Sprintf("message of type %d on stream %d has %d bytes, the limit is %d: split it or refuse the request as too large",
		e.Type, e.Stream, e.Bytes, MaxMessageBytes)
}

// MalformedError reports a frame that is not a valid message. StreamKnown is true if the frame header could be decoded;
// the receiver then needs to end that stream only.
type MalformedError struct {
	Stream      uint64
	StreamKnown bool
	Type        Type
	Err         error
}

// Error implements error.
func (e *MalformedError) Error() string {
	if !e.StreamKnown {
		return fmt.Sprintf("frame header is malformed: %v: check that both sides run a supported version", e.Err)
	}
	return fmt.Sprintf("message of type %d on stream %d is malformed: %v: check that both sides run a supported version",
		e.Type, e.Stream, e.Err)
}

// Unwrap returns the cause.
func (e *MalformedError) Unwrap() error { return e.Err }

// UnknownTypeError reports a message type that this version does not support. The receiver skips the message, since its
// sender is newer.
type UnknownTypeError struct {
	Stream uint64
	Type   uint64
}

// Error implements error.
func (e *UnknownTypeError) Error() string {
	return fmt.Sprintf("message type %d on stream %d is unknown: skip it, or upgrade this process to its peer's version",
		e.Type, e.Stream)
}

var errTruncated = errors.New("truncated")

// Encode returns the frame of a message. Stream 0 is for messages that belong to no stream.
func Encode(stream uint64, m Message) ([]byte, error) {
	return AppendFrame(nil, stream, m)
}

// AppendFrame appends the frame of a message to dst. On error it returns dst unchanged, with a *TooLargeError or
// *MalformedError.
func AppendFrame(dst []byte, stream uint64, m Message) ([]byte, error) {
	start := len(dst)
	out := append(dst, frameArrayHead)
	out = appendHead(out, majorUint, stream)
	out = appendHead(out, majorUint, uint64(m.Type()))
	if d, ok := m.(*Data); ok && d.Payload != nil && d.Tokens >= 0 {
		out = appendData(out, d)
	} else if err := appendMapBody(&out, m); err != nil {
		return dst, &MalformedError{Stream: stream, StreamKnown: true, Type: m.Type(), Err: err}
	}
	if size := len(out) - start; size > MaxMessageBytes {
		return dst, &TooLargeError{Stream: stream, Type: m.Type(), Bytes: size}
	}
	return out, nil
}

// appendMapBody appends the body of a message as encoded by the CBOR library.
func appendMapBody(out *[]byte, m Message) error {
	buffer := bufferPool.Get().(*bytes.Buffer)
	defer func() {
		if buffer.Cap() <= maxPooledBytes {
			buffer.Reset()
			bufferPool.Put(buffer)
		}
	}()
	if err := encMode.MarshalToBuffer(m, buffer); err != nil {
		return err
	}
	*out = append(*out, buffer.Bytes()...)
	return nil
}

// Decode decodes one frame. The message shares no memory with data. The errors are *TooLargeError, *MalformedError and
// *UnknownTypeError; on the last one the receiver skips the message.
func Decode(data []byte) (stream uint64, m Message, err error) {
	stream, typeNumber, body, err := decodeHeader(data)
	if err != nil {
		return 0, nil, &MalformedError{Err: err}
	}
	if len(data) > MaxMessageBytes {
		return stream, nil, &TooLargeError{Stream: stream, Bytes: len(data)}
	}
	if Type(typeNumber) == TypeData && typeNumber <= 255 {
		if d := new(Data); decodeData(body, d) {
			return stream, d, nil
		}
	}
	m = newMessage(typeNumber)
	if m == nil {
		return stream, nil, &UnknownTypeError{Stream: stream, Type: typeNumber}
	}
	if len(body) == 0 || body[0]&0xe0 != majorMap {
		return stream, nil, &MalformedError{Stream: stream, StreamKnown: true, Type: m.Type(), Err: errors.New("body is not a map")}
	}
	if err := decMode.Unmarshal(body, m); err != nil {
		return stream, nil, &MalformedError{Stream: stream, StreamKnown: true, Type: m.Type(), Err: err}
	}
	return stream, m, nil
}

// FrameStream decodes only the stream of a frame whose body may be truncated.
func FrameStream(data []byte) (stream uint64, ok bool) {
	stream, _, _, err := decodeHeader(data)
	return stream, err == nil
}

func decodeHeader(data []byte) (stream, typeNumber uint64, body []byte, err error) {
	if len(data) == 0 {
		return 0, 0, nil, errTruncated
	}
	if data[0] != frameArrayHead {
		return 0, 0, nil, fmt.Errorf("first byte is %#x, not an array of three", data[0])
	}
	stream, rest, err := readHead(data[1:], majorUint)
	if err != nil {
		return 0, 0, nil, err
	}
	typeNumber, rest, err = readHead(rest, majorUint)
	if err != nil {
		return 0, 0, nil, err
	}
	return stream, typeNumber, rest, nil
}

// appendHead appends the head of a CBOR item of the major type with the argument v, in its shortest form.
func appendHead(dst []byte, major byte, v uint64) []byte {
	switch {
	case v < 24:
		return append(dst, major|byte(v))
	case v < 1<<8:
		return append(dst, major|24, byte(v))
	case v < 1<<16:
		return append(dst, major|25, byte(v>>8), byte(v))
	case v < 1<<32:
		return append(dst, major|26, byte(v>>24), byte(v>>16), byte(v>>8), byte(v))
	default:
		return append(dst, major|27, byte(v>>56), byte(v>>48), byte(v>>40), byte(v>>32),
			byte(v>>24), byte(v>>16), byte(v>>8), byte(v))
	}
}

// readHead decodes the head of a CBOR item that must have the major type. It returns the argument of the head and the
// bytes after it.
func readHead(data []byte, major byte) (v uint64, rest []byte, err error) {
	if len(data) == 0 {
		return 0, nil, errTruncated
	}
	if data[0]&0xe0 != major {
		return 0, nil, fmt.Errorf("item head %#x has major type %d, not %d", data[0], data[0]>>5, major>>5)
	}
	info := data[0] & 0x1f
	data = data[1:]
	if info < 24 {
		return uint64(info), data, nil
	}
	if info > 27 {
		return 0, nil, fmt.Errorf("item head with additional information %d is not allowed", info)
	}
	size := 1 << (info - 24)
	if len(data) < size {
		return 0, nil, errTruncated
	}
	for _, b := range data[:size] {
		v = v<<8 | uint64(b)
	}
	return v, data[size:], nil
}

// newMessage returns an empty message of the type, or nil if the type is unknown.
func newMessage(typeNumber uint64) Message {
	if typeNumber > 255 {
		return nil
	}
	switch Type(typeNumber) {
	case TypeHello:
		return new(Hello)
	case TypeAnnounce:
		return new(Announce)
	case TypeLoad:
		return new(Load)
	case TypeOpen:
		return new(Open)
	case TypeHead:
		return new(Head)
	case TypeData:
		return new(Data)
	case TypeCredit:
		return new(Credit)
	case TypeEnd:
		return new(End)
	case TypeCancel:
		return new(Cancel)
	case TypeInquire:
		return new(Inquire)
	case TypeInquiryResult:
		return new(InquiryResult)
	case TypePing:
		return new(Ping)
	case TypePong:
		return new(Pong)
	case TypeGoAway:
		return new(GoAway)
	case TypeRoster:
		return new(Roster)
	case TypeConsensus:
		return new(Consensus)
	case TypePropose:
		return new(Propose)
	case TypeProposed:
		return new(Proposed)
	case TypeState:
		return new(State)
	case TypeSummary:
		return new(Summary)
	case TypeGossip:
		return new(Gossip)
	case TypeOrder:
		return new(Order)
	case TypeOrderDone:
		return new(OrderDone)
	case TypeFounding:
		return new(Founding)
	case TypeJoin:
		return new(Join)
	case TypeDataCentres:
		return new(DataCentres)
	case TypeRelayedAnnouncements:
		return new(RelayedAnnouncements)
	case TypeControlInstances:
		return new(ControlInstances)
	case TypeRank:
		return new(Rank)
	case TypeRankOrder:
		return new(RankOrder)
	case TypeRankDone:
		return new(RankDone)
	case TypeGroupLoads:
		return new(GroupLoads)
	case TypePromptParts:
		return new(PromptParts)
	case TypeServerLimits:
		return new(ServerLimits)
	case TypePermitRequest:
		return new(PermitRequest)
	case TypePermits:
		return new(Permits)
	}
	return nil
}

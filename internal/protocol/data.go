package protocol

// Data is encoded and decoded here rather than by the library, since it is the message of each streamed token. The bytes
// are the same; BenchmarkData compares the cost.

// Heads of the pairs of Data: the keys 1, 2 and 3.
const (
	dataKeyOffset  = 1
	dataKeyPayload = 2
	dataKeyTokens  = 3
)

// appendData appends the body of a Data, whose payload must not be nil: the library writes that as null.
func appendData(dst []byte, d *Data) []byte {
	pairs := byte(3)
	if d.Tokens == 0 {
		pairs = 2
	}
	dst = append(dst, majorMap|pairs, dataKeyOffset)
	dst = appendHead(dst, majorUint, d.Offset)
	dst = append(dst, dataKeyPayload)
	dst = appendHead(dst, majorBytes, uint64(len(d.Payload)))
	dst = append(dst, d.Payload...)
	if d.Tokens == 0 {
		return dst
	}
	dst = append(dst, dataKeyTokens)
	return appendHead(dst, majorUint, uint64(d.Tokens))
}

// decodeData reads the body of a Data as appendData writes it. It returns false for any other form, which is left to the
// library.
func decodeData(body []byte, d *Data) bool {
	if len(body) < 2 || (body[0] != majorMap|2 && body[0] != majorMap|3) || body[1] != dataKeyOffset {
		return false
	}
	offset, rest, err := readHead(body[2:], majorUint)
	if err != nil || len(rest) == 0 || rest[0] != dataKeyPayload {
		return false
	}
	size, rest, err := readHead(rest[1:], majorBytes)
	if err != nil || uint64(len(rest)) < size {
		return false
	}
	payload, rest := rest[:size], rest[size:]
	var tokens uint64
	if body[0] == majorMap|3 {
		if len(rest) == 0 || rest[0] != dataKeyTokens {
			return false
		}
		if tokens, rest, err = readHead(rest[1:], majorUint); err != nil || tokens > MaxMessageBytes {
			return false
		}
	}
	if len(rest) > 0 {
		return false
	}
	d.Offset, d.Tokens = offset, int(tokens)
	d.Payload = append(make([]byte, 0, size), payload...)
	return true
}

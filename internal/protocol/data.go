package protocol

// Data is encoded and decoded here rather than by the CBOR library for speed: there is one such message for each streamed
// token. The encoding is the same; BenchmarkData measures the cost.

// Encoded map keys of the fields of Data: 1, 2 and 3.
const (
	dataKeyOffset  = 1
	dataKeyPayload = 2
	dataKeyTokens  = 3
)

// appendData appends the body of a Data message, whose payload must not be nil: the library encodes that as null.
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

// decodeData decodes the body of a Data message in the form that appendData writes. It returns false for any other form,
// which the library must decode.
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

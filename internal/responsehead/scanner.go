package responsehead

import "bytes"

// Scanner finds what net/http leaves no trace of in the bytes of response heads:
//   - A line that begins with a blank (obsolete line folding). net/http joins it to the field before, though the server may have sent
//     another field.
//   - Transfer-Encoding in a response older than HTTP/1.1, which has no such field. net/http drops it, and the sizes of chunks become a
//     part of the body.
//
// The zero value expects no head.
type Scanner struct {
	state   scanState
	version [len(chunksSince)]byte
	matched int  // bytes of the version, or of chunksField
	old     bool // the response is older than chunksSince
	interim bool // the present head is that of an interim response, after which another head follows
}

// chunksSince is the version that introduced chunks; the name of their field is in small letters.
const (
	chunksSince = "HTTP/1.1"
	chunksField = "transfer-encoding"
)

// scanState is what the next byte belongs to.
type scanState uint8

const (
	noHead        scanState = iota // a body, or what follows it
	statusVersion                  // the beginning of a status line
	statusCode                     // the first digit of the status, or a blank before it
	lineStart                      // the first byte of a line after the status line
	lineReturn                     // a line that began with a carriage return
	fieldName                      // the name of a field of an old response that is chunksField so far
	lineRest                       // a line that is accepted as far as this scanner goes
)

// Begin makes the scanner take the next bytes for those of a head.
func (s *Scanner) Begin() { *s = Scanner{state: statusVersion} }

// Scan examines further bytes. It returns how many of them precede the first one that is refused, and an Error, or their number and nil
// if there is none.
func (s *Scanner) Scan(b []byte) (int, error) {
	for i := 0; i < len(b) && s.state != noHead; i++ {
		c := b[i]
		switch s.state {
		case statusVersion:
			if c == ' ' {
				s.old = string(s.version[:s.matched]) < chunksSince
				s.state = statusCode
			} else if s.matched < len(s.version) {
				s.version[s.matched] = c
				s.matched++
			}
		case statusCode:
			if c != ' ' {
				s.interim = c == '1'
				s.state = lineRest
				i-- // it may end the line
			}
		case lineStart, lineReturn:
			if err := s.startLine(c); err != nil {
				return i, err
			}
			if s.state == fieldName {
				i-- // its first byte
			}
		case fieldName:
			switch {
			case s.matched == len(chunksField) && c == ':':
				return i, newError("old_chunks", "a version before 1.1 has no Transfer-Encoding")
			case s.matched < len(chunksField) && lowerCase(c) == chunksField[s.matched]:
				s.matched++
			default:
				s.state = lineRest
				i-- // it may end the line
			}
		case lineRest:
			end := bytes.IndexByte(b[i:], '\n')
			if end < 0 {
				return len(b), nil
			}
			i += end
			s.state = lineStart
		}
	}
	return len(b), nil
}

// startLine processes the first byte of a line, or the one after a carriage return there.
func (s *Scanner) startLine(c byte) error {
	switch {
	case c == '\n':
		if s.interim {
			s.Begin()
		} else {
			s.state = noHead
		}
	case s.state == lineReturn:
		s.state = lineRest
	case c == '\r':
		s.state = lineReturn
	case c == ' ' || c == '\t':
		return newError("folded_line", "a line of the head begins with a blank")
	case s.old:
		s.state, s.matched = fieldName, 0
	default:
		s.state = lineRest
	}
	return nil
}

func lowerCase(c byte) byte {
	if 'A' <= c && c <= 'Z' {
		return c + 'a' - 'A'
	}
	return c
}

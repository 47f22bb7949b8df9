package responsehead

import "bytes"

// FoldScanner finds lines that begin with a blank in the bytes of response heads. net/http joins such a line to the field before it, so
// that nothing in its result tells that the server may have sent another field. The zero value expects no head.
type FoldScanner struct {
	state   scanState
	interim bool // the present head is that of an interim response, after which another head follows
}

// scanState is what the next byte belongs to.
type scanState uint8

const (
	noHead     scanState = iota // a body, or what follows it
	version                     // the beginning of a status line
	status                      // the first digit of the status, or a blank before it
	lineRest                    // a line that began properly
	lineStart                   // the first byte of a line after the status line
	lineReturn                  // a line that began with a carriage return
)

// Begin makes the scanner take the next bytes for those of a head.
func (s *FoldScanner) Begin() { s.state = version }

// Scan examines further bytes. It returns how many of them precede a line that begins with a blank, and an Error, or their number and
// nil if there is none.
func (s *FoldScanner) Scan(b []byte) (int, error) {
	for i := 0; i < len(b) && s.state != noHead; i++ {
		switch c := b[i]; s.state {
		case version:
			if c == ' ' {
				s.state = status
			}
		case status:
			if c != ' ' {
				s.interim = c == '1'
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
		case lineStart, lineReturn:
			switch {
			case c == '\n':
				s.state = noHead
				if s.interim {
					s.state = version
				}
			case s.state == lineReturn:
				s.state = lineRest
			case c == '\r':
				s.state = lineReturn
			case c == ' ' || c == '\t':
				return i, newError("folded_line", "a line of the head begins with a blank")
			default:
				s.state = lineRest
			}
		}
	}
	return len(b), nil
}

package responsehead

import (
	"strings"
	"testing"

	"github.com/matryer/is"
)

// Guards against folded lines that are found or missed depending on how the bytes arrive, and against bodies taken for heads.
func TestFoldedLinesAreFoundHoweverTheBytesArrive(t *testing.T) {
	for head, folded := range map[string]bool{
		"HTTP/1.1 200 OK\r\nA: 1\r\n\r\n body\r\n line":                                false,
		"HTTP/1.1 200 OK\r\nA: 1\r\n\r\nHTTP/1.1 200 OK\r\n B: 1\r\n\r\n":              false, // not expected
		"HTTP/1.1 200 OK\nA: 1\n\n body":                                               false,
		"HTTP/1.1 200\r\n\r\n body":                                                    false,
		"HTTP/1.1 \r\n\r\n body":                                                       false,
		"HTTP/1.1 103 Hints\r\nA: 1\r\n\r\nHTTP/1.1 200 OK\r\nA:\t 1 \r\n\r\n  body":   false,
		"HTTP/1.1 200 OK\r\n A: 1\r\n\r\n":                                             true,
		"HTTP/1.1 200 OK\r\nA: 1\r\n\tB: 1\r\n\r\n":                                    true,
		"HTTP/1.1  200 OK\nA: 1\n B: 1\n\n":                                            true,
		"HTTP/1.1 200 OK\r\nA: 1\r\n\rB\r\n C: 1\r\n\r\n":                              true,
		"HTTP/1.1 103 Hints\r\nA: 1\r\n\r\nHTTP/1.1 200 OK\r\nA: 1\r\n B: 1\r\n\r\n":   true,
		"HTTP/1.1 103 Hints\r\nA: 1\r\n B: 1\r\n\r\nHTTP/1.1 200 OK\r\nA: 1\r\n\r\n\n": true,
	} {
		for step := 1; step <= len(head); step++ {
			is := is.New(t)
			var s FoldScanner
			s.Begin()
			var err error
			at := 0
			for at < len(head) && err == nil {
				var n int
				n, err = s.Scan([]byte(head[at:min(at+step, len(head))]))
				at += n
			}
			is.Equal(err != nil, folded)
			if folded {
				is.True(strings.HasSuffix(head[:at], "\n") && strings.ContainsRune(" \t", rune(head[at]))) // the bytes before the line
			}
		}
	}
}

// Guards against a scanner that refuses bytes when no head is expected.
func TestNothingIsFoundWithoutAHead(t *testing.T) {
	is := is.New(t)
	n, err := new(FoldScanner).Scan([]byte("HTTP/1.1 200 OK\r\n A: 1\r\n"))
	is.NoErr(err)
	is.Equal(n, 24)
}

package responsehead

import (
	"strings"
	"testing"

	"github.com/matryer/is"
)

// Guards against heads that are refused or not depending on how the bytes arrive, and against bodies taken for heads.
func TestHeadsAreScannedHoweverTheBytesArrive(t *testing.T) {
	for head, refusedAt := range map[string]string{ // the beginning of what is refused, empty if nothing is
		"HTTP/1.1 200 OK\r\nA: 1\r\n\r\n body\r\n line":                                                    "",
		"HTTP/1.1 200 OK\r\nA: 1\r\n\r\nHTTP/1.1 200 OK\r\n B: 1\r\n\r\n":                                  "", // not expected
		"HTTP/1.1 200 OK\nA: 1\n\n body":                                                                   "",
		"HTTP/1.1 200\r\n\r\n body":                                                                        "",
		"HTTP/1.1 \r\n\r\n body":                                                                           "",
		"HTTP/1.1 103 Hints\r\nA: 1\r\n\r\nHTTP/1.1 200 OK\r\nA:\t 1 \r\n\r\n  body":                       "",
		"HTTP/1.1 200 OK\r\n A: 1\r\n\r\n":                                                                 " ",
		"HTTP/1.1 200 OK\r\nA: 1\r\n\tB: 1\r\n\r\n":                                                        "\t",
		"HTTP/1.1  200 OK\nA: 1\n B: 1\n\n":                                                                " ",
		"HTTP/1.1 200 OK\r\nA: 1\r\n\rB\r\n C: 1\r\n\r\n":                                                  " ",
		"HTTP/1.1 103 Hints\r\nA: 1\r\n\r\nHTTP/1.1 200 OK\r\nA: 1\r\n B: 1\r\n\r\n":                       " ",
		"HTTP/1.1 103 Hints\r\nA: 1\r\n B: 1\r\n\r\nHTTP/1.1 200 OK\r\nA: 1\r\n\r\n\n":                     " ",
		"HTTP/1.0 200 OK\r\nA: 1\r\nTransfer-Encoding: chunked\r\n\r\n":                                    ": chunked",
		"HTTP/0.9 200 OK\ntransfer-encoding: chunked\n\n":                                                  ": chunked",
		"HTTP/1.0 103 Hints\r\nA: 1\r\n\r\nHTTP/1.0 200 OK\r\nTRANSFER-ENCODING: x\r\n\r\n":                ": x",
		"HTTP/1.0 103 Hints\r\nA: 1\r\n\r\nHTTP/1.1 200 OK\r\nTransfer-Encoding: x\r\n\r\n":                "",
		"HTTP/1.0 200 OK\r\nTransfer-Encodin: 1\r\nTransfer-Encodings: 1\r\nT\r\n\r\nTransfer-Encoding: x": "",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n":                                            "",
		"HTTP/2.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n":                                            "",
	} {
		for step := 1; step <= len(head); step++ {
			is := is.New(t)
			var s Scanner
			s.Begin()
			var err error
			at := 0
			for at < len(head) && err == nil {
				var n int
				n, err = s.Scan([]byte(head[at:min(at+step, len(head))]))
				at += n
			}
			is.Equal(err != nil, refusedAt != "")
			is.True(strings.HasPrefix(head[at:], refusedAt))
		}
	}
}

// Guards against a scanner that refuses bytes when no head is expected.
func TestNothingIsFoundWithoutAHead(t *testing.T) {
	is := is.New(t)
	n, err := new(Scanner).Scan([]byte("HTTP/1.1 200 OK\r\n A: 1\r\n"))
	is.NoErr(err)
	is.Equal(n, 24)
}

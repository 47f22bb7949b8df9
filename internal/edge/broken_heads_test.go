package edge

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/matryer/is"

	"github.com/banyanfront/banyanfront/platform"
)

// answerInParts returns the bytes of a sealed answer with a status, further header lines and a body of which length bytes are announced.
func answerInParts(status, id, lines string, length int, body string) string {
	return fmt.Sprintf("HTTP/1.1 %s\r\n%s: %s\r\n%s: seal\r\n%sContent-Length: %d\r\n\r\n%s", status, platform.HeaderRequestID, id,
		platform.HeaderSeal, lines, length, body)
}

// callerGetsNoAnswer sends a request on each route to servers that all send the same answer, and checks that nothing of it reaches
// the caller and that it is counted as an attempt that may have run.
func callerGetsNoAnswer(t *testing.T, answer func(id string) string) {
	t.Helper()
	for route, attempts := range map[string]int{"once": 1, "unsafe": 1, "safe": 2, "stream": 2, "broken": 1} {
		is := is.New(t)
		respond := func(s *rawServer, c net.Conn, _ int, id string, _ *http.Request) bool {
			s.run(id)
			_, _ = io.WriteString(c, answer(id))
			return false
		}
		p, url := startProxy(t)
		servers := []*rawServer{startRawServer(t, respond), startRawServer(t, respond), startRawServer(t, respond)}
		useRawServers(p, servers...)
		status, header, body, err := send(t, url, "/"+route+"/x")
		is.NoErr(err)
		is.Equal(status, http.StatusBadGateway)
		is.Equal(header.Get(platform.HeaderSeal), "")
		is.Equal(body, "")
		ran := 0
		for _, s := range servers {
			ran += s.ran("r1")
		}
		is.Equal(ran, attempts) // one that may run once at most is not sent on
	}
}

// Guards against an answer whose status HTTP does not define: 000 was skipped like an interim response and what came behind it was
// passed on, 101 and 600 were passed on themselves.
func TestAnswerWithAnUndefinedStatusIsNoAnswer(t *testing.T) {
	for _, status := range []string{"000", "000 OK", "001 OK", "020 OK", "099 OK", "+20 OK", "-00 OK", "101 Switching Protocols", "600 OK", "999 OK"} {
		for name, answer := range map[string]func(id string) string{
			"alone":             func(id string) string { return answerInParts(status, id, "", 4, "body") },
			"without a body":    func(id string) string { return answerInParts(status, id, "", 0, "") },
			"before an answer":  func(id string) string { return answerInParts(status, id, "", 0, "") + sealedAnswer(id) },
			"around an answer":  func(id string) string { return answerInParts(status, id, "", len(sealedAnswer(id)), sealedAnswer(id)) },
			"after an interim":  func(id string) string { return "HTTP/1.1 103 Hints\r\n\r\n" + answerInParts(status, id, "", 4, "body") },
			"naming no request": func(string) string { return "HTTP/1.1 " + status + "\r\nContent-Length: 4\r\n\r\nbody" },
		} {
			t.Run(status+"/"+name, func(t *testing.T) { callerGetsNoAnswer(t, answer) })
		}
	}
}

// brokenNames are header lines whose name holds a byte that no name can have.
var brokenNames = []string{"X Field: 1", "X-Field : 1", "X-Field\t: 1", "X\tField: 1", "X-Field  : 1", "X\x00Field: 1", "X-Field\x01: 1", "\x7fX-Field: 1",
	"\x0bX-Field: 1", "X\rField: 1", "\rX-Field: 1", "X-F\xc3\xadeld: 1", "X(Field): 1", ": 1", "X-Field 1"}

// Guards against an answer in whose head the name of a field holds a blank, a control byte or another one that no name can have. The
// field was dropped, and where it told the length of the body, whatever else the server sent was passed on as a part of it.
func TestAnswerWithABrokenFieldNameIsNoAnswer(t *testing.T) {
	for _, line := range brokenNames {
		for _, status := range []string{"200 OK", "404 None", "500 Failed"} {
			t.Run(line+"/"+status, func(t *testing.T) {
				callerGetsNoAnswer(t, func(id string) string { return answerInParts(status, id, line+"\r\n", 4, "body") })
			})
		}
		t.Run(line+"/interim", func(t *testing.T) {
			callerGetsNoAnswer(t, func(id string) string { return "HTTP/1.1 103 Hints\r\n" + line + "\r\n\r\n" + sealedAnswer(id) })
		})
	}
	head := "HTTP/1.1 200 OK\r\n" + platform.HeaderRequestID + ": %s\r\n" + platform.HeaderSeal + ": seal\r\n"
	for name, rest := range map[string]string{
		"length":             "Content-Length : 4\r\n\r\nbody of another answer",
		"length of events":   "Content-Length : 4\r\n\r\n" + eventsText(1, 2),
		"chunks":             "Transfer-Encoding : chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
		"length beside one":  "Content-Length : 10\r\nContent-Length: 4\r\n\r\nbody",
		"chunks with length": "Transfer-Encoding : chunked\r\nContent-Length: 14\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			callerGetsNoAnswer(t, func(id string) string { return fmt.Sprintf(head, id) + rest })
		})
	}
}

// Guards against a line of a head that begins with a blank: net/http joins it to the field before, so that the caller got that field with
// another value, and where the line told the length of the body, whatever else the server sent.
func TestAnswerWithAFoldedLineIsNoAnswer(t *testing.T) {
	for _, line := range []string{" X-Field: 1", "\tX-Field: 1", "X-Field: 1\r\n  X-Other: 2", "X-Field: 1\r\n \t", " ", "\t \t", "X-Field: 1\n more"} {
		for _, status := range []string{"200 OK", "404 None", "500 Failed"} {
			t.Run(line+"/"+status, func(t *testing.T) {
				callerGetsNoAnswer(t, func(id string) string { return answerInParts(status, id, line+"\r\n", 4, "body") })
			})
		}
		t.Run(line+"/interim", func(t *testing.T) {
			callerGetsNoAnswer(t, func(id string) string {
				return "HTTP/1.1 103 Hints\r\nLink: a\r\n" + line + "\r\n\r\n" + sealedAnswer(id)
			})
		})
		t.Run(line+"/after an interim", func(t *testing.T) {
			callerGetsNoAnswer(t, func(id string) string {
				return "HTTP/1.1 103 Hints\r\nLink: a\r\n\r\n" + answerInParts("200 OK", id, line+"\r\n", 4, "body")
			})
		})
		t.Run(line+"/after another answer", func(t *testing.T) {
			callerGetsNoAnswer(t, func(id string) string {
				return sealedAnswer("other") + answerInParts("200 OK", id, line+"\r\n", 4, "body")
			})
		})
	}
	head := "HTTP/1.1 200 OK\r\n" + platform.HeaderRequestID + ": %s\r\n" + platform.HeaderSeal + ": seal\r\n"
	for name, rest := range map[string]string{
		"length":           " Content-Length: 4\r\n\r\nbody of another answer",
		"length of events": "\tContent-Length: 4\r\n\r\n" + eventsText(1, 2),
		"chunks":           " Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			callerGetsNoAnswer(t, func(id string) string { return fmt.Sprintf(head, id) + rest })
		})
	}
}

// Guards against an answer of HTTP/1.0 that claims to come in chunks, which that version does not have: net/http ignores the field, so
// that the caller got the sizes of the chunks as a part of the body.
func TestAnswerOfAnOldVersionInChunksIsNoAnswer(t *testing.T) {
	head := "HTTP/%s 200 OK\r\n" + platform.HeaderRequestID + ": %s\r\n" + platform.HeaderSeal + ": seal\r\n"
	for _, version := range []string{"1.0", "0.9"} {
		for name, rest := range map[string]string{
			"chunks":             "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
			"in small letters":   "transfer-encoding:chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
			"chunks with length": "Transfer-Encoding: chunked\r\nContent-Length: 14\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
			"chunks of events":   "Transfer-Encoding: chunked\r\n\r\n" + fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(eventsText(1, 2)), eventsText(1, 2)),
		} {
			t.Run(version+"/"+name, func(t *testing.T) {
				callerGetsNoAnswer(t, func(id string) string { return fmt.Sprintf(head, version, id) + rest })
			})
		}
	}
}

// Guards against answers of HTTP/1.0 without chunks being refused: servers of that version exist.
func TestAnswerOfAnOldVersionIsPassedOn(t *testing.T) {
	for _, length := range []string{"Content-Length: 4\r\n", ""} {
		is := is.New(t)
		p, url := startProxy(t)
		useRawServers(p, startRawServer(t, func(_ *rawServer, c net.Conn, _ int, id string, _ *http.Request) bool {
			_, _ = io.WriteString(c, fmt.Sprintf("HTTP/1.0 200 OK\r\n%s: %s\r\n%s: seal\r\nTransfer-Encodings: 1\r\nTransfer: 1\r\n%s\r\nbody",
				platform.HeaderRequestID, id, platform.HeaderSeal, length))
			return false
		}))
		status, header, body, err := send(t, url, "/once/x")
		is.NoErr(err)
		is.Equal(status, http.StatusOK)
		is.Equal(header.Get(platform.HeaderSeal), "seal")
		is.Equal(body, "body")
	}
}

// answerWithTrailer returns the bytes of a sealed answer in chunks, with the lines of a trailer.
func answerWithTrailer(id, body, lines string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\n%s: seal\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n%s\r\n", platform.HeaderRequestID, id,
		platform.HeaderSeal, len(body), body, lines)
}

// Guards against an answer in whose trailer the name of a field holds a byte that no name can have: those with blanks were passed over.
func TestAnswerWithABrokenNameInItsTrailerIsNoAnswer(t *testing.T) {
	for _, line := range brokenNames {
		t.Run(line, func(t *testing.T) {
			callerGetsNoAnswer(t, func(id string) string { return answerWithTrailer(id, "body", line+"\r\n") })
			for _, route := range []string{"stream", "broken"} {
				is := is.New(t)
				p, url := startProxy(t)
				useRawServers(p, startRawServer(t, func(_ *rawServer, c net.Conn, _ int, id string, _ *http.Request) bool {
					_, _ = io.WriteString(c, answerWithTrailer(id, eventsText(1, 2), line+"\r\n"))
					return true
				}))
				_, _, body, err := send(t, url, "/"+route+"/x")
				is.True(err != nil) // not complete
				is.Equal(body, eventsText(1, 2))
			}
		})
	}
}

// Guards against a sound trailer that breaks its answer.
func TestAnswerWithATrailerIsPassedOn(t *testing.T) {
	for route, want := range map[string]string{"once": "body", "stream": eventsText(1, 2)} {
		is := is.New(t)
		p, url := startProxy(t)
		useRawServers(p, startRawServer(t, func(_ *rawServer, c net.Conn, _ int, id string, _ *http.Request) bool {
			_, _ = io.WriteString(c, answerWithTrailer(id, want, "X-Field: 1\r\n"))
			return true
		}))
		status, _, body, err := send(t, url, "/"+route+"/x")
		is.NoErr(err)
		is.Equal(status, http.StatusOK)
		is.Equal(body, want)
	}
}

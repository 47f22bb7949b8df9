package agent

import (
	"io"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/matryer/is"
)

// Guards against events that are split, lost, repeated or overwritten by the reuse of the buffer, however the server's
// bytes arrive: each part consists of whole events, and all parts together equal the stream.
func TestEventReaderKeepsEventsWhole(t *testing.T) {
	events := []string{
		"data: {\"text\":\"uno\"}\n\n",
		"data: " + strings.Repeat("a", 3*initialBufferBytes) + "\n\n",
		"data: dos\n\n",
		": comment\n\n",
		"data: " + strings.Repeat("b", 2*readBufferBytes) + "\n\n",
		strings.Repeat("data: tres\n\n", readBufferBytes),
		"data: [DONE]\n\n",
	}
	const tokens = 4 + readBufferBytes
	stream := strings.Join(events, "")
	for name, src := range map[string]io.Reader{
		"whole":          strings.NewReader(stream),
		"byte by byte":   iotest.OneByteReader(strings.NewReader(stream)),
		"halves":         iotest.HalfReader(strings.NewReader(stream)),
		"error with end": iotest.DataErrReader(strings.NewReader(stream)),
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			r := newEventReader(src)
			var got strings.Builder
			count := 0
			for {
				part, n, err := r.next()
				if err != nil {
					is.Equal(err, io.EOF)
					break
				}
				is.True(strings.HasSuffix(string(part), "\n\n"))
				got.Write(part)
				count += n
			}
			is.Equal(got.String() == stream, true)
			is.Equal(count, tokens)
		})
	}
}

// Guards against a truncated stream that is taken for a complete one, which would reach the caller as a complete answer.
func TestEventReaderReportsTruncatedStream(t *testing.T) {
	is := is.New(t)
	for _, stream := range []string{"", "data: uno\n\n", "data: uno\n\ndata: d", "data: uno\n\ndata: [DONE]\n"} {
		r := newEventReader(strings.NewReader(stream))
		var err error
		for err == nil {
			_, _, err = r.next()
		}
		is.Equal(err, io.ErrUnexpectedEOF)
	}
}

// Guards against an unterminated event that fills the agent's memory: it is forwarded in pieces that count no token.
func TestEventReaderForwardsUnterminatedEventInPieces(t *testing.T) {
	is := is.New(t)
	stream := "data: " + strings.Repeat("a", 4*maxEventBytes)
	r := newEventReader(strings.NewReader(stream))
	got := 0
	var err error
	for err == nil {
		var part []byte
		var n int
		part, n, err = r.next()
		is.Equal(n, 0)
		is.True(len(part) <= 2*maxEventBytes)
		is.True(cap(r.buf) <= 4*maxEventBytes)
		got += len(part)
	}
	is.Equal(err, io.ErrUnexpectedEOF)
	is.True(got > len(stream)-maxEventBytes-1)
}

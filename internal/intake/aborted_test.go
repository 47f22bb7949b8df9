package intake

import (
	"crypto/tls"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against a part of an answer that a caller of HTTP/1.0 takes for the whole: that version has no chunks, so that the end of the
// connection is the end of an answer without a length, unless the connection is reset.
func TestAbortedAnswerToAnOldCallerIsReset(t *testing.T) {
	for name, abort := range map[string]func(r *http.Request){
		"aborted": func(*http.Request) { panic(http.ErrAbortHandler) },
		"server ended": func(r *http.Request) {
			_ = r.Context().Value(http.ServerContextKey).(*http.Server).Close()
			<-r.Context().Done()
		},
	} {
		for _, part := range []string{"", "a part"} {
			t.Run(name+"/"+part, func(t *testing.T) {
				is := is.New(t)
				address := startHandler(t, NewGate(64<<20, 1024).Guard(4), func(w http.ResponseWriter, r *http.Request) {
					_, _ = io.WriteString(w, part)
					_ = http.NewResponseController(w).Flush()
					abort(r)
				})
				_, err := io.ReadAll(send(t, address, "GET / HTTP/1.0\r\nHost: h\r\n\r\n"))
				is.True(err != nil)
			})
		}
	}
}

// Guards against whole answers that are lost by a reset.
func TestWholeAnswerToAnOldCallerEndsInOrder(t *testing.T) {
	is := is.New(t)
	long := make([]byte, 1<<20)
	address := startHandler(t, NewGate(64<<20, 1024).Guard(4), func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write(long) })
	c := send(t, address, "GET / HTTP/1.0\r\nHost: h\r\n\r\n")
	time.Sleep(20 * time.Millisecond) // the handler ends while the socket buffers hold a part
	answer, err := io.ReadAll(c)
	is.NoErr(err)
	is.True(len(answer) > len(long))
}

// Guards against TLS that announces an aborted answer as whole.
func TestAbortedAnswerToAnOldCallerIsResetOverTLS(t *testing.T) {
	is := is.New(t)
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, "a part")
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}))
	guard := NewGate(64<<20, 1024).Guard(4)
	server.Listener = guard.Listener(server.Listener)
	guard.Configure(server.Config)
	server.StartTLS()
	defer server.Close()
	c, err := tls.Dial("tcp", server.Listener.Addr().String(), server.Client().Transport.(*http.Transport).TLSClientConfig)
	is.NoErr(err)
	defer func() { _ = c.Close() }()
	_, err = io.WriteString(c, "GET / HTTP/1.0\r\nHost: h\r\n\r\n")
	is.NoErr(err)
	_, err = io.ReadAll(c)
	is.True(err != nil)
}

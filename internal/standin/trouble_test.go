package standin

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/banyanfront/banyanfront/platform"
)

// Guards against a stand-in that does not play its trouble: it names its limit; a crash ends all open requests, after which the machine
// refuses connections, as banyanfront tells a crash from a broken connection by that; and the next one knows nothing of the first.
func TestTroubledStandIn(t *testing.T) {
	is := is.New(t)
	reserved, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	address := reserved.Addr().String()
	is.NoErr(reserved.Close())
	var starts atomic.Int64
	begun := make(chan struct{})
	newHandler := func() http.Handler {
		start := strconv.FormatInt(starts.Add(1), 10)
		return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if r.URL.Path == "/slow" {
				close(begun)
				<-r.Context().Done()
			}
			w.Header().Set("Start", start)
		})
	}
	ctx, stop := context.WithCancel(t.Context())
	ended := make(chan error)
	const down = 300 * time.Millisecond
	go func() {
		ended <- RunTroubled(ctx, address, newHandler, Trouble{RateLimit: 2.5, CrashOn: "bad", Down: down})
	}()
	send := func(path, body string) (http.Header, error) {
		request, err := http.NewRequest(http.MethodPost, "http://"+address+path, io.NopCloser(strings.NewReader(body))) // not sent again
		is.NoErr(err)
		response, err := (&http.Transport{DisableKeepAlives: true}).RoundTrip(request)
		if err != nil {
			return nil, err
		}
		return response.Header, response.Body.Close()
	}
	awaitAnswer := func() http.Header {
		for {
			if header, err := send("/x", "good"); err == nil {
				return header
			}
			time.Sleep(down / 20)
		}
	}
	header := awaitAnswer()
	is.Equal(header.Get(platform.HeaderRateLimit), "2.5")
	is.Equal(header.Get("Start"), "1")
	slow := make(chan error)
	go func() {
		_, err := send("/slow", "good")
		slow <- err
	}()
	<-begun
	_, err = send("/x", "a bad one")
	is.True(err != nil)
	is.True(<-slow != nil)
	_, err = net.Dial("tcp", address)
	is.True(errors.Is(err, syscall.ECONNREFUSED))
	is.Equal(awaitAnswer().Get("Start"), "2")
	stop()
	is.NoErr(<-ended)
}

// Guards against a stand-in that does not say what it was told to say of itself, or says it to all requests.
func TestStandInThatLeavesAndAsksForQuiet(t *testing.T) {
	is := is.New(t)
	ask := func(trouble Trouble, body string) *httptest.ResponseRecorder {
		w := httptest.NewRecorder()
		r := httptest.NewRequest(http.MethodPost, "/x", strings.NewReader(body))
		r.Header.Set(platform.HeaderRequestID, "r1")
		handler := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { _, _ = io.Copy(w, r.Body) })
		(&troubled{handler, trouble, func() {}}).ServeHTTP(w, r)
		return w
	}
	w := ask(Trouble{Leaving: "1"}, "good")
	is.Equal(w.Header().Get(platform.HeaderLeaving), "1")
	is.Equal(w.Body.String(), "good")
	w = ask(Trouble{QuietOn: "busy", Quiet: "1.5"}, "good")
	is.Equal(w.Code, http.StatusOK)
	is.Equal(w.Body.String(), "good")
	is.Equal(w.Header().Get(platform.HeaderLeaving), "")
	w = ask(Trouble{QuietOn: "busy", Quiet: "1.5"}, "busy")
	is.Equal(w.Code, http.StatusServiceUnavailable)
	is.Equal(w.Header().Get(platform.HeaderRetryAfter), "1.5")
	is.Equal(w.Header().Get(platform.HeaderNotRun), "1")
	is.Equal(w.Header().Get(platform.HeaderRequestID), "r1")
}

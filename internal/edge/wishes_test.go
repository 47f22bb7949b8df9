package edge

import (
	"io"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/banyanfront/banyanfront/platform"
)

// Guards against requests that go on to a server which has said that it leaves, and against the word of somebody else: an unsealed
// success, another server at the address, or another value.
func TestServerThatLeavesGetsNoRequests(t *testing.T) {
	for name, c := range map[string]struct {
		respond func(w http.ResponseWriter)
		leaves  bool
	}{
		"success":  {func(w http.ResponseWriter) { respondSealed(w, http.StatusOK, "done") }, true},
		"error":    {func(w http.ResponseWriter) { respondSealed(w, http.StatusNotFound, "none") }, true},
		"rejected": {respondNotRun, true},
		"unsealed": {func(w http.ResponseWriter) { _, _ = io.WriteString(w, "garbage") }, false},
		"without the request's identifier": {func(w http.ResponseWriter) {
			w.Header().Del(platform.HeaderRequestID)
			w.WriteHeader(http.StatusNotFound)
		}, false},
		"another value": {func(w http.ResponseWriter) {
			w.Header().Set(platform.HeaderLeaving, "soon")
			respondSealed(w, http.StatusOK, "done")
		}, false},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			b := startBackend(t, func(w http.ResponseWriter, _ *http.Request, _ int) {
				w.Header().Set(platform.HeaderLeaving, "1")
				c.respond(w)
			})
			_, url := startProxy(t, b)
			_, header, _, err := send(t, url, "/once/x")
			is.NoErr(err)
			is.True(c.leaves || header.Get(platform.HeaderLeaving) != "1")
			status := 0
			for range 20 { // a server that has failed is avoided for a while
				if status, _, _, err = send(t, url, "/once/x"); b.count() > 1 {
					break
				}
				is.NoErr(err)
				time.Sleep(50 * time.Millisecond)
			}
			is.Equal(b.count() == 1, c.leaves)
			is.Equal(status == http.StatusServiceUnavailable && b.count() == 1, c.leaves) // refused at once
		})
	}
}

// Guards against more than two requests to a server that has asked for none, and against callers who wait for it until their
// deadline: each kind of Retry-After that a server may send.
func TestServerThatWantsNoRequestsGetsNone(t *testing.T) {
	for _, c := range []struct {
		values []string
		proved bool // that the request has not run
		quiet  bool
	}{
		{[]string{"30"}, true, true}, {[]string{"30"}, false, true}, {[]string{"12.5"}, true, true}, {[]string{" 30 "}, true, true},
		{[]string{"1e9"}, true, true}, {[]string{"0", "30", "soon"}, true, true}, {[]string{"0"}, true, false}, {[]string{"-5"}, true, false},
		{[]string{"NaN"}, true, false}, {[]string{"Inf"}, true, false}, {[]string{"Wed, 21 Oct 2099 07:28:00 GMT"}, true, false}, {nil, true, false},
	} {
		t.Run(strings.Join(c.values, "+"), func(t *testing.T) {
			is := is.New(t)
			b := startBackend(t, func(w http.ResponseWriter, _ *http.Request, _ int) {
				for _, v := range c.values {
					w.Header().Add(platform.HeaderRetryAfter, v)
				}
				if c.proved {
					w.Header().Set(platform.HeaderNotRun, "1")
				}
				respondSealed(w, http.StatusServiceUnavailable, "busy")
			})
			_, url := startProxy(t, b)
			for i := range 4 {
				status, header, _, err := send(t, url, "/once/x")
				is.NoErr(err)
				if !c.proved && i == 0 {
					is.Equal(status, http.StatusBadGateway) // it may have run
					continue
				}
				is.Equal(status, http.StatusServiceUnavailable)
				after, err := strconv.ParseFloat(header.Get(platform.HeaderRetryAfter), 64)
				is.NoErr(err)
				is.Equal(after > 10, c.quiet && i > 0) // the time at which the server wants work again
			}
			is.Equal(b.count() == 1, c.quiet)
		})
	}
}

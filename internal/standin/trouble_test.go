package standin

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/banyanfront/banyanfront/platform"
)

// Guards against a stand-in that does not play its trouble: it names its limit, ends all open requests as one crashes it, and is back
// after its down time.
func TestTroubledStandIn(t *testing.T) {
	is := is.New(t)
	const down = 100 * time.Millisecond
	begun := make(chan struct{})
	server := httptest.NewServer(WithTrouble(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/slow" {
			close(begun)
			<-r.Context().Done()
		}
	}), Trouble{RateLimit: 2.5, CrashOn: "bad", Down: down}))
	defer server.Close()
	send := func(path, body string) (*http.Response, error) {
		request, err := http.NewRequest(http.MethodPost, server.URL+path, io.NopCloser(strings.NewReader(body))) // not sent again
		is.NoErr(err)
		return (&http.Transport{DisableKeepAlives: true}).RoundTrip(request)
	}
	response, err := send("/x", "good")
	is.NoErr(err)
	is.NoErr(response.Body.Close())
	is.Equal(response.Header.Get(platform.HeaderRateLimit), "2.5")
	ended := make(chan error)
	go func() {
		_, err := send("/slow", "good")
		ended <- err
	}()
	<-begun
	_, err = send("/x", "a bad one")
	is.True(err != nil)
	is.True(<-ended != nil)
	for start := time.Now(); ; time.Sleep(down / 10) {
		if response, err = send("/x", "good"); err == nil {
			is.NoErr(response.Body.Close())
			break
		}
		is.True(time.Since(start) < 10*time.Second)
	}
}

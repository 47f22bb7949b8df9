package demo

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/banyanfront/banyanfront/decide/fleet"
	"github.com/banyanfront/banyanfront/internal/problem"
	"github.com/banyanfront/banyanfront/internal/settings"
	"github.com/banyanfront/banyanfront/internal/standin"
)

const (
	// badRequestTimeout limits the time until a bad request ends, with a wide margin: the gateway allows 30 s for a body and
	// 30 s for one write to a caller, and the server 5 s for headers.
	badRequestTimeout = 90 * time.Second
	// maxBodyBytes is the body limit of the demo's entry instances.
	maxBodyBytes = 960 << 10
	// fastModel is served by an engine with an inter-token latency of 0, so that unread answers fill all buffers.
	fastModel = "modelo-rapido"
)

// badInput sends bad requests to the first entry instance of a fleet, concurrently with good ones.
type badInput struct {
	*load
	fleet   *Fleet
	address string
}

// TestBadInput sends oversized, truncated and slow requests, and one whose caller does not read the answer. It guards against
// bad requests that get no clear error, run although their body is incomplete, or delay the requests of other callers.
func TestBadInput(t *testing.T) {
	is := is.New(t)
	f, err := StartFleet(t.Context())
	is.NoErr(err)
	t.Cleanup(f.Stop)
	is.NoErr(f.startFastEngine())
	is.NoErr(f.awaitFastEngine(t))
	in := &badInput{load: newLoad(f), fleet: f, address: f.instances[0].CallersAddress()}

	stopGoodRequests := in.sendGoodRequests(t)
	t.Run("bad", func(t *testing.T) {
		for name, test := range map[string]func(*testing.T){
			"body too large":           in.bodyTooLarge,
			"chunked body too large":   in.chunkedBodyTooLarge,
			"body stops":               in.bodyStops,
			"body trickles":            in.bodyTrickles,
			"headers too large":        in.headersTooLarge,
			"headers stop":             in.headersStop,
			"caller does not read":     in.callerDoesNotRead,
			"body is not a completion": in.bodyIsNotJSON,
		} {
			t.Run(name, func(t *testing.T) {
				t.Parallel()
				test(t)
			})
		}
	})
	answered := stopGoodRequests()
	t.Logf("%d other requests were answered meanwhile", answered)
	is.True(answered > 0) // good requests are answered during the bad ones
	for key := range f.orders() {
		is.True(!strings.HasPrefix(key, "bad-")) // an order with an incomplete body must not run
	}
}

// startFastEngine adds an engine that serves fastModel to the first data centre.
func (f *Fleet) startFastEngine() error {
	b := &backend{id: "fast", dataCentre: dataCentres[0]}
	backendSettings := settings.Backend{
		Kind: settings.KindEngine, Models: []settings.BackendModel{{Name: fastModel, Version: "1"}}, Capacity: 16, Resumes: true,
	}
	b.engine = standin.NewEngine(standin.EngineConfig{Name: string(b.id), Models: []fleet.Model{{Name: fastModel, Version: "1"}}})
	return f.startBackend(b, 0, backendSettings)
}

// awaitFastEngine waits until the added engine has been announced to the first entry instance.
func (f *Fleet) awaitFastEngine(t *testing.T) error {
	for deadline := time.Now().Add(readyTimeout); f.instances[0].LiveServers() < enginesPerDataCentre+2; {
		if time.Now().After(deadline) {
			return errors.New("the added engine was not announced")
		}
		time.Sleep(20 * time.Millisecond)
	}
	return t.Context().Err()
}

// orders returns the number of orders stored by all stand-ins, by key.
func (f *Fleet) orders() map[string]int {
	orders := make(map[string]int)
	for _, b := range f.backends {
		if b.service != nil {
			for key, list := range b.service.Orders() {
				orders[key] += len(list)
			}
		}
	}
	return orders
}

// sendGoodRequests sends good requests to the same entry instance until stop is called, which returns the number of answers.
// A good request that is not answered fails the test.
func (in *badInput) sendGoodRequests(t *testing.T) (stop func() int) {
	var answered atomic.Int64
	var stopping atomic.Bool
	var group sync.WaitGroup
	for worker := range 3 {
		group.Go(func() {
			for n := 0; !stopping.Load(); n++ {
				id := fmt.Sprintf("other-%d-%d", worker, n)
				for _, o := range []outcome{
					in.lookup(0, worker), in.order(0, worker, id), in.complete(0, worker, id, true), in.complete(0, worker, id, false),
				} {
					if o.lostReason != "" || o.problemKind != "" {
						t.Errorf("%s during bad requests: lost %q, refused as %q", o.class, o.lostReason, o.problemKind)
					}
					answered.Add(1)
				}
			}
		})
	}
	return func() int {
		stopping.Store(true)
		group.Wait()
		return int(answered.Load())
	}
}

// dial connects to the entry instance. Reads and writes time out after badRequestTimeout.
func (in *badInput) dial(t *testing.T) *net.TCPConn {
	t.Helper()
	is := is.New(t)
	conn, err := net.Dial("tcp", in.address)
	is.NoErr(err)
	t.Cleanup(func() { _ = conn.Close() })
	is.NoErr(conn.SetDeadline(time.Now().Add(badRequestTimeout)))
	return conn.(*net.TCPConn)
}

// orderHeaders returns the request line and headers of a keyed order, with additional header lines.
func orderHeaders(key string, lines ...string) string {
	lines = append([]string{
		"POST /services/" + service + "/orders HTTP/1.1",
		"Host: banyanfront",
		"Authorization: Bearer " + fmt.Sprintf(organisationKey, 0),
		"Idempotency-Key: bad-" + key,
		"Content-Type: application/json",
	}, lines...)
	return strings.Join(lines, "\r\n") + "\r\n\r\n"
}

// checkRefusal reads the answer and checks that it is a problem document of the given kind and states that nothing ran.
func checkRefusal(t *testing.T, conn net.Conn, kind problem.Kind) {
	t.Helper()
	is := is.New(t)
	res, err := http.ReadResponse(bufio.NewReader(conn), nil)
	is.NoErr(err)
	defer res.Body.Close()
	is.Equal(res.Header.Get("Content-Type"), problem.ContentType)
	var document struct {
		Kind   problem.Kind `json:"kind"`
		Detail string       `json:"detail"`
		Ran    *bool        `json:"ran"`
	}
	is.NoErr(json.NewDecoder(res.Body).Decode(&document))
	is.Equal(document.Kind, kind)
	is.Equal(res.StatusCode, problem.New(kind, "").Status())
	is.True(document.Detail != "")
	is.True(document.Ran != nil && !*document.Ran)
}

func (in *badInput) bodyTooLarge(t *testing.T) {
	conn := in.dial(t)
	go func() {
		_, _ = io.WriteString(conn, orderHeaders("large", fmt.Sprint("Content-Length: ", maxBodyBytes+1)))
		_, _ = conn.Write(bytes.Repeat([]byte("a"), maxBodyBytes+1))
	}()
	checkRefusal(t, conn, problem.TooLarge)
}

func (in *badInput) chunkedBodyTooLarge(t *testing.T) {
	conn := in.dial(t)
	go func() {
		_, _ = io.WriteString(conn, orderHeaders("chunked", "Transfer-Encoding: chunked"))
		const size = 1 << 10
		chunk := fmt.Sprintf("%x\r\n%s\r\n", size, strings.Repeat("a", size))
		for range maxBodyBytes/size + 1 {
			_, _ = io.WriteString(conn, chunk)
		}
	}()
	checkRefusal(t, conn, problem.TooLarge)
}

func (in *badInput) bodyStops(t *testing.T) {
	conn := in.dial(t)
	is := is.New(t)
	_, err := io.WriteString(conn, orderHeaders("stops", "Content-Length: 100")+`{"pane":`)
	is.NoErr(err)
	is.NoErr(conn.CloseWrite())
	checkRefusal(t, conn, problem.BadRequest)
}

func (in *badInput) bodyTrickles(t *testing.T) {
	conn := in.dial(t)
	done := make(chan struct{})
	t.Cleanup(func() { close(done) })
	go func() {
		_, _ = io.WriteString(conn, orderHeaders("trickles", "Content-Length: 100000"))
		for {
			if _, err := io.WriteString(conn, " "); err != nil {
				return
			}
			select {
			case <-done:
				return
			case <-time.After(100 * time.Millisecond):
			}
		}
	}()
	checkRefusal(t, conn, problem.BadRequest)
}

func (in *badInput) headersTooLarge(t *testing.T) {
	is := is.New(t)
	conn := in.dial(t)
	go func() { _, _ = io.WriteString(conn, orderHeaders("headers", "X-Large: "+strings.Repeat("a", 80<<10))) }()
	res, err := http.ReadResponse(bufio.NewReader(conn), nil)
	is.NoErr(err)
	is.Equal(res.StatusCode, http.StatusRequestHeaderFieldsTooLarge)
	_ = res.Body.Close()
}

// headersStop only checks that the connection is closed: net/http does not answer a request with incomplete headers.
func (in *badInput) headersStop(t *testing.T) {
	is := is.New(t)
	conn := in.dial(t)
	_, err := io.WriteString(conn, strings.TrimSuffix(orderHeaders("half"), "\r\n"))
	is.NoErr(err)
	_, err = io.Copy(io.Discard, conn)
	is.True(!isTimeout(err)) // the server must close the connection before the deadline of this test
}

func isTimeout(err error) bool {
	var timeout net.Error
	return errors.As(err, &timeout) && timeout.Timeout()
}

func (in *badInput) bodyIsNotJSON(t *testing.T) {
	is := is.New(t)
	conn := in.dial(t)
	_, err := io.WriteString(conn, "POST /v1/completions HTTP/1.1\r\nHost: banyanfront\r\nAuthorization: Bearer "+
		fmt.Sprintf(organisationKey, 0)+"\r\nContent-Length: 8\r\n\r\n{\"model\"")
	is.NoErr(err)
	checkRefusal(t, conn, problem.BadRequest)
}

// callerDoesNotRead opens a stream without reading it, reads other streams of the same engine to their end, and then checks
// that the unread stream was aborted without the regular end of a stream.
func (in *badInput) callerDoesNotRead(t *testing.T) {
	is := is.New(t)
	// Only one such stream: the agent of a newly started engine admits two requests, and the unread stream occupies a slot.
	conn := in.dial(t)
	body := fmt.Sprintf(`{"model":%q,"prompt":"sin leer","max_tokens":%d,"stream":true}`, fastModel, 1<<20)
	_, err := fmt.Fprintf(conn, "POST /v1/completions HTTP/1.1\r\nHost: banyanfront\r\nAuthorization: Bearer %s\r\n"+
		"Banyan-Deadline-Ms: %d\r\nContent-Length: %d\r\n\r\n%s",
		fmt.Sprintf(organisationKey, 0), badRequestTimeout.Milliseconds(), len(body), body)
	is.NoErr(err)
	for n := range 20 {
		prompt := fmt.Sprint("leído ", n)
		status, data, err := in.send(0, 1, http.MethodPost, "/v1/completions", "", map[string]any{
			"model": fastModel, "prompt": prompt, "max_tokens": 1000, "stream": true,
		})
		is.NoErr(err)
		is.Equal(status, http.StatusOK)
		text, err := standin.CompletionText(data, true)
		is.NoErr(err)
		is.Equal(text, standin.Answer(fastModel, prompt, 1000))
	}
	// A write to a caller times out after 30 s; the engine is idle once the unread stream has been aborted.
	engine := in.fleet.backends[len(in.fleet.backends)-1].engine
	for deadline := time.Now().Add(badRequestTimeout); engine.Load().Running > 0; time.Sleep(100 * time.Millisecond) {
		is.True(time.Now().Before(deadline)) // the unread stream must be aborted
	}
	res, err := http.ReadResponse(bufio.NewReader(conn), nil)
	is.NoErr(err)
	is.Equal(res.StatusCode, http.StatusOK)
	_, err = io.Copy(io.Discard, res.Body)
	is.True(err != nil && !isTimeout(err)) // the answer is truncated and must not look complete
	_ = res.Body.Close()
}

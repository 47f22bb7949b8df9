package edge

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/banyanfront/banyanfront/decide/dispatch"
	"github.com/banyanfront/banyanfront/decide/registry"
	"github.com/banyanfront/banyanfront/internal/tcptest"
	"github.com/banyanfront/banyanfront/platform"
)

// rawServer is a server that writes its answers byte by byte as a test wants them, and counts what it has run.
type rawServer struct {
	address string
	mu      sync.Mutex
	runs    map[string]int // by request
}

func (s *rawServer) run(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.runs[id]++
}

func (s *rawServer) ran(id string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.runs[id]
}

// startRawServer starts a server. answer writes the answer to the n-th request of a connection, from 0, and returns false to close
// the connection.
func startRawServer(t *testing.T, answer func(s *rawServer, c net.Conn, n int, id string, r *http.Request) bool) *rawServer {
	s := &rawServer{runs: map[string]int{}}
	s.address = tcptest.Start(t, func(c *net.TCPConn) {
		r := bufio.NewReader(c)
		for n := 0; ; n++ {
			request, err := http.ReadRequest(r)
			if err != nil {
				return
			}
			if _, err := io.Copy(io.Discard, request.Body); err != nil || !answer(s, c, n, request.Header.Get(platform.HeaderRequestID), request) {
				return
			}
		}
	})
	return s
}

// useRawServers makes the servers those of a proxy.
func useRawServers(p *Proxy, servers ...*rawServer) {
	var known []*registry.Record
	for i, s := range servers {
		known = append(known, &registry.Record{ReceivedAt: time.Now(), Announcement: registry.Announcement{Server: fmt.Sprint("i", i), Service: "s",
			Address: s.address, DataCentre: "z", Slots: 4}})
	}
	p.withDispatcher(func(now time.Time, d *dispatch.Dispatcher) { d.SetServers(now, known) })
}

// refusal returns the bytes of a refusal, with the identifier of its request if there is one.
func refusal(status int, id string) string {
	echo := ""
	if id != "" {
		echo = fmt.Sprintf("%s: %s\r\n", platform.HeaderRequestID, id)
	}
	return fmt.Sprintf("HTTP/1.1 %d Refused\r\n%s: 1\r\n%sContent-Length: 4\r\n\r\nbusy", status, platform.HeaderNotRun, echo)
}

// sealedAnswer returns the bytes of the sealed answer to a request.
func sealedAnswer(id string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\n%s: seal\r\nContent-Length: %d\r\n\r\n%s", platform.HeaderRequestID, id, platform.HeaderSeal, len(id), id)
}

// Guards against a server that writes an earlier refusal once more and so has a request that it runs answered as not run, or run at
// a second server: the refusal proves nothing if it does not name the request.
func TestRefusalOfAnotherRequestProvesNothing(t *testing.T) {
	for _, status := range []int{http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusMisdirectedRequest, http.StatusBadRequest} {
		for _, id := range []string{"", "earlier"} {
			for _, answered := range []bool{true, false} {
				for _, reused := range []bool{true, false} {
					t.Run(fmt.Sprintf("%d/id %q/answered %v/reused %v", status, id, answered, reused), func(t *testing.T) {
						is := is.New(t)
						respond := func(s *rawServer, c net.Conn, n int, request string, _ *http.Request) bool {
							s.run(request)
							if n == 0 && reused {
								_, err := io.WriteString(c, sealedAnswer(request))
								return err == nil
							}
							_, _ = io.WriteString(c, refusal(status, id))
							if answered {
								_, _ = io.WriteString(c, sealedAnswer(request))
							}
							return false
						}
						a, b := startRawServer(t, respond), startRawServer(t, respond)
						p, url := startProxy(t)
						if reused {
							useRawServers(p, a)
							code, _, _, err := send(t, url, "/unsafe/x", platform.HeaderRequestID, "first")
							is.NoErr(err)
							is.Equal(code, http.StatusOK)
							useRawServers(p, a, b)
						} else {
							useRawServers(p, a, b)
						}
						for i := range 3 {
							request := fmt.Sprint("r", i)
							code, header, body, err := send(t, url, "/unsafe/x", platform.HeaderRequestID, request)
							is.NoErr(err)
							if a.ran(request)+b.ran(request) == 0 {
								is.Equal(code, http.StatusServiceUnavailable) // no server is used any more, after the failures before
								continue
							}
							is.Equal(a.ran(request)+b.ran(request), 1) // never sent on
							if code == http.StatusOK {
								is.Equal(header.Get(platform.HeaderSeal), "seal")
								is.Equal(body, request)
								continue
							}
							is.True(!promisesNotRun(code))
							is.True(code >= 500 || id == "" && !reused) // the failure of another request is not passed on
						}
					})
				}
			}
		}
	}
}

// Guards against a stream that has begun and was broken off, at whose end the caller finds the error of the server that was to
// resume it, or which ends as if it were complete.
func TestErrorOfTheServerThatResumesAStreamIsNotPassedOn(t *testing.T) {
	begin := func(s *rawServer, c net.Conn, id string) {
		events := eventsText(1, 2)
		_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%s: %s\r\n%s: seal\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n",
			platform.HeaderRequestID, id, platform.HeaderSeal, len(events), events)
	}
	errorBody := "the error of the next server"
	for name, head := range map[string]string{
		"500":            "HTTP/1.1 500 Failed\r\n%s: %s\r\n%s: seal\r\nContent-Length: 28\r\n\r\n",
		"404":            "HTTP/1.1 404 None\r\n%s: %s\r\n%s: seal\r\nContent-Length: 28\r\n\r\n",
		"503":            "HTTP/1.1 503 Busy\r\n%s: %s\r\n%s: seal\r\nContent-Length: 28\r\n\r\n",
		"500 unframed":   "HTTP/1.1 500 Failed\r\n%s: %s\r\n%s: seal\r\n\r\n",
		"200 unsealed":   "HTTP/1.1 200 OK\r\n%s: %s\r\nX-Other%s: x\r\nContent-Length: 28\r\n\r\n",
		"200 no events":  "HTTP/1.1 200 OK\r\n%s: %s\r\n%s: seal\r\n\r\n",
		"000":            "HTTP/1.1 000 \r\n%s: %s\r\n%s: seal\r\nContent-Length: 28\r\n\r\n",
		"blank in name":  "HTTP/1.1 200 OK\r\n%s: %s\r\n%s: seal\r\nX Field: 1\r\nContent-Length: 28\r\n\r\n",
		"length unread":  "HTTP/1.1 200 OK\r\n%s: %s\r\n%s: seal\r\nContent-Length : 28\r\n\r\nid: 3\ndata: 3\n\n",
		"control byte":   "HTTP/1.1 200 OK\r\n%s: %s\r\n%s: seal\r\nX\x01Field: 1\r\n\r\nid: 3\ndata: 3\n\n",
		"no head at all": "%[4]s%[5]s",
		"nothing":        "",
	} {
		for _, route := range []string{"stream", "broken"} { // resumable and not
			t.Run(name+"/"+route, func(t *testing.T) {
				is := is.New(t)
				respond := func(s *rawServer, c net.Conn, _ int, id string, r *http.Request) bool {
					if r.Header.Get(platform.HeaderLastEvent) == "" {
						begin(s, c, id)
						return false
					}
					if head != "" {
						text := strings.NewReplacer("%[4]s", "", "%[5]s", "").Replace(head)
						if strings.Contains(text, "%s") {
							text = fmt.Sprintf(text, platform.HeaderRequestID, id, platform.HeaderSeal)
						}
						_, _ = io.WriteString(c, text+errorBody)
					}
					return false
				}
				p, url := startProxy(t)
				useRawServers(p, startRawServer(t, respond), startRawServer(t, respond))
				status, _, body, err := send(t, url, "/"+route+"/x")
				is.Equal(status, http.StatusOK)
				is.Equal(body, eventsText(1, 2))
				is.True(err != nil) // not complete
			})
		}
	}
}

// Guards against a head that ends before it is complete and reaches the caller as a whole answer.
func TestHalfHeadIsNoAnswer(t *testing.T) {
	const id = "r1"
	head, _, _ := strings.Cut(sealedAnswer(id), "\r\n\r\n")
	head += "\r\n\r\n"
	for _, route := range []string{"once", "stream", "broken"} {
		for length := range len(head) {
			is := is.New(t)
			p, url := startProxy(t)
			useRawServers(p, startRawServer(t, func(_ *rawServer, c net.Conn, _ int, _ string, _ *http.Request) bool {
				_, _ = io.WriteString(c, head[:length])
				return false
			}))
			status, header, body, err := send(t, url, "/"+route+"/x")
			is.True(err != nil || status == http.StatusBadGateway)
			is.Equal(header.Get(platform.HeaderSeal), "")
			is.Equal(body, "")
		}
	}
}

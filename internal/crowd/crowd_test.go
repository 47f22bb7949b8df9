package crowd

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/banyanfront/banyanfront/platform"
)

const (
	// bodyCrowd clients send large bodies, connectionCrowd clients only hold connections or heads.
	bodyCrowd       = 60
	connectionCrowd = 2000
	// answerCrowd clients ask for long answers that they do not read.
	answerCrowd = 450
	// settle is how long the crowd stays open before the verdict; a later peak would be missed, not misjudged.
	settle = 3 * time.Second
	// announcedFar is a length far over the limit.
	announcedFar = 1 << 30
)

// form is what each client of a crowd sends on its connection. It returns once it has sent all it wants to, or on an error, and
// leaves the connection open.
type form func(c net.Conn, n int) error

// sendHead writes the head of a request to a path, with a header that frames the body.
func sendHead(c net.Conn, n int, path, framing string) error {
	_, err := fmt.Fprintf(c, "POST %s HTTP/1.1\r\nHost: %s\r\n%s: %016x\r\n%s: 8000\r\n%s: %s\r\n%s\r\n\r\n", path, host,
		platform.HeaderRequestID, n+1, platform.HeaderDeadline, platform.HeaderKey, crowdKey, framing)
	return err
}

// chunked sends a body in chunks. Three of four clients stop short of the last byte, the others end the body.
func chunked(path string, total, chunk int) form {
	return func(c net.Conn, n int) error {
		if err := sendHead(c, n, path, "Transfer-Encoding: chunked"); err != nil {
			return err
		}
		one := append(fmt.Appendf(nil, "%x\r\n", chunk), append(bytes.Repeat([]byte("x"), chunk), "\r\n"...)...)
		piece := bytes.Repeat(one, max(1, (64<<10)/len(one)))
		inPiece := len(piece) / len(one)
		for sent := 0; sent+inPiece*chunk <= total-chunk; sent += inPiece * chunk {
			if _, err := c.Write(piece); err != nil {
				return err
			}
		}
		last := fmt.Sprintf("%x\r\n%s", chunk, strings.Repeat("x", chunk-1))
		if n%4 == 3 {
			last += "x\r\n0\r\n\r\n"
		}
		_, err := io.WriteString(c, last)
		return err
	}
}

// announced sends a body whose length the head states, in pieces. Of announcedLength, only the first total bytes are sent, and
// three of four clients stop short of the last one.
func announced(path string, announcedLength, total, piece int) form {
	return func(c net.Conn, n int) error {
		if err := sendHead(c, n, path, fmt.Sprintf("Content-Length: %d", announcedLength)); err != nil {
			return err
		}
		if n%4 != 3 {
			return sendPieces(c, total-1, piece)
		}
		return sendPieces(c, total, piece)
	}
}

// whole sends a body of the largest legal size, to its end.
func whole(path string) form {
	return func(c net.Conn, n int) error {
		if err := sendHead(c, n, path, fmt.Sprintf("Content-Length: %d", maxBodyBytes)); err != nil {
			return err
		}
		return sendPieces(c, maxBodyBytes, maxBodyBytes)
	}
}

func sendPieces(c net.Conn, total, piece int) error {
	data := bytes.Repeat([]byte("x"), piece)
	for sent := 0; sent < total; sent += piece {
		if _, err := c.Write(data[:min(piece, total-sent)]); err != nil {
			return err
		}
	}
	return nil
}

// endlessHead sends 60 KiB of header lines and no end of the head.
func endlessHead(c net.Conn, n int) error {
	if _, err := fmt.Fprintf(c, "POST /orders/1 HTTP/1.1\r\nHost: %s\r\n", host); err != nil {
		return err
	}
	for i := range 60 {
		if _, err := fmt.Fprintf(c, "X-Line-%d: %s\r\n", i, strings.Repeat("x", 1000)); err != nil {
			return err
		}
	}
	return nil
}

// idle sends nothing.
func idle(net.Conn, int) error { return nil }

// askedLong asks for a long answer and does not read it.
func askedLong(c net.Conn, n int) error { return sendHead(c, n, longAnswerPath, "Content-Length: 0") }

// readSlowly asks for a long answer and reads a byte of it at a time.
func readSlowly(c net.Conn, n int) error {
	if err := askedLong(c, n); err != nil {
		return err
	}
	go func() {
		for b := make([]byte, 1); ; time.Sleep(50 * time.Millisecond) {
			if _, err := c.Read(b); err != nil {
				return
			}
		}
	}()
	return nil
}

// gather connects a crowd to an address and lets each client send its form. The connections stay open until the returned function is
// called. A client that is refused or closed stays away.
func (f *fleet) gather(address string, size int, send form) (disperse func()) {
	var mu sync.Mutex
	var open []net.Conn
	var sending sync.WaitGroup
	starts := make(chan struct{}, 200) // connections that are being opened at once
	for n := range size {
		sending.Go(func() {
			starts <- struct{}{}
			c, err := (&net.Dialer{Timeout: 10 * time.Second}).Dial("tcp", address)
			<-starts
			if err != nil {
				return
			}
			mu.Lock()
			open = append(open, c)
			mu.Unlock()
			// A client whose bytes are not read gives up on sending; its connection stays open.
			_ = c.SetWriteDeadline(time.Now().Add(10 * time.Second))
			_ = send(c, n)
		})
	}
	done := make(chan struct{})
	go func() {
		sending.Wait()
		close(done)
	}()
	f.watch(done)
	rest := make(chan struct{})
	time.AfterFunc(settle, func() { close(rest) })
	f.watch(rest)
	return func() {
		mu.Lock()
		defer mu.Unlock()
		for _, c := range open {
			_ = c.Close()
		}
	}
}

// watch samples the processes until done is closed.
func (f *fleet) watch(done <-chan struct{}) {
	for {
		f.entry.sample()
		f.control.sample()
		select {
		case <-done:
			return
		case <-time.After(20 * time.Millisecond):
		}
	}
}

// Guards against clients that end a process of the system by what they send, hold open or do not read.
func TestCrowd(t *testing.T) {
	entry := (*fleet).entryAddress
	control := (*fleet).controlAddress
	configurations, announcements := platform.ReplaceConfigurationPath, platform.AnnouncePathOf("i-2")
	for _, c := range []struct {
		name    string
		address func(*fleet) string
		size    int
		send    form
	}{
		{"chunks of 64 KiB", entry, bodyCrowd, chunked("/orders/1", maxBodyBytes, 64<<10)},
		{"chunks of 16 bytes", entry, bodyCrowd, chunked("/orders/1", maxBodyBytes, 16)},
		{"chunks of 1 byte", entry, 10 * bodyCrowd, chunked("/orders/1", 128<<10, 1)},
		{"legal length piece by piece", entry, bodyCrowd, announced("/orders/1", maxBodyBytes, maxBodyBytes, 16<<10)},
		{"legal length at once", entry, bodyCrowd, announced("/orders/1", maxBodyBytes, maxBodyBytes, maxBodyBytes)},
		{"whole bodies", entry, bodyCrowd, whole(heldPath)},
		{"far over the limit, announced", entry, bodyCrowd, announced("/orders/1", announcedFar, 8<<20, 64<<10)},
		{"far over the limit, sent", entry, bodyCrowd, chunked("/orders/1", 64<<20, 64<<10)},
		{"answers unread", entry, answerCrowd, askedLong},
		{"answers read slowly", entry, answerCrowd, readSlowly},
		{"heads without end", entry, connectionCrowd, endlessHead},
		{"idle connections", entry, connectionCrowd, idle},
		{"idle connections to the ready check", (*fleet).readyAddress, connectionCrowd, idle},
		{"idle connections to the metrics", (*fleet).metricsAddress, connectionCrowd, idle},
		{"configurations in chunks", control, bodyCrowd, chunked(configurations, maxBodyBytes, 64<<10)},
		{"configurations piece by piece", control, bodyCrowd, announced(configurations, maxBodyBytes, maxBodyBytes, 16<<10)},
		{"announcements in chunks", control, 2 * bodyCrowd, chunked(announcements, maxBodyBytes, 64<<10)},
		{"heads without end to control", control, connectionCrowd, endlessHead},
		{"idle connections to control", control, connectionCrowd, idle},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := startFleet(t)
			disperse := f.gather(c.address(f), c.size, c.send)
			defer disperse()
			f.entry.check(t, "entry instance")
			f.control.check(t, "control instance")
			f.await("the ready check answers while the crowd is there", func() bool { return f.get(f.readyAddress()+platform.ReadyPath) == http.StatusOK })
			f.await("the metrics answer while the crowd is there", func() bool { return f.get(f.metricsAddress()+"/metrics") == http.StatusOK })
			f.ordinaryRequest()
			f.changeConfiguration(2)
			disperse()
			f.ordinaryRequest()
			f.entry.check(t, "entry instance")
			f.control.check(t, "control instance")
		})
	}
}

// get returns the status of the answer to a GET request, 0 if there was none.
func (f *fleet) get(url string) int {
	response, err := client.Get("http://" + url)
	if err != nil {
		return 0
	}
	defer func() { _ = response.Body.Close() }()
	return response.StatusCode
}

// changeConfiguration sends a configuration until it is accepted.
func (f *fleet) changeConfiguration(version uint64) {
	f.t.Helper()
	body, err := platform.EncodeConfiguration(f.configuration(version))
	if err != nil {
		f.t.Fatal(err)
	}
	f.await("a configuration is accepted", func() bool {
		return f.post(f.controlAddress()+platform.ReplaceConfigurationPath, body) == http.StatusOK
	})
}

// Guards against limits that refuse what the pages allow: requests of legal size, sent whole, many at once, or slowly.
func TestLegalBodies(t *testing.T) {
	f := startFleet(t)
	if status := f.request("/orders/1", bytes.NewReader(make([]byte, maxBodyBytes))); status != http.StatusOK {
		t.Errorf("a body of the largest legal size, sent at once: status %d", status)
	}
	slow := &slowReader{rest: maxBodyBytes, piece: maxBodyBytes / 16, pause: 20 * time.Millisecond}
	if status := f.request("/orders/1", slow); status != http.StatusOK {
		t.Errorf("a body of the largest legal size, sent slowly in chunks: status %d", status)
	}
	statuses := make(chan int)
	for range 20 {
		go func() { statuses <- f.request("/orders/1", bytes.NewReader(make([]byte, 1<<20))) }()
	}
	for range 20 {
		if status := <-statuses; status != http.StatusOK {
			t.Errorf("one of 20 bodies of 1 MiB sent together: status %d", status)
		}
	}
	f.entry.check(t, "entry instance")
}

// slowReader returns rest bytes in pieces, with a pause before each.
type slowReader struct {
	rest, piece int
	pause       time.Duration
}

func (r *slowReader) Read(p []byte) (int, error) {
	if r.rest == 0 {
		return 0, io.EOF
	}
	time.Sleep(r.pause)
	n := min(len(p), r.piece, r.rest)
	r.rest -= n
	return n, nil
}

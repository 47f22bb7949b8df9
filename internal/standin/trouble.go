package standin

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/banyanfront/banyanfront/platform"
)

// Trouble is what goes wrong with a stand-in.
type Trouble struct {
	// RateLimit is named in each answer as the requests a second that the stand-in takes from all callers. Default 0: none.
	RateLimit float64
	// CrashOn is a text; a request whose body has it crashes the stand-in as it begins to run. Default empty: none.
	CrashOn string
	// Down is how long the stand-in answers nothing after a crash. Default 0.
	Down time.Duration
}

// troubled is a stand-in with trouble.
type troubled struct {
	http.Handler
	trouble Trouble

	mu        sync.Mutex
	running   context.Context // ends with a crash
	crash     context.CancelFunc
	downUntil time.Time
}

// WithTrouble returns a stand-in that serves like h, with trouble.
func WithTrouble(h http.Handler, trouble Trouble) http.Handler {
	t := &troubled{Handler: h, trouble: trouble}
	t.running, t.crash = context.WithCancel(context.Background())
	return t
}

// ServeHTTP implements http.Handler. A crash closes the connections of all open requests.
func (t *troubled) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	t.mu.Lock()
	running, down := t.running, time.Now().Before(t.downUntil)
	t.mu.Unlock()
	if down {
		panic(http.ErrAbortHandler)
	}
	if t.trouble.CrashOn != "" {
		body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
		if err != nil {
			panic(http.ErrAbortHandler)
		}
		if bytes.Contains(body, []byte(t.trouble.CrashOn)) {
			t.end()
			panic(http.ErrAbortHandler)
		}
		r.Body = io.NopCloser(bytes.NewReader(body))
	}
	if t.trouble.RateLimit > 0 {
		w.Header().Set(platform.HeaderRateLimit, strconv.FormatFloat(t.trouble.RateLimit, 'f', -1, 64))
	}
	ctx, cancel := context.WithCancel(r.Context())
	defer cancel()
	defer context.AfterFunc(running, cancel)()
	t.Handler.ServeHTTP(w, r.WithContext(ctx))
	if running.Err() != nil {
		panic(http.ErrAbortHandler)
	}
}

// end crashes the stand-in.
func (t *troubled) end() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.crash()
	t.running, t.crash = context.WithCancel(context.Background())
	t.downUntil = time.Now().Add(t.trouble.Down)
}

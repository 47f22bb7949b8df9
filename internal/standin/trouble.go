package standin

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/banyanfront/banyanfront/internal/process"
	"github.com/banyanfront/banyanfront/platform"
)

// Trouble is what goes wrong with a stand-in.
type Trouble struct {
	// RateLimit is named in each answer as the requests a second that the stand-in takes from all callers. Default 0: none.
	RateLimit float64
	// CrashOn is a text; a request whose body has it crashes the stand-in as it begins to run. Default empty: none.
	CrashOn string
	// Leaving makes each answer say that the stand-in leaves, with this text. "1" is what it means; others are to be ignored. Default empty: none.
	Leaving string
	// QuietOn is a text; a request whose body has it is rejected as not run, with 503 and Quiet as Retry-After. Default empty: none.
	QuietOn string
	// Quiet is the text of that Retry-After, a number of seconds or what is none.
	Quiet string
	// Down is the time from a crash to the next start. Default 0.
	Down time.Duration
}

// troubled is a stand-in with trouble.
type troubled struct {
	http.Handler
	trouble Trouble
	crashed context.CancelFunc
}

// RunTroubled serves stand-ins with trouble on a TCP address until the context ends: after a crash, which closes all connections and
// the listener, another one starts.
func RunTroubled(ctx context.Context, address string, newHandler func() http.Handler, trouble Trouble) error {
	for {
		running, crash := context.WithCancel(ctx)
		err := Run(running, address, &troubled{newHandler(), trouble, crash})
		crash()
		if err != nil || !process.Sleep(ctx, trouble.Down) {
			return err
		}
	}
}

// ServeHTTP implements http.Handler.
func (t *troubled) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if t.trouble.Leaving != "" {
		w.Header().Set(platform.HeaderLeaving, t.trouble.Leaving)
	}
	if t.trouble.CrashOn != "" || t.trouble.QuietOn != "" {
		body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
		if err != nil {
			panic(http.ErrAbortHandler)
		}
		switch {
		case t.trouble.CrashOn != "" && bytes.Contains(body, []byte(t.trouble.CrashOn)):
			t.crashed()
			panic(http.ErrAbortHandler)
		case t.trouble.QuietOn != "" && bytes.Contains(body, []byte(t.trouble.QuietOn)):
			w.Header().Set(platform.HeaderRequestID, r.Header.Get(platform.HeaderRequestID))
			w.Header().Set(platform.HeaderNotRun, "1")
			w.Header().Set(platform.HeaderRetryAfter, t.trouble.Quiet)
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		r.Body = io.NopCloser(bytes.NewReader(body))
	}
	if t.trouble.RateLimit > 0 {
		w.Header().Set(platform.HeaderRateLimit, strconv.FormatFloat(t.trouble.RateLimit, 'f', -1, 64))
	}
	t.Handler.ServeHTTP(w, r)
}

package gateway

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/banyanfront/banyanfront/decide/fleet"
	"github.com/banyanfront/banyanfront/internal/trace"
)

// Guards against prompts, bodies, keys and queries of callers in a recorded trace.
func TestTraceHasNoRequestContent(t *testing.T) {
	is := is.New(t)
	path := filepath.Join(t.TempDir(), "day.jsonl")
	recorder, err := trace.NewRecorder(path, "sur-1")
	is.NoErr(err)
	g := &Gateway{config: Config{DataCentre: "sur", Trace: recorder}}
	now := time.Now()
	g.recordTrace(&call{
		organisation: "o", target: fleet.Target{Kind: fleet.KindEngine, Name: "m"}, method: "POST", path: "/v1/completions",
		body: []byte(`{"model":"m","prompt":"SECRET","max_tokens":7}`), stream: true, arrived: now, deadline: now.Add(time.Second),
	})
	g.recordTrace(&call{
		organisation: "o", target: fleet.Target{Kind: fleet.KindService, Name: "pedidos"}, method: "POST",
		path: "/orders/SECRET?name=SECRET", body: []byte("SECRET"), key: "SECRET", callerKey: true, arrived: now, deadline: now,
	})
	recorder.Close()
	data, err := os.ReadFile(path)
	is.NoErr(err)
	is.True(!strings.Contains(string(data), "SECRET"))
	read, err := trace.Read(strings.NewReader(string(data)))
	is.NoErr(err)
	is.Equal(len(read.Requests), 2)
	is.Equal(read.Requests[0].MaxTokens, 7)
	is.Equal(read.Requests[0].DeadlineMS, int64(1000))
	is.Equal(read.Requests[1].Path, "/services/pedidos/orders")
	is.True(read.Requests[1].Key != "")
}

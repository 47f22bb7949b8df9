package trace_test

import (
	"bytes"
	"errors"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/banyanfront/banyanfront/internal/trace"
)

const header = `{"type":"trace","version":1,"fleet":[{"name":"norte","entries":1,"model":"m","engines":1}]}` + "\n"

const request = `{"type":"request","at":5,"org":"o","target":"m","method":"POST","path":"/v1/completions","dc":"norte"}` + "\n"

// Guards against errors in a trace that are accepted or reported for the wrong line.
func TestReadReportsLineOfError(t *testing.T) {
	for name, c := range map[string]struct {
		text string
		line int
		kind trace.ErrorKind
	}{
		"empty":                {"", 1, trace.ErrVersion},
		"other version":        {`{"type":"trace","version":2}`, 1, trace.ErrVersion},
		"no header":            {request, 1, trace.ErrSyntax},
		"not JSON":             {header + request + "x", 3, trace.ErrSyntax},
		"unknown type":         {header + `{"type":"prompt"}`, 2, trace.ErrSyntax},
		"unknown field":        {header + strings.Replace(request, `"org"`, `"body":"secret","org"`, 1), 2, trace.ErrSyntax},
		"two objects":          {header + strings.TrimSpace(request) + request, 2, trace.ErrSyntax},
		"long line":            {header + strings.Replace(request, "/v1", "/v1"+strings.Repeat("x", 5000), 1), 2, trace.ErrTooLong},
		"not sorted by time":   {header + request + `{"type":"event","at":4,"event":"heal"}`, 3, trace.ErrOrder},
		"unknown data centre":  {header + `{"type":"event","at":4,"event":"out","dc":"sur"}`, 2, trace.ErrValue},
		"unknown server":       {header + `{"type":"event","at":4,"event":"cold","server":"norte-m-2"}`, 2, trace.ErrValue},
		"unknown instance":     {header + `{"type":"event","at":4,"event":"crash","instance":"norte-entry-2"}`, 2, trace.ErrValue},
		"negative time":        {header + strings.Replace(request, `"at":5`, `"at":-5`, 1), 2, trace.ErrValue},
		"path with line break": {header + strings.Replace(request, "/v1", `/\r\n`, 1), 2, trace.ErrValue},
		"path with query":      {header + strings.Replace(request, "completions", "completions?q=1", 1), 2, trace.ErrValue},
		"invalid escape":       {header + strings.Replace(request, "completions", "%zz", 1), 2, trace.ErrValue},
		"share above 1":        {header + `{"type":"outcome","outcome":"first token within","target":"m","within":1,"share":1.5}`, 2, trace.ErrValue},
		"too many engines":     {strings.Replace(header, `"engines":1`, `"engines":100000`, 1), 1, trace.ErrValue},
	} {
		_, err := trace.Read(strings.NewReader(c.text))
		var fault *trace.Error
		if !errors.As(err, &fault) || fault.Line != c.line || fault.Kind != c.kind {
			t.Errorf("%s: got %v instead of %s in line %d", name, err, c.kind, c.line)
		}
	}
}

// Guards against input on which Read panics, and against traces that change when they are written and read again.
func FuzzRead(f *testing.F) {
	f.Add([]byte(header + request))
	f.Add([]byte(header + `{"type":"event","at":4,"event":"slow","server":"norte-m-1","factor":2}`))
	f.Add([]byte(header + `{"type":"outcome","outcome":"nothing new","dc":"norte","within":3000}` + "\n" + request))
	f.Fuzz(func(t *testing.T, data []byte) {
		read, err := trace.Read(bytes.NewReader(data))
		if err != nil {
			return
		}
		var written bytes.Buffer
		if err := trace.Write(&written, read); err != nil {
			t.Fatal(err)
		}
		again, err := trace.Read(&written)
		if err != nil {
			var fault *trace.Error
			if errors.As(err, &fault) && fault.Kind == trace.ErrTooLong {
				return // escape sequences may make a line longer
			}
			t.Fatal(err)
		}
		if !reflect.DeepEqual(read, again) {
			t.Fatalf("%+v became %+v", read, again)
		}
	})
}

// Guards against a recorded trace that cannot be read, exposes a key or grows without limit, and against a restart that
// overwrites the previous recording.
func TestRecorder(t *testing.T) {
	is := is.New(t)
	path := filepath.Join(t.TempDir(), "day.jsonl")
	for range 2 {
		r, err := trace.NewRecorder(path, "sur-1")
		is.NoErr(err)
		r.SetMaxBytes(1000)
		for _, key := range []string{"secret-key", "secret-key", "other", "", "", "", "", "", "", ""} {
			r.Record(trace.Request{Organisation: "o", Target: "pedidos", Method: "POST", Path: "/services/pedidos/orders", Key: key, DataCentre: "sur"})
		}
		r.Close()
	}
	for _, name := range []string{path, path + ".previous"} {
		data, err := os.ReadFile(name)
		is.NoErr(err)
		is.True(len(data) <= 1000)
		is.True(!bytes.Contains(data, []byte("secret")))
		recorded, err := trace.Read(bytes.NewReader(data))
		is.NoErr(err)
		is.True(len(recorded.Requests) >= 4)
		is.Equal(recorded.Requests[0].Key, recorded.Requests[1].Key) // a retry can be recognised
		is.True(recorded.Requests[0].Key != recorded.Requests[2].Key)
		recorded.SetDefaultFleet()
		is.Equal(recorded.Header.Fleet[0].Service, "pedidos")
	}
}

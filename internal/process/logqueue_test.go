package process

import (
	"bytes"
	"encoding/json"
	"strings"
	"testing"

	"github.com/apex/log"
	"github.com/matryer/is"
)

// blockedWriter blocks writes until release is closed.
type blockedWriter struct {
	release chan struct{}
	bytes.Buffer
}

func (w *blockedWriter) Write(p []byte) (int, error) {
	<-w.release
	return w.Buffer.Write(p)
}

// Guards against a log that blocks the logging goroutine, grows without limit, or does not report dropped lines.
func TestLogQueueNeverBlocks(t *testing.T) {
	is := is.New(t)
	w := &blockedWriter{release: make(chan struct{})}
	q := NewLogQueue(w)
	logger := &log.Logger{Handler: q, Level: log.InfoLevel}
	const lines = 4 * logQueueLines
	for i := range lines {
		logger.WithField("n", i).Info("line")
	}
	close(w.release)
	q.Close()
	written, dropped := 0, 0
	for line := range strings.Lines(w.String()) {
		var l logLine
		is.NoErr(json.Unmarshal([]byte(line), &l))
		if n, ok := l.Fields["lines"]; ok {
			dropped += int(n.(float64))
			continue
		}
		written++
	}
	is.True(dropped > 0)
	is.Equal(written+dropped, lines)
}

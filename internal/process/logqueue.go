package process

import (
	"encoding/json"
	"io"
	"sync/atomic"
	"time"

	"github.com/apex/log"
)

const (
	// logQueueLines limits the lines that wait to be written; further lines are dropped and counted.
	logQueueLines = 4096
	// logFlushInterval is the maximum delay before a line is written. Writing many lines at once saves system calls.
	logFlushInterval = 250 * time.Millisecond
	logBatchBytes    = 64 << 10
)

// LogQueue writes log lines as JSON without ever blocking the goroutine that logs. When its queue is full, it drops lines.
type LogQueue struct {
	lines   chan []byte
	dropped atomic.Int64
	stop    chan struct{}
	done    chan struct{}
}

var _ log.Handler = (*LogQueue)(nil)

// NewLogQueue returns a queue that writes to w until Close.
func NewLogQueue(w io.Writer) *LogQueue {
	q := &LogQueue{lines: make(chan []byte, logQueueLines), stop: make(chan struct{}), done: make(chan struct{})}
	go q.run(w)
	return q
}

// logLine is the JSON form of a line. Fields is a nested object, so that no field overrides the time or the message.
type logLine struct {
	Time    string     `json:"time"`
	Level   string     `json:"level"`
	Message string     `json:"message"`
	Fields  log.Fields `json:"fields,omitempty"`
}

// HandleLog implements log.Handler.
func (q *LogQueue) HandleLog(e *log.Entry) error {
	line, err := json.Marshal(logLine{e.Timestamp.UTC().Format("2006-01-02T15:04:05.000Z"), e.Level.String(), e.Message, e.Fields})
	if err != nil {
		line, _ = json.Marshal(logLine{Level: e.Level.String(), Message: e.Message + " (fields cannot be encoded: " + err.Error() + ")"})
	}
	select {
	case q.lines <- append(line, '\n'):
	default:
		q.dropped.Add(1)
	}
	return nil
}

func (q *LogQueue) run(w io.Writer) {
	defer close(q.done)
	batch := make([]byte, 0, logBatchBytes)
	flush := func() {
		if n := q.dropped.Swap(0); n > 0 {
			line, _ := json.Marshal(logLine{Time: time.Now().UTC().Format(time.RFC3339Nano), Level: "warn",
				Message: "log lines were left out because the log is written too slowly", Fields: log.Fields{"lines": n}})
			batch = append(append(batch, line...), '\n')
		}
		if len(batch) > 0 {
			_, _ = w.Write(batch) // there is no other place to log a failure of the log
			batch = batch[:0]
		}
	}
	timer := time.NewTimer(logFlushInterval)
	timer.Stop()
	for {
		select {
		case line := <-q.lines:
			if len(batch) == 0 {
				timer.Reset(logFlushInterval)
			}
			if batch = append(batch, line...); len(batch) >= logBatchBytes {
				flush()
			}
		case <-timer.C:
			flush()
		case <-q.stop:
			for {
				select {
				case line := <-q.lines:
					batch = append(batch, line...)
					continue
				default:
				}
				break
			}
			flush()
			return
		}
	}
}

// Close writes the queued lines and stops. It must be called once.
func (q *LogQueue) Close() {
	close(q.stop)
	<-q.done
}

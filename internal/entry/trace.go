package entry

import (
	"github.com/banyanfront/banyanfront/internal/settings"
	"github.com/banyanfront/banyanfront/internal/trace"
)

// newTraceRecorder returns a recorder of callers' requests, nil if the settings have no trace file.
func newTraceRecorder(s *settings.Front) (*trace.Recorder, error) {
	if s.TraceFile == "" {
		return nil, nil
	}
	return trace.NewRecorder(s.TraceFile, string(s.Instance))
}

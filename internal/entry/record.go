package entry

import (
	"github.com/banyanfront/banyanfront/internal/settings"
	"github.com/banyanfront/banyanfront/internal/trace"
)

// newTraceRecorder returns the recorder of callers' requests, nil if the settings name no file for it.
func newTraceRecorder(s *settings.Front) (*trace.Recorder, error) {
	if s.TraceFile == "" {
		return nil, nil
	}
	return trace.NewRecorder(s.TraceFile, string(s.Instance))
}

package trace

import (
	"bufio"
	"encoding/json"
	"io"
)

// Write writes a trace: the header, the outcomes, then requests and events sorted by time.
func Write(w io.Writer, t *Trace) error {
	buffered := bufio.NewWriter(w)
	encoder := json.NewEncoder(buffered)
	encoder.SetEscapeHTML(false)
	if err := encoder.Encode(headerLine(&t.Header)); err != nil {
		return err
	}
	for i := range t.Outcomes {
		if err := encoder.Encode(struct {
			line
			*Outcome
		}{line{"outcome"}, &t.Outcomes[i]}); err != nil {
			return err
		}
	}
	events := t.Events
	for i := range t.Requests {
		for len(events) > 0 && events[0].AtMS <= t.Requests[i].AtMS {
			if err := encoder.Encode(eventLine(&events[0])); err != nil {
				return err
			}
			events = events[1:]
		}
		if err := encoder.Encode(requestLine(&t.Requests[i])); err != nil {
			return err
		}
	}
	for i := range events {
		if err := encoder.Encode(eventLine(&events[i])); err != nil {
			return err
		}
	}
	return buffered.Flush()
}

func headerLine(h *Header) any {
	return struct {
		line
		*Header
	}{line{"trace"}, h}
}

func requestLine(r *Request) any {
	return struct {
		line
		*Request
	}{line{"request"}, r}
}

func eventLine(e *Event) any {
	return struct {
		line
		*Event
	}{line{"event"}, e}
}

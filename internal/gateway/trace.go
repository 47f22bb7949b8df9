package gateway

import (
	"encoding/json"

	"github.com/banyanfront/banyanfront/decide/fleet"
	"github.com/banyanfront/banyanfront/internal/trace"
)

// recordTrace adds a call to the trace: lengths and digests, but no prompt, key or body.
func (g *Gateway) recordTrace(c *call) {
	if g.config.Trace == nil {
		return
	}
	r := trace.Request{
		Organisation: string(c.organisation),
		Target:       c.target.Name,
		Method:       c.method,
		Path:         c.tracePath(),
		Stream:       c.stream,
		DeadlineMS:   c.deadline.Sub(c.arrived).Milliseconds(),
		DataCentre:   string(g.config.DataCentre),
		PromptBytes:  len(c.body),
	}
	if c.callerKey {
		r.Key = c.key
	}
	if c.target.Kind == fleet.KindEngine {
		var body struct {
			MaxTokens int             `json:"max_tokens"`
			Prompt    json.RawMessage `json:"prompt"`
			Messages  json.RawMessage `json:"messages"`
		}
		// A field of an unexpected type counts as length 0; the engine validates the call itself.
		_ = json.Unmarshal(c.body, &body)
		r.PromptBytes, r.MaxTokens = len(body.Prompt)+len(body.Messages), body.MaxTokens
	}
	g.config.Trace.Record(r)
}

// tracePath returns the path to record in a trace. The path within a service and its query may contain personal data or
// secrets, so only the first element is recorded.
func (c *call) tracePath() string {
	if c.target.Kind != fleet.KindService {
		return c.path
	}
	path := c.path
	for i := 1; i < len(path); i++ {
		if path[i] == '/' || path[i] == '?' {
			path = path[:i]
			break
		}
	}
	return servicesPrefix + c.target.Name + path
}

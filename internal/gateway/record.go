package gateway

import (
	"encoding/json"

	"github.com/banyanfront/banyanfront/decide/fleet"
	"github.com/banyanfront/banyanfront/internal/trace"
)

// record writes what a trace keeps of a call: lengths and digests, but no prompt, key or body.
func (g *Gateway) record(c *call) {
	if g.config.Trace == nil {
		return
	}
	r := trace.Request{
		Organisation: string(c.organisation),
		Target:       c.target.Name,
		Method:       c.method,
		Path:         c.recordedPath(),
		Stream:       c.stream,
		DeadlineMS:   c.deadline.Sub(c.arrived).Milliseconds(),
		DataCentre:   string(g.config.DataCentre),
		Prompt:       len(c.body),
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
		// A field of another type leaves its length 0; the call itself is judged by the engine.
		_ = json.Unmarshal(c.body, &body)
		r.Prompt, r.Tokens = len(body.Prompt)+len(body.Messages), body.MaxTokens
	}
	g.config.Trace.Record(r)
}

// recordedPath returns the path for a trace. The path within a service and its query may name persons or hold secrets,
// so that only the first element is kept.
func (c *call) recordedPath() string {
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

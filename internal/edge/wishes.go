package edge

import (
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/apex/log"

	"github.com/banyanfront/banyanfront/decide/dispatch"
	"github.com/banyanfront/banyanfront/internal/backendhttp"
	"github.com/banyanfront/banyanfront/platform"
)

// leaving is the value of platform.HeaderLeaving of a server that leaves. Other values say nothing.
const leaving = "1"

// recordWishes records what a server asks of this instance in its response.
func (p *Proxy) recordWishes(choice *dispatch.Choice, response *backendhttp.Response) {
	p.recordLeaving(choice, response)
	if response.Status == http.StatusServiceUnavailable {
		p.recordQuiet(choice, response)
	}
}

// recordQuiet records for how long a server that has answered 503 wants no requests. Of several times the longest counts; what is
// no time, or a negative one, says nothing.
func (p *Proxy) recordQuiet(choice *dispatch.Choice, response *backendhttp.Response) {
	quiet := time.Duration(0)
	for _, text := range response.Header.Values(platform.HeaderRetryAfter) {
		if duration, ok := platform.ParseHeaderTime(strings.TrimSpace(text), time.Second); ok {
			quiet = max(quiet, duration)
		} else {
			log.WithFields(log.Fields{"server": choice.Server.Server, "value": text}).Warn("the server names a Retry-After that is no number of seconds")
		}
	}
	if quiet == 0 {
		return
	}
	news := false
	p.withDispatcher(func(now time.Time, d *dispatch.Dispatcher) { news = d.RecordQuiet(now, choice, quiet) })
	if news {
		metrics.GetOrCreateCounter(`banyanfront_edge_server_wishes_total{wish="quiet"}`).Inc()
		log.WithFields(log.Fields{"server": choice.Server.Server, "born": choice.Server.StartedAtMillis, "ms": quiet.Milliseconds()}).
			Warn("the server wants no requests for a while")
	}
}

// recordLeaving records that a server leaves.
func (p *Proxy) recordLeaving(choice *dispatch.Choice, response *backendhttp.Response) {
	if !slices.ContainsFunc(response.Header.Values(platform.HeaderLeaving), func(v string) bool { return strings.TrimSpace(v) == leaving }) {
		return
	}
	if !isOwnResponse(response) {
		// Forwarded, it would tell callers and operators what nobody has vouched for.
		response.Header.Del(platform.HeaderLeaving)
		return
	}
	response.CloseAfterUse()
	news := false
	p.withDispatcher(func(now time.Time, d *dispatch.Dispatcher) { news = d.RecordLeaving(now, choice) })
	if news {
		metrics.GetOrCreateCounter(`banyanfront_edge_server_wishes_total{wish="leaving"}`).Inc()
		log.WithFields(log.Fields{"server": choice.Server.Server, "born": choice.Server.StartedAtMillis, "drainMs": p.config.Dispatch.DrainTime.Milliseconds()}).
			Warn("the server says that it leaves; it gets no new requests")
	}
}

// isOwnResponse reports whether a response is what the chosen server says of itself: not that of another server at its address, of
// another request, or bytes that lack the server's seal.
func isOwnResponse(response *backendhttp.Response) bool {
	if response.Status == http.StatusMisdirectedRequest || response.Header.Get(platform.HeaderRequestID) == "" {
		return false
	}
	return response.Status >= 300 || response.Header.Get(platform.HeaderSeal) != ""
}

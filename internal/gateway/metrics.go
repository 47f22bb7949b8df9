package gateway

import (
	"fmt"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/banyanfront/banyanfront/decide/fleet"
	"github.com/banyanfront/banyanfront/internal/problem"
)

var metricUnauthorized = metrics.NewCounter(`banyanfront_unauthorized_total`)

var metricProbes = metrics.NewCounter(`banyanfront_full_server_probes_total`)

func metricRefused(reason string) *metrics.Counter {
	return metrics.GetOrCreateCounter(fmt.Sprintf(`banyanfront_refused_total{reason=%q}`, reason))
}

func metricRetries(step string) *metrics.Counter {
	return metrics.GetOrCreateCounter(fmt.Sprintf(`banyanfront_retries_total{step=%q}`, step))
}

// maxOrganisationSeries bounds the organisations that have histograms of their own; the others share "other".
const maxOrganisationSeries = 256

// organisationSeries remembers which organisations have histograms of their own.
type organisationSeries struct {
	mu    sync.Mutex
	names map[fleet.Organisation]bool
}

var series = organisationSeries{names: make(map[fleet.Organisation]bool)}

func (s *organisationSeries) label(name fleet.Organisation) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.names[name] {
		return string(name)
	}
	if len(s.names) >= maxOrganisationSeries {
		return "other"
	}
	s.names[name] = true
	return string(name)
}

// observeCall counts the outcome of a call and adds its duration to the organisation's histogram.
func observeCall(c *call, answer *answerBuffer, err error) {
	outcome := "answered"
	switch {
	case err == errCallerGone:
		outcome = "caller_gone"
	case err != nil:
		outcome = string(problem.KindOf(err))
	}
	class := "idempotent"
	if !c.idempotent() {
		class = "keyed"
	}
	organisation := series.label(c.organisation)
	metrics.GetOrCreateCounter(fmt.Sprintf(`banyanfront_requests_total{organisation=%q,class=%q,outcome=%q}`,
		organisation, class, outcome)).Inc()
	metrics.GetOrCreateHistogram(fmt.Sprintf(`banyanfront_request_duration_seconds{organisation=%q,class=%q}`,
		organisation, class)).Update(time.Since(c.arrived).Seconds())
	metrics.GetOrCreateCounter(fmt.Sprintf(`banyanfront_tokens_total{organisation=%q}`, organisation)).Add(int(answer.tokens))
}

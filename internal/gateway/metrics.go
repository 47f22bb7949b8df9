package gateway

import (
	"fmt"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/banyanfront/banyanfront/internal/problem"
	"github.com/banyanfront/banyanfront/internal/process"
)

var metricUnauthorized = metrics.NewCounter(`banyanfront_unauthorized_total`)

var metricProbes = metrics.NewCounter(`banyanfront_full_server_probes_total`)

func metricRefused(reason string) *metrics.Counter {
	return metrics.GetOrCreateCounter(fmt.Sprintf(`banyanfront_refused_total{reason=%q}`, reason))
}

func metricRetries(step string) *metrics.Counter {
	return metrics.GetOrCreateCounter(fmt.Sprintf(`banyanfront_retries_total{step=%q}`, step))
}

// maxOrganisationSeries limits the organisations with their own series; the others are counted under "other".
const maxOrganisationSeries = 256

var organisationLabels = process.NewLabelLimiter(maxOrganisationSeries)

// observeCall counts the outcome and tokens of a call and adds its duration to the organisation's histogram.
func observeCall(c *call, answer *answerBuffer, err error) {
	outcome := "answered"
	switch {
	case err == errCallerDisconnected:
		outcome = "caller_gone"
	case err != nil:
		outcome = string(problem.KindOf(err))
	}
	class := "idempotent"
	if !c.idempotent() {
		class = "keyed"
	}
	organisation := organisationLabels.Label(string(c.organisation))
	metrics.GetOrCreateCounter(fmt.Sprintf(`banyanfront_requests_total{organisation=%q,class=%q,outcome=%q}`,
		organisation, class, outcome)).Inc()
	metrics.GetOrCreateHistogram(fmt.Sprintf(`banyanfront_request_duration_seconds{organisation=%q,class=%q}`,
		organisation, class)).Update(time.Since(c.arrived).Seconds())
	metrics.GetOrCreateCounter(fmt.Sprintf(`banyanfront_tokens_total{organisation=%q}`, organisation)).Add(int(answer.tokens))
}

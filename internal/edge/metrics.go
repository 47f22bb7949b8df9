package edge

import (
	"fmt"
	"strings"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/banyanfront/banyanfront/internal/process"
)

// maxOrganisationSeries limits the organisations that have their own time series; all others share one.
const maxOrganisationSeries = 256

var organisationLabels = process.NewLabelLimiter(maxOrganisationSeries)

// recordMetrics records the outcome and the duration of a call.
func (p *Proxy) recordMetrics(c *call) {
	outcome, _, _ := strings.Cut(c.outcome, ":")
	organisation := organisationLabels.Label(c.organisation)
	metrics.GetOrCreateCounter(fmt.Sprintf(`banyanfront_edge_requests_total{organisation=%q,outcome=%q}`, organisation, outcome)).Inc()
	metrics.GetOrCreateHistogram(fmt.Sprintf(`banyanfront_edge_request_seconds{organisation=%q}`, organisation)).Update(time.Since(c.arrived).Seconds())
}

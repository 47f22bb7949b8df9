package edge

import (
	"fmt"
	"strings"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/banyanfront/banyanfront/internal/process"
)

// maxOrganisations bounds the organisations with series of their own; the rest share one.
const maxOrganisations = 256

var series = process.NewLabelLimiter(maxOrganisations)

// measure counts a call that has ended.
func (g *Gate) measure(c *call) {
	outcome, _, _ := strings.Cut(c.outcome, ":")
	organisation := series.Label(c.org)
	metrics.GetOrCreateCounter(fmt.Sprintf(`banyanfront_edge_requests_total{organisation=%q,outcome=%q}`, organisation, outcome)).Inc()
	metrics.GetOrCreateHistogram(fmt.Sprintf(`banyanfront_edge_request_seconds{organisation=%q}`, organisation)).Update(time.Since(c.arrived).Seconds())
}

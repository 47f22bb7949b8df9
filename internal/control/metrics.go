package control

import "github.com/VictoriaMetrics/metrics"

var (
	metricEventsDropped = metrics.NewCounter(`banyanfront_control_events_dropped_total`)
	metricBadInput      = metrics.NewCounter(`banyanfront_control_bad_input_total`)
)

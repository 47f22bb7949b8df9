package agent

import (
	"fmt"

	"github.com/VictoriaMetrics/metrics"

	"github.com/banyanfront/banyanfront/internal/protocol"
)

var metricBadLoad = metrics.NewCounter(`banyanagent_bad_load_total`)

var metricFirstToken = metrics.NewHistogram(`banyanagent_first_token_seconds`)

var outcomeNames = map[protocol.Outcome]string{
	protocol.OutcomeUnknown: "unknown",
	protocol.OutcomeDone:    "done",
	protocol.OutcomeNotRun:  "not_run",
	protocol.OutcomeFailed:  "failed",
	protocol.OutcomeRunning: "repeated",
}

func metricAttempts(outcome protocol.Outcome) *metrics.Counter {
	return metrics.GetOrCreateCounter(fmt.Sprintf(`banyanagent_attempts_total{outcome=%q}`, outcomeNames[outcome]))
}

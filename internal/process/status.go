package process

import (
	"io"
	"net/http"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-chi/chi/v5"
)

// StatusRoutes adds /metrics, /healthz and /readyz. ready returns why the process takes no work, or "".
func StatusRoutes(r chi.Router, ready func() string) {
	r.Get("/metrics", func(w http.ResponseWriter, _ *http.Request) { metrics.WritePrometheus(w, true) })
	r.Get("/healthz", func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "ok\n") })
	r.Get("/readyz", func(w http.ResponseWriter, _ *http.Request) {
		if reason := ready(); reason != "" {
			http.Error(w, reason, http.StatusServiceUnavailable)
			return
		}
		_, _ = io.WriteString(w, "ready\n")
	})
}

package process

import (
	"io"
	"net/http"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-chi/chi/v5"
)

// StatusRoutes adds /metrics, /healthz and /readyz. notReady returns the reason why the process accepts no work, or "" if it
// does.
func StatusRoutes(r chi.Router, notReady func() string) {
	r.Get("/metrics", func(w http.ResponseWriter, _ *http.Request) { metrics.WritePrometheus(w, true) })
	r.Get("/healthz", func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "ok\n") })
	r.Get("/readyz", func(w http.ResponseWriter, _ *http.Request) {
		if reason := notReady(); reason != "" {
			http.Error(w, reason, http.StatusServiceUnavailable)
			return
		}
		_, _ = io.WriteString(w, "ready\n")
	})
}

package entry

import (
	"net/http"

	"github.com/go-chi/chi/v5"

	"github.com/banyanfront/banyanfront/internal/process"
)

// operators serves the command line and monitoring. It listens on loopback by default.
type operators struct {
	instance *Instance
}

func (o *operators) handler() http.Handler {
	r := chi.NewRouter()
	process.StatusRoutes(r, o.instance.notReady)
	return r
}

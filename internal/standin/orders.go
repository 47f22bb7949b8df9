package standin

import (
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/banyanfront/banyanfront/decide/fleet"
	"github.com/banyanfront/banyanfront/internal/process"
)

// maxOrders bounds the orders that an engine remembers.
const maxOrders = 4096

// EngineOrder is the body of POST /orders.
type EngineOrder struct {
	ID      string `json:"id"`
	Fencing uint64 `json:"fencing"`
	Action  string `json:"action"` // load, unload or role
	Model   string `json:"model,omitempty"`
	Version string `json:"version,omitempty"`
	Adapter string `json:"adapter,omitempty"`
	Role    string `json:"role,omitempty"`
}

// OrderEntry is an order that an engine received.
type OrderEntry struct {
	EngineOrder
	At      time.Time `json:"at"`
	Refused string    `json:"refused,omitempty"`
	Stale   bool      `json:"stale,omitempty"` // its fencing token was below the highest one seen
}

// Orders returns the orders received, the oldest first.
func (e *Engine) Orders() []OrderEntry {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Clone(e.orders)
}

func (e *Engine) order(w http.ResponseWriter, r *http.Request) {
	var order EngineOrder
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBody)).Decode(&order); err != nil {
		writeError(w, http.StatusBadRequest, "body is not an order: "+err.Error())
		return
	}
	e.mu.Lock()
	entry := OrderEntry{EngineOrder: order, At: time.Now(), Stale: order.Fencing < e.fencing}
	status := http.StatusOK
	if entry.Stale && e.cfg.ChecksFencing {
		status = http.StatusConflict
		entry.Refused = fmt.Sprintf("fencing token %d is older than %d", order.Fencing, e.fencing)
	}
	e.fencing = max(e.fencing, order.Fencing)
	e.mu.Unlock()

	if entry.Refused == "" {
		if order.Action == "load" && !process.Sleep(r.Context(), e.cfg.LoadTime) {
			status, entry.Refused = 499, "caller left"
		} else {
			e.mu.Lock()
			entry.Refused = e.apply(order)
			e.mu.Unlock()
			if entry.Refused != "" {
				status = http.StatusBadRequest
			}
		}
	}
	e.mu.Lock()
	if len(e.orders) == maxOrders {
		e.orders = slices.Delete(e.orders, 0, 1)
	}
	e.orders = append(e.orders, entry)
	e.mu.Unlock()
	if entry.Refused != "" {
		writeError(w, status, entry.Refused)
		return
	}
	writeJSON(w, status, order)
}

// apply carries out an order and returns why it cannot. The caller holds e.mu.
func (e *Engine) apply(o EngineOrder) (refused string) {
	at := slices.IndexFunc(e.models, func(m fleet.Model) bool { return m.Name == o.Model })
	switch o.Action {
	case "load":
		if o.Model == "" {
			return "order to load names no model"
		}
		if at < 0 {
			e.models = append(e.models, fleet.Model{Name: o.Model})
			at = len(e.models) - 1
		}
		if o.Version != "" {
			e.models[at].Version = o.Version
		}
		if o.Adapter != "" && !slices.Contains(e.models[at].Adapters, o.Adapter) {
			e.models[at].Adapters = append(slices.Clone(e.models[at].Adapters), o.Adapter)
		}
	case "unload":
		if at < 0 {
			return "" // repeating an order to unload does no harm
		}
		if o.Adapter != "" {
			e.models[at].Adapters = slices.DeleteFunc(slices.Clone(e.models[at].Adapters), func(a string) bool { return a == o.Adapter })
			return ""
		}
		e.models = slices.Delete(e.models, at, at+1)
	case "role":
		if !slices.Contains([]string{"mixed", "prefill", "decode"}, o.Role) {
			return fmt.Sprintf("role %q must be mixed, prefill or decode", o.Role)
		}
		e.role = o.Role
	default:
		return fmt.Sprintf("action %q must be load, unload or role", o.Action)
	}
	return ""
}

// Group is a lock-step group of engines in one process: each step takes as long as that of the slowest rank.
type Group struct {
	mu    sync.Mutex
	steps []time.Duration
}

// NewGroup returns a group with the number of ranks.
func NewGroup(ranks int) *Group { return &Group{steps: make([]time.Duration, ranks)} }

func (g *Group) report(rank int, step time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.steps[rank] = step
}

// StepTime returns the step time of the group.
func (g *Group) StepTime() time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	return slices.Max(g.steps)
}

// Steps returns the step time of each rank.
func (g *Group) Steps() []time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	return slices.Clone(g.steps)
}

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

// maxOrders is the number of orders that an engine keeps in its list; older ones are dropped.
const maxOrders = 4096

// EngineOrder is the body of POST /orders to an engine.
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
	Stale   bool      `json:"stale,omitempty"` // its fencing token was below the highest one received
}

// Orders returns the most recent orders received, the oldest first.
func (e *Engine) Orders() []OrderEntry {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Clone(e.orders)
}

func (e *Engine) handleOrder(w http.ResponseWriter, r *http.Request) {
	var order EngineOrder
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes)).Decode(&order); err != nil {
		writeError(w, http.StatusBadRequest, "body is not an order: "+err.Error())
		return
	}
	e.mu.Lock()
	entry := OrderEntry{EngineOrder: order, At: time.Now(), Stale: order.Fencing < e.highestFencing}
	status := http.StatusOK
	if entry.Stale && e.cfg.ChecksFencing {
		status = http.StatusConflict
		entry.Refused = fmt.Sprintf("fencing token %d is older than %d", order.Fencing, e.highestFencing)
	}
	e.highestFencing = max(e.highestFencing, order.Fencing)
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

// apply executes an order. It returns the reason if the order is refused, and otherwise "". e.mu must be held.
func (e *Engine) apply(o EngineOrder) (refused string) {
	index := slices.IndexFunc(e.models, func(m fleet.Model) bool { return m.Name == o.Model })
	switch o.Action {
	case "load":
		if o.Model == "" {
			return "order to load names no model"
		}
		if index < 0 {
			e.models = append(e.models, fleet.Model{Name: o.Model})
			index = len(e.models) - 1
		}
		if o.Version != "" {
			e.models[index].Version = o.Version
		}
		if o.Adapter != "" && !slices.Contains(e.models[index].Adapters, o.Adapter) {
			e.models[index].Adapters = append(slices.Clone(e.models[index].Adapters), o.Adapter)
		}
	case "unload":
		if index < 0 {
			return "" // unload is idempotent
		}
		if o.Adapter != "" {
			e.models[index].Adapters = slices.DeleteFunc(slices.Clone(e.models[index].Adapters), func(a string) bool { return a == o.Adapter })
			return ""
		}
		e.models = slices.Delete(e.models, index, index+1)
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

// Group is a lock-step group of engines in one process: each step takes as long as the slowest rank needs.
type Group struct {
	mu        sync.Mutex
	stepTimes []time.Duration
}

// NewGroup returns a group with the given number of ranks.
func NewGroup(ranks int) *Group { return &Group{stepTimes: make([]time.Duration, ranks)} }

func (g *Group) setStepTime(rank int, step time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.stepTimes[rank] = step
}

// StepTime returns the step time of the group.
func (g *Group) StepTime() time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	return slices.Max(g.stepTimes)
}

// StepTimes returns the step time of each rank.
func (g *Group) StepTimes() []time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	return slices.Clone(g.stepTimes)
}

package agent

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/banyanfront/banyanfront/decide/fleet"
	"github.com/banyanfront/banyanfront/internal/protocol"
	"github.com/banyanfront/banyanfront/internal/transport"
)

const (
	orderTimeout = 5 * time.Minute // loading weights is slow
	maxOrders    = 1024
)

// orderTable fences orders and stores the results of recent ones, so that an order that is sent again after a lost answer
// is not executed twice.
type orderTable struct {
	mu             sync.Mutex
	highestFencing uint64
	results        map[string]*orderResult
	recentIDs      []string
}

type orderResult struct {
	done    chan struct{}
	refused string
}

func newOrderTable() *orderTable { return &orderTable{results: make(map[string]*orderResult)} }

// begin returns the result to wait for, and whether the caller has to execute the order.
func (t *orderTable) begin(m *protocol.Order) (*orderResult, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if existing, ok := t.results[m.ID]; ok {
		return existing, false
	}
	result := &orderResult{done: make(chan struct{})}
	if m.Fencing < t.highestFencing {
		result.refused = fmt.Sprintf("fencing token %d is older than %d: another control instance has taken over", m.Fencing, t.highestFencing)
		close(result.done)
		return result, false
	}
	t.highestFencing = m.Fencing
	t.results[m.ID] = result
	t.recentIDs = append(t.recentIDs, m.ID)
	if len(t.recentIDs) > maxOrders {
		delete(t.results, t.recentIDs[0])
		t.recentIDs = t.recentIDs[1:]
	}
	return result, true
}

// raiseFencing makes begin refuse orders with a fencing token below the newest one that the agreed state has granted.
func (t *orderTable) raiseFencing(fencing uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.highestFencing = max(t.highestFencing, fencing)
}

// runOrder executes an order once and returns its result.
func (a *Agent) runOrder(m *protocol.Order) *protocol.OrderDone {
	result, isNew := a.orders.begin(m)
	if isNew {
		if err := a.backend.sendOrder(m); err != nil {
			result.refused = err.Error()
		} else {
			a.applyOrder(m)
		}
		close(result.done)
	}
	<-result.done
	return &protocol.OrderDone{ID: m.ID, RefusalReason: result.refused}
}

// applyOrder updates the models after a successful order, and announces them to the entry instances.
func (a *Agent) applyOrder(m *protocol.Order) {
	a.mu.Lock()
	a.models = modelsAfterOrder(a.models, m)
	a.mu.Unlock()
	announcement := a.announcement()
	a.sessions.Each(func(s transport.Session) { _ = s.Send(announcement) })
}

// modelsAfterOrder returns a new list of the models with the change of a successful order applied.
func modelsAfterOrder(models []fleet.Model, m *protocol.Order) []fleet.Model {
	var changed []fleet.Model
	found := false
	for _, model := range models {
		if model.Name != m.Model {
			changed = append(changed, model)
			continue
		}
		switch {
		case m.Action == "load" && m.Adapter != "":
			model.Adapters = append(slices.Clone(model.Adapters), m.Adapter)
		case m.Action == "load":
			model.Version = m.Version
		case m.Action == "unload" && m.Adapter != "":
			model.Adapters = slices.DeleteFunc(slices.Clone(model.Adapters), func(name string) bool { return name == m.Adapter })
		case m.Action == "unload":
			continue
		}
		found = true
		changed = append(changed, model)
	}
	if !found && m.Action == "load" && m.Adapter == "" {
		changed = append(changed, fleet.Model{Name: m.Model, Version: m.Version})
	}
	return changed
}

// orderBody is the JSON form of an order to an engine.
type orderBody struct {
	ID      string `json:"id"`
	Fencing uint64 `json:"fencing"`
	Action  string `json:"action"`
	Model   string `json:"model,omitempty"`
	Version string `json:"version,omitempty"`
	Adapter string `json:"adapter,omitempty"`
	Role    string `json:"role,omitempty"`
}

// sendOrder sends an order to the engine. An error means that the engine refused it or did not answer.
func (b *backend) sendOrder(m *protocol.Order) error {
	body, err := json.Marshal(orderBody(*m))
	if err != nil {
		return err
	}
	target, err := b.urlFor("/orders")
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), orderTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, target, bytes.NewReader(body))
	if err != nil {
		return err
	}
	req.Header.Set("Content-Type", "application/json")
	res, err := b.single.Do(req)
	if err != nil {
		return fmt.Errorf("the engine did not answer the order: %w", err)
	}
	defer res.Body.Close()
	if res.StatusCode >= http.StatusBadRequest {
		text, _ := io.ReadAll(io.LimitReader(res.Body, 512))
		return fmt.Errorf("the engine refused the order with status %d: %s", res.StatusCode, bytes.TrimSpace(text))
	}
	return nil
}

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

// orderTable fences orders and remembers the results of recent ones, so that an order that is sent again after a lost
// answer is not carried out twice.
type orderTable struct {
	mu      sync.Mutex
	highest uint64
	done    map[string]*orderResult
	recent  []string
}

type orderResult struct {
	ready   chan struct{}
	refused string
}

func newOrderTable() *orderTable { return &orderTable{done: make(map[string]*orderResult)} }

// begin returns the result to wait for, and whether the caller has to carry out the order.
func (t *orderTable) begin(m *protocol.Order) (*orderResult, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if known, ok := t.done[m.ID]; ok {
		return known, false
	}
	result := &orderResult{ready: make(chan struct{})}
	if m.Fencing < t.highest {
		result.refused = fmt.Sprintf("fencing token %d is older than %d: another control instance has taken over", m.Fencing, t.highest)
		close(result.ready)
		return result, false
	}
	t.highest = m.Fencing
	t.done[m.ID] = result
	t.recent = append(t.recent, m.ID)
	if len(t.recent) > maxOrders {
		delete(t.done, t.recent[0])
		t.recent = t.recent[1:]
	}
	return result, true
}

// raise refuses orders below a fencing token that the agreed state has granted to somebody else.
func (t *orderTable) raise(fencing uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.highest = max(t.highest, fencing)
}

// order carries out an order once and returns its result.
func (a *Agent) order(m *protocol.Order) *protocol.OrderDone {
	result, first := a.orders.begin(m)
	if first {
		if err := a.backend.order(m); err != nil {
			result.refused = err.Error()
		} else {
			a.carriedOut(m)
		}
		close(result.ready)
	}
	<-result.ready
	return &protocol.OrderDone{ID: m.ID, Refused: result.refused}
}

// carriedOut takes over what an order has changed, and tells the entry instances.
func (a *Agent) carriedOut(m *protocol.Order) {
	a.mu.Lock()
	a.models = changedModels(a.models, m)
	a.mu.Unlock()
	announce := a.announce()
	a.sessions.Each(func(s transport.Session) { _ = s.Send(announce) })
}

// changedModels returns the models after an order.
func changedModels(models []fleet.Model, m *protocol.Order) []fleet.Model {
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

// orderBody is an order as engines take it.
type orderBody struct {
	ID      string `json:"id"`
	Fencing uint64 `json:"fencing"`
	Action  string `json:"action"`
	Model   string `json:"model,omitempty"`
	Version string `json:"version,omitempty"`
	Adapter string `json:"adapter,omitempty"`
	Role    string `json:"role,omitempty"`
}

// order sends an order to the engine.
func (b *backend) order(m *protocol.Order) error {
	body, err := json.Marshal(orderBody(*m))
	if err != nil {
		return err
	}
	target, err := b.target("/orders")
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

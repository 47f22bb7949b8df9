package standin

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/banyanfront/banyanfront/internal/process"
)

// maxBodyBytes is the largest accepted request body.
const maxBodyBytes = 1 << 20

// DefaultOrders is the number of orders that a plain service keeps.
const DefaultOrders = 1 << 16

// ServiceConfig holds the settings of a stand-in plain service.
type ServiceConfig struct {
	// Name is reported by /stats. No default.
	Name string
	// Delay is the time that each request takes. Default 0.
	Delay time.Duration
	// Orders is the maximum number of orders kept; older ones are dropped. Default 65,536.
	Orders int
	// RecordEntries is the maximum number of requests kept in the record. Default 65,536.
	RecordEntries int
}

// Service is a stand-in plain service that stores orders. POST /orders creates an order and GET /orders/{id} reads it. It
// does not check idempotency keys: a repeated request creates a second order, so that duplicates can be detected.
type Service struct {
	cfg    ServiceConfig
	record *Record
	mux    *http.ServeMux

	mu         sync.Mutex
	running    int
	created    int
	abortsLeft int
	orders     map[int]Order
}

var _ http.Handler = (*Service)(nil)

// Order is one stored order.
type Order struct {
	ID      string          `json:"id"`
	Key     string          `json:"key,omitempty"` // header Idempotency-Key
	Digest  string          `json:"digest"`
	Created time.Time       `json:"created"`
	Body    json.RawMessage `json:"body,omitempty"` // if it was JSON
}

// NewService returns a plain service.
func NewService(cfg ServiceConfig) *Service {
	if cfg.Orders <= 0 {
		cfg.Orders = DefaultOrders
	}
	s := &Service{cfg: cfg, record: NewRecord(cfg.RecordEntries), mux: http.NewServeMux(), orders: make(map[int]Order)}
	s.mux.Handle("GET /record", s.record)
	s.mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "ok\n") })
	s.mux.HandleFunc("GET /load", s.serveLoad)
	s.mux.HandleFunc("GET /stats", s.serveStats)
	s.mux.HandleFunc("/", s.serve)
	return s
}

// ServeHTTP implements http.Handler.
func (s *Service) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.mux.ServeHTTP(w, r) }

// Record returns the record of received requests.
func (s *Service) Record() *Record { return s.record }

// Created returns the number of orders ever created.
func (s *Service) Created() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.created
}

// Orders returns the kept orders by key, with the empty key for orders without one. More than one order for a key is a
// duplicate.
func (s *Service) Orders() map[string][]Order {
	s.mu.Lock()
	defer s.mu.Unlock()
	byKey := make(map[string][]Order)
	for _, o := range s.orders {
		byKey[o.Key] = append(byKey[o.Key], o)
	}
	return byKey
}

// AbortNext makes the service run the next n requests and then abort their connections instead of answering.
func (s *Service) AbortNext(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.abortsLeft = n
}

func (s *Service) serveLoad(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	writeJSON(w, http.StatusOK, map[string]any{"running": s.running})
}

func (s *Service) serveStats(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	writeJSON(w, http.StatusOK, map[string]any{
		"name": s.cfg.Name, "running": s.running, "created": s.created, "requests": s.record.Count(),
	})
}

func (s *Service) serve(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		writeError(w, http.StatusBadRequest, "body cannot be read: "+err.Error())
		return
	}
	digest := digestOf(body)
	sequence := s.record.begin(r, digest)
	s.mu.Lock()
	s.running++
	abort := s.abortsLeft > 0
	if abort {
		s.abortsLeft--
	}
	s.mu.Unlock()
	defer func() {
		s.mu.Lock()
		s.running--
		s.mu.Unlock()
	}()

	// The order is created before the delay: it exists even if the caller disconnects before the answer.
	status, answer := s.handle(r, sequence, body, digest)
	if !process.Sleep(r.Context(), s.cfg.Delay) {
		s.record.end(sequence, status, EndAborted, 0)
		return
	}
	if abort {
		s.record.end(sequence, status, EndAborted, 0)
		panic(http.ErrAbortHandler)
	}
	s.record.end(sequence, status, EndFinished, 0)
	writeJSON(w, status, answer)
}

func (s *Service) handle(r *http.Request, sequence uint64, body []byte, digest string) (status int, answer any) {
	var id int
	switch {
	case r.Method == http.MethodPost && r.URL.Path == "/orders":
		return http.StatusCreated, s.createOrder(r, sequence, body, digest)
	case r.Method == http.MethodGet && parseOrderPath(r.URL.Path, &id):
		s.mu.Lock()
		defer s.mu.Unlock()
		if order, ok := s.orders[id]; ok {
			return http.StatusOK, order
		}
		return http.StatusNotFound, map[string]any{"error": "order does not exist"}
	}
	return http.StatusOK, map[string]any{"method": r.Method, "path": r.URL.RequestURI(), "digest": digest}
}

func parseOrderPath(path string, id *int) bool {
	n, err := fmt.Sscanf(path, "/orders/%d", id)
	return n == 1 && err == nil
}

func (s *Service) createOrder(r *http.Request, sequence uint64, body []byte, digest string) Order {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.created++
	order := Order{ID: fmt.Sprint(s.created), Key: r.Header.Get("Idempotency-Key"), Digest: digest, Created: time.Now()}
	if json.Valid(body) {
		order.Body = body
	}
	s.orders[s.created] = order
	delete(s.orders, s.created-s.cfg.Orders)
	s.record.update(sequence, func(e *Entry) { e.Order = order.ID })
	return order
}

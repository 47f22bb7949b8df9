package standin

import (
	"context"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/banyanfront/banyanfront/decide/fleet"
)

// Defaults of EngineConfig.
const (
	DefaultSlots       = 32
	DefaultCacheTokens = 1 << 16
)

// EngineConfig holds the settings of a stand-in model engine.
type EngineConfig struct {
	// Name is reported by /stats. No default.
	Name string
	// Models are loaded at the start. No default.
	Models []fleet.Model
	// Role is mixed, prefill or decode. Default mixed.
	Role string
	// Slots is the number of requests in the batch; others wait in order of priority. Default 32 requests.
	Slots int
	// Prefill is the time of a prefill beside its tokens. Default 0.
	Prefill time.Duration
	// PrefillPerToken is the time for each prompt token that is not in the prefix cache. Default 0.
	PrefillPerToken time.Duration
	// TokenInterval is the time between tokens of a request that is alone. Default 0.
	TokenInterval time.Duration
	// IntervalPerRequest is added to TokenInterval for each further request in the batch. Default 0.
	IntervalPerRequest time.Duration
	// Cold is how long the engine is cold after its start. Default 0.
	Cold time.Duration
	// ColdSlots is the load that a cold engine bears. One more request makes it fall over. Default 2 requests.
	ColdSlots int
	// Restart is how long the engine refuses everything after it has fallen over; it is cold afterwards. Default Cold.
	Restart time.Duration
	// CacheTokens is the size of the prompt prefix cache. Default 65,536 tokens.
	CacheTokens int
	// LoadTime is how long an order to load takes. Default 0.
	LoadTime time.Duration
	// LoadLag is how old the figures of /load may be. Default 0.
	LoadLag time.Duration
	// ChecksFencing makes the engine refuse orders with an old fencing token. Default false.
	ChecksFencing bool
	// Group and Rank make the engine a rank of a lock-step group, whose step time is that of its slowest rank. Optional.
	Group *Group
	Rank  int
	// RecordEntries is the number of requests kept in the record. Default 65,536.
	RecordEntries int
}

// Engine is a stand-in model engine.
type Engine struct {
	cfg    EngineConfig
	record *Record
	mux    *http.ServeMux

	mu         sync.Mutex
	boot       uint64
	coldUntil  time.Time
	downUntil  time.Time
	slow       float64            // factor on all times, 1 if normal
	fallen     context.Context    // cancelled when the engine falls over
	fall       context.CancelFunc // cancels fallen
	running    int
	waiting    []*waiter
	cache      *prefixCache
	models     []fleet.Model
	role       string
	fencing    uint64
	orders     []OrderEntry
	falls      int
	tokens     uint64
	firstToken time.Duration
	interval   time.Duration
	load       Load
	loadAt     time.Time
}

var _ http.Handler = (*Engine)(nil)

// Load is what GET /load returns. Durations are in nanoseconds.
type Load struct {
	Running       int           `json:"running"`
	Waiting       int           `json:"waiting"`
	Slots         int           `json:"slots"`
	KVUsed        float64       `json:"kvUsed"` // used share of the prefix cache, 0 to 1
	FirstToken    time.Duration `json:"firstToken"`
	TokenInterval time.Duration `json:"tokenInterval"`
	StepTime      time.Duration `json:"stepTime"` // of this rank, without waiting for the others
	Cold          bool          `json:"cold"`
	Boot          uint64        `json:"boot"` // grows each time the engine falls over
	Role          string        `json:"role"`
	Models        []fleet.Model `json:"models"`
}

// Stats is what GET /stats returns.
type Stats struct {
	Name        string       `json:"name"`
	Requests    uint64       `json:"requests"`
	Tokens      uint64       `json:"tokens"`
	Falls       int          `json:"falls"`
	CacheHits   uint64       `json:"cacheHits"`   // prompt tokens found in the cache
	CacheMisses uint64       `json:"cacheMisses"` // prompt tokens computed
	Fencing     uint64       `json:"fencing"`     // highest seen
	Orders      []OrderEntry `json:"orders"`
	Load        Load         `json:"load"`
}

// NewEngine returns a model engine.
func NewEngine(cfg EngineConfig) *Engine {
	if cfg.Slots <= 0 {
		cfg.Slots = DefaultSlots
	}
	if cfg.ColdSlots <= 0 {
		cfg.ColdSlots = 2
	}
	if cfg.CacheTokens <= 0 {
		cfg.CacheTokens = DefaultCacheTokens
	}
	if cfg.Restart <= 0 {
		cfg.Restart = cfg.Cold
	}
	if cfg.Role == "" {
		cfg.Role = "mixed"
	}
	e := &Engine{
		cfg: cfg, record: NewRecord(cfg.RecordEntries), mux: http.NewServeMux(),
		boot: 1, slow: 1, coldUntil: time.Now().Add(cfg.Cold),
		cache: newPrefixCache(cfg.CacheTokens), models: cloneModels(cfg.Models), role: cfg.Role,
	}
	e.fallen, e.fall = context.WithCancel(context.Background())
	e.mux.HandleFunc("POST /v1/chat/completions", e.complete)
	e.mux.HandleFunc("POST /v1/completions", e.complete)
	e.mux.HandleFunc("POST /orders", e.order)
	e.mux.Handle("GET /record", e.record)
	e.mux.HandleFunc("GET /load", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, http.StatusOK, e.Load()) })
	e.mux.HandleFunc("GET /stats", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, http.StatusOK, e.Stats()) })
	e.mux.HandleFunc("GET /healthz", e.healthz)
	return e
}

// ServeHTTP implements http.Handler.
func (e *Engine) ServeHTTP(w http.ResponseWriter, r *http.Request) { e.mux.ServeHTTP(w, r) }

// Record returns what ran.
func (e *Engine) Record() *Record { return e.record }

// TurnCold makes the engine cold without warning, as after losing its caches.
func (e *Engine) TurnCold() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.coldUntil = time.Now().Add(e.cfg.Cold)
	e.cache = newPrefixCache(e.cfg.CacheTokens)
}

// SetSlow multiplies all times of the engine by the factor, 1 for normal speed.
func (e *Engine) SetSlow(factor float64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.slow = factor
}

// FallOver breaks all running requests and makes the engine refuse work for its restart time.
func (e *Engine) FallOver() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.fallOver()
}

// fallOver does the work of FallOver. The caller holds e.mu.
func (e *Engine) fallOver() {
	e.falls++
	e.boot++
	e.downUntil = time.Now().Add(e.cfg.Restart)
	e.coldUntil = e.downUntil.Add(e.cfg.Cold)
	e.cache = newPrefixCache(e.cfg.CacheTokens)
	e.fall()
	e.fallen, e.fall = context.WithCancel(context.Background())
}

// Load returns the engine's load, with the configured lag.
func (e *Engine) Load() Load {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.lagged()
}

func (e *Engine) lagged() Load {
	now := time.Now()
	if e.loadAt.IsZero() || now.Sub(e.loadAt) >= e.cfg.LoadLag {
		e.loadAt = now
		e.load = Load{
			Running: e.running, Waiting: len(e.waiting), Slots: e.cfg.Slots, KVUsed: e.cache.used(),
			FirstToken: e.firstToken, TokenInterval: e.interval, StepTime: e.ownStep(),
			Cold: now.Before(e.coldUntil), Boot: e.boot, Role: e.role, Models: cloneModels(e.models),
		}
	}
	return e.load
}

// Stats returns the engine's counters.
func (e *Engine) Stats() Stats {
	e.mu.Lock()
	defer e.mu.Unlock()
	return Stats{
		Name: e.cfg.Name, Requests: e.record.Count(), Tokens: e.tokens, Falls: e.falls,
		CacheHits: e.cache.hits, CacheMisses: e.cache.misses, Fencing: e.fencing,
		Orders: append([]OrderEntry(nil), e.orders...), Load: e.lagged(),
	}
}

func (e *Engine) healthz(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	down := time.Now().Before(e.downUntil)
	e.mu.Unlock()
	if down {
		writeError(w, http.StatusServiceUnavailable, "engine is restarting")
		return
	}
	_, _ = io.WriteString(w, "ok\n")
}

// ownStep returns the step time of this engine without waiting for other ranks. The caller holds e.mu.
func (e *Engine) ownStep() time.Duration {
	step := e.cfg.TokenInterval + time.Duration(max(e.running-1, 0))*e.cfg.IntervalPerRequest
	step = time.Duration(float64(step) * e.slow)
	if e.cfg.Group != nil {
		e.cfg.Group.report(e.cfg.Rank, step)
	}
	return step
}

// step returns the time to the next token. The caller holds e.mu.
func (e *Engine) step() time.Duration {
	step := e.ownStep()
	if e.cfg.Group != nil {
		step = max(step, e.cfg.Group.StepTime())
	}
	return step
}

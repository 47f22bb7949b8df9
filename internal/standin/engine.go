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
	// Models are loaded when the engine starts. No default.
	Models []fleet.Model
	// Role is mixed, prefill or decode. Default mixed.
	Role string
	// Slots is the maximum batch size in requests; further ones queue in order of priority. Default 32.
	Slots int
	// Prefill is the fixed time of each prefill, in addition to PrefillPerToken. Default 0.
	Prefill time.Duration
	// PrefillPerToken is the time for each prompt token that is not in the prefix cache. Default 0.
	PrefillPerToken time.Duration
	// TokenInterval is the inter-token latency at batch size 1. Default 0.
	TokenInterval time.Duration
	// IntervalPerRequest is added to TokenInterval for each further request in the batch. Default 0.
	IntervalPerRequest time.Duration
	// Cold is how long the engine is cold after its start. Default 0.
	Cold time.Duration
	// ColdSlots is the maximum batch size of a cold engine. One more request crashes it. Default 2 requests.
	ColdSlots int
	// RestartTime is how long the engine refuses all requests after a crash; it is cold afterwards. Default Cold.
	RestartTime time.Duration
	// CacheTokens is the size of the prompt prefix cache. Default 65,536 tokens.
	CacheTokens int
	// LoadTime is how long an order to load a model takes. Default 0.
	LoadTime time.Duration
	// MaxLoadAge is how long the answer of /load is cached. Default 0.
	MaxLoadAge time.Duration
	// ChecksFencing makes the engine refuse orders with an old fencing token. Default false.
	ChecksFencing bool
	// Group and Rank make the engine a rank of a lock-step group: its step time is that of the slowest rank. Optional.
	Group *Group
	Rank  int
	// RecordEntries is the maximum number of requests kept in the record. Default 65,536.
	RecordEntries int
}

// Engine is a stand-in model engine.
type Engine struct {
	cfg    EngineConfig
	record *Record
	mux    *http.ServeMux

	mu             sync.Mutex
	incarnation    uint64
	coldUntil      time.Time
	downUntil      time.Time
	slowdown       float64            // factor on all prefill and step times, 1 if normal
	crashed        context.Context    // cancelled when the engine crashes
	signalCrash    context.CancelFunc // cancels crashed
	running        int
	waiting        []*waiter
	cache          *prefixCache
	models         []fleet.Model
	role           string
	highestFencing uint64
	orders         []OrderEntry
	crashes        int
	tokensSent     uint64
	lastFirstToken time.Duration
	lastInterval   time.Duration
	reportedLoad   Load
	reportedLoadAt time.Time
}

var _ http.Handler = (*Engine)(nil)

// Load is the answer to GET /load. Durations are in nanoseconds.
type Load struct {
	Running       int           `json:"running"`
	Waiting       int           `json:"waiting"`
	Slots         int           `json:"slots"`
	KVUsed        float64       `json:"kvUsed"`        // used share of the prefix cache, 0 to 1
	FirstToken    time.Duration `json:"firstToken"`    // time to first token of the latest request
	TokenInterval time.Duration `json:"tokenInterval"` // latest inter-token latency
	StepTime      time.Duration `json:"stepTime"`      // of this rank, without waiting for other ranks
	Cold          bool          `json:"cold"`
	Incarnation   uint64        `json:"boot"` // incremented by each crash
	Role          string        `json:"role"`
	Models        []fleet.Model `json:"models"`
}

// Stats is the answer to GET /stats.
type Stats struct {
	Name        string       `json:"name"`
	Requests    uint64       `json:"requests"`
	Tokens      uint64       `json:"tokens"`
	Crashes     int          `json:"falls"`
	CacheHits   uint64       `json:"cacheHits"`   // prompt tokens covered by a cached prefix
	CacheMisses uint64       `json:"cacheMisses"` // prompt tokens that had to be computed
	Fencing     uint64       `json:"fencing"`     // highest fencing token received
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
	if cfg.RestartTime <= 0 {
		cfg.RestartTime = cfg.Cold
	}
	if cfg.Role == "" {
		cfg.Role = "mixed"
	}
	e := &Engine{
		cfg: cfg, record: NewRecord(cfg.RecordEntries), mux: http.NewServeMux(),
		incarnation: 1, slowdown: 1, coldUntil: time.Now().Add(cfg.Cold),
		cache: newPrefixCache(cfg.CacheTokens), models: cloneModels(cfg.Models), role: cfg.Role,
	}
	e.crashed, e.signalCrash = context.WithCancel(context.Background())
	e.mux.HandleFunc("POST /v1/chat/completions", e.complete)
	e.mux.HandleFunc("POST /v1/completions", e.complete)
	e.mux.HandleFunc("POST /orders", e.handleOrder)
	e.mux.Handle("GET /record", e.record)
	e.mux.HandleFunc("GET /load", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, http.StatusOK, e.Load()) })
	e.mux.HandleFunc("GET /stats", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, http.StatusOK, e.Stats()) })
	e.mux.HandleFunc("GET /healthz", e.healthz)
	return e
}

// ServeHTTP implements http.Handler.
func (e *Engine) ServeHTTP(w http.ResponseWriter, r *http.Request) { e.mux.ServeHTTP(w, r) }

// Record returns the record of received requests.
func (e *Engine) Record() *Record { return e.record }

// MakeCold makes the engine cold for EngineConfig.Cold and empties its prefix cache, without a crash.
func (e *Engine) MakeCold() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.coldUntil = time.Now().Add(e.cfg.Cold)
	e.cache = newPrefixCache(e.cfg.CacheTokens)
}

// SetSlowdown sets the factor on all prefill and step times, 1 for normal speed.
func (e *Engine) SetSlowdown(factor float64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.slowdown = factor
}

// Crash aborts all running requests. The engine refuses all requests for its restart time and is cold afterwards.
func (e *Engine) Crash() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.crash()
}

// crash implements Crash. e.mu must be held.
func (e *Engine) crash() {
	e.crashes++
	e.incarnation++
	e.downUntil = time.Now().Add(e.cfg.RestartTime)
	e.coldUntil = e.downUntil.Add(e.cfg.Cold)
	e.cache = newPrefixCache(e.cfg.CacheTokens)
	e.signalCrash()
	e.crashed, e.signalCrash = context.WithCancel(context.Background())
}

// Load returns the engine's load, at most EngineConfig.MaxLoadAge old.
func (e *Engine) Load() Load {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.cachedLoad()
}

// cachedLoad implements Load. e.mu must be held.
func (e *Engine) cachedLoad() Load {
	now := time.Now()
	if e.reportedLoadAt.IsZero() || now.Sub(e.reportedLoadAt) >= e.cfg.MaxLoadAge {
		e.reportedLoadAt = now
		e.reportedLoad = Load{
			Running: e.running, Waiting: len(e.waiting), Slots: e.cfg.Slots, KVUsed: e.cache.usedRatio(),
			FirstToken: e.lastFirstToken, TokenInterval: e.lastInterval, StepTime: e.ownStepTime(),
			Cold: now.Before(e.coldUntil), Incarnation: e.incarnation, Role: e.role, Models: cloneModels(e.models),
		}
	}
	return e.reportedLoad
}

// Stats returns the engine's counters.
func (e *Engine) Stats() Stats {
	e.mu.Lock()
	defer e.mu.Unlock()
	return Stats{
		Name: e.cfg.Name, Requests: e.record.Count(), Tokens: e.tokensSent, Crashes: e.crashes,
		CacheHits: e.cache.hitTokens, CacheMisses: e.cache.missTokens, Fencing: e.highestFencing,
		Orders: append([]OrderEntry(nil), e.orders...), Load: e.cachedLoad(),
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

// ownStepTime returns the step time of this engine without waiting for other ranks, and reports it to the group. e.mu must
// be held.
func (e *Engine) ownStepTime() time.Duration {
	step := e.cfg.TokenInterval + time.Duration(max(e.running-1, 0))*e.cfg.IntervalPerRequest
	step = time.Duration(float64(step) * e.slowdown)
	if e.cfg.Group != nil {
		e.cfg.Group.setStepTime(e.cfg.Rank, step)
	}
	return step
}

// stepTime returns the time until the next token, that of the slowest rank in a group. e.mu must be held.
func (e *Engine) stepTime() time.Duration {
	step := e.ownStepTime()
	if e.cfg.Group != nil {
		step = max(step, e.cfg.Group.StepTime())
	}
	return step
}

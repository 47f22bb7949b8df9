package transport

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/banyanfront/banyanfront/internal/protocol"
)

// Defaults of ReconnectorConfig.
const (
	DefaultMinBackoff = 100 * time.Millisecond
	DefaultMaxBackoff = 5 * time.Second
)

// retireCheckInterval is how often a Reconnector checks whether the streams of a replaced session have ended.
const retireCheckInterval = time.Second

// Dialer opens sessions to one address.
type Dialer struct {
	// Address is a ws or wss URL.
	Address string
	// Config holds the settings of the sessions.
	Config Config
	// Hello returns the current Hello of this process.
	Hello func() protocol.Hello
	// Handler receives the events of the sessions.
	Handler Handler
}

// Connect opens one session whose events are delivered to h, which may wrap d.Handler.
func (d *Dialer) Connect(ctx context.Context, h Handler) (Session, error) {
	return Dial(ctx, d.Address, d.Config, d.Hello(), h)
}

// ReconnectorConfig holds the settings of a Reconnector.
type ReconnectorConfig struct {
	// Connect opens a session whose events are delivered to h, usually by Dialer.Connect. Required.
	Connect func(ctx context.Context, h Handler) (Session, error)
	// Handler receives the events of all sessions. Required.
	Handler Handler
	// SessionChanged is called when the current session changes. current is nil when no session is left; previous is nil
	// when there was none. It is called from one goroutine and must not block. Optional.
	SessionChanged func(current, previous Session)
	// ConnectFailed is called when a connection attempt has failed, with the time until the next one. Optional.
	ConnectFailed func(err error, retry time.Duration)
	// EndsEarly is called when a session has ended within MaxBackoff of its opening, as the one or more before it did. times
	// counts them. Optional.
	EndsEarly func(reason string, times int)
	// MinBackoff is the backoff after the first failure; it doubles with each further one. Default 100 ms.
	MinBackoff time.Duration
	// MaxBackoff bounds the backoff. A session that stays open for at least MaxBackoff resets it. Default 5 s.
	MaxBackoff time.Duration
	// Jitter returns a number from 0 to 1 that scales each wait from half of the backoff to all of it. Default random.
	Jitter func() float64
}

// Reconnector maintains one live session to one address. It reconnects when the session ends, and replaces a session that
// has become suspect before that one is closed. A replaced session is closed once its streams have ended.
type Reconnector struct {
	cfg      ReconnectorConfig
	current  atomic.Pointer[managedSession]
	wake     chan struct{}
	cancel   context.CancelFunc
	done     chan struct{}
	stopOnce sync.Once
	reason   string
}

type managedSession struct {
	Session
	openedAt time.Time
}

// usable reports whether the session is live and accepts new streams.
func (m *managedSession) usable() bool {
	if m == nil || m.State() != StateLive {
		return false
	}
	s, ok := m.Session.(*session)
	return !ok || s.acceptsStreams()
}

// reason returns why the session ended or is suspect, empty if it does not say.
func (m *managedSession) reason() string {
	if provider, ok := m.Session.(StatsProvider); ok {
		return provider.Stats().Reason
	}
	return ""
}

// idle reports whether the session has no open streams.
func (m *managedSession) idle() bool {
	s, ok := m.Session.(*session)
	return ok && s.openStreams() == 0
}

func (s *session) acceptsStreams() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.closed && !s.goAwaySent && !s.goAwayReceived
}

func (s *session) openStreams() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.streams)
}

// NewReconnector starts connecting in the background.
func NewReconnector(cfg ReconnectorConfig) *Reconnector {
	setDefault(&cfg.MinBackoff, DefaultMinBackoff)
	setDefault(&cfg.MaxBackoff, DefaultMaxBackoff)
	if cfg.Jitter == nil {
		cfg.Jitter = rand.Float64
	}
	ctx, cancel := context.WithCancel(context.Background())
	r := &Reconnector{cfg: cfg, wake: make(chan struct{}, 1), cancel: cancel, done: make(chan struct{})}
	go r.run(ctx)
	return r
}

// Session returns the current session, or nil. It may just have become suspect.
func (r *Reconnector) Session() Session {
	if current := r.current.Load(); current != nil {
		return current.Session
	}
	return nil
}

// Close closes all sessions and stops reconnecting. It returns once the Reconnector has stopped.
func (r *Reconnector) Close(reason string) {
	r.stopOnce.Do(func() {
		r.reason = reason
		r.cancel()
	})
	<-r.done
}

// connectResult is the result of a connection attempt.
type connectResult struct {
	s   Session
	err error
}

func (r *Reconnector) run(ctx context.Context) {
	defer close(r.done)
	results := make(chan connectResult, 1)
	dialling := false
	var retired []*managedSession
	var countedLoss *managedSession // unusable session that is already counted in the backoff
	backoff := time.Duration(0)
	earlyEnds := 0 // sessions in a row that ended within MaxBackoff
	next := time.Now()
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			if dialling {
				if result := <-results; result.s != nil {
					result.s.Close(r.reason)
				}
			}
			for _, old := range append(retired, r.current.Swap(nil)) {
				if old != nil {
					old.Close(r.reason)
				}
			}
			return
		case result := <-results:
			dialling = false
			switch current := r.current.Load(); {
			case result.err != nil:
				backoff = min(max(2*backoff, r.cfg.MinBackoff), r.cfg.MaxBackoff)
				wait := r.jittered(backoff)
				next = time.Now().Add(wait)
				if r.cfg.ConnectFailed != nil {
					r.cfg.ConnectFailed(result.err, wait)
				}
			case current.usable():
				result.s.Close("replaced session has recovered")
			default:
				replacement := &managedSession{result.s, time.Now()}
				r.replaceCurrent(replacement, current)
				if current != nil {
					current.GoAway("replaced by another session")
					retired = append(retired, current)
				}
			}
		case <-r.wake:
		case <-timer.C:
		}

		current := r.current.Load()
		if current != nil && current.State() == StateClosed {
			r.replaceCurrent(nil, current)
		}
		if current.usable() {
			countedLoss = nil
		} else if current != nil && countedLoss != current {
			countedLoss = current
			// A short-lived session counts as a failure, so that a peer that is stopping is not dialled repeatedly
			// without backoff.
			backoff = min(max(2*backoff, r.cfg.MinBackoff), r.cfg.MaxBackoff)
			earlyEnds++
			if time.Since(current.openedAt) >= r.cfg.MaxBackoff {
				backoff, earlyEnds = 0, 0
			}
			if earlyEnds > 1 && r.cfg.EndsEarly != nil {
				r.cfg.EndsEarly(current.reason(), earlyEnds)
			}
			next = time.Now().Add(r.jittered(backoff))
		}
		wait := time.Duration(-1)
		if !r.current.Load().usable() && !dialling {
			if wait = time.Until(next); wait <= 0 {
				dialling = true
				go func() {
					s, err := r.cfg.Connect(ctx, &reconnectorHandler{r})
					results <- connectResult{s, err}
				}()
			}
		}
		remaining := retired[:0]
		for _, old := range retired {
			if old.State() == StateClosed {
				continue
			}
			if old.idle() {
				old.Close("replaced by another session")
				continue
			}
			remaining = append(remaining, old)
		}
		clear(retired[len(remaining):])
		retired = remaining
		if len(retired) > 0 && (wait <= 0 || wait > retireCheckInterval) {
			wait = retireCheckInterval
		}
		timer.Stop()
		if wait > 0 {
			timer.Reset(wait)
		}
	}
}

func (r *Reconnector) jittered(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (1 + r.cfg.Jitter()) / 2)
}

// replaceCurrent makes the session current and calls SessionChanged.
func (r *Reconnector) replaceCurrent(current, previous *managedSession) {
	r.current.Store(current)
	if r.cfg.SessionChanged == nil {
		return
	}
	var newSession, oldSession Session
	if current != nil {
		newSession = current.Session
	}
	if previous != nil {
		oldSession = previous.Session
	}
	r.cfg.SessionChanged(newSession, oldSession)
}

// reconnectorHandler forwards the events and wakes the Reconnector at those after which a replacement may be needed.
type reconnectorHandler struct {
	reconnector *Reconnector
}

var _ Handler = (*reconnectorHandler)(nil)

// SessionOpened implements Handler.
func (h *reconnectorHandler) SessionOpened(s Session) { h.reconnector.cfg.Handler.SessionOpened(s) }

// StreamOpened implements Handler.
func (h *reconnectorHandler) StreamOpened(st Stream, open *protocol.Open) {
	h.reconnector.cfg.Handler.StreamOpened(st, open)
}

// MessageReceived implements Handler.
func (h *reconnectorHandler) MessageReceived(s Session, m protocol.Message) {
	h.reconnector.cfg.Handler.MessageReceived(s, m)
	if _, ok := m.(*protocol.GoAway); ok {
		signal(h.reconnector.wake)
	}
}

// StateChanged implements Handler.
func (h *reconnectorHandler) StateChanged(s Session, state State) {
	h.reconnector.cfg.Handler.StateChanged(s, state)
	signal(h.reconnector.wake)
}

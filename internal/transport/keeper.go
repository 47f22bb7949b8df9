package transport

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/banyanfront/banyanfront/internal/protocol"
)

// Defaults of KeeperConfig.
const (
	DefaultMinBackoff = 100 * time.Millisecond
	DefaultMaxBackoff = 5 * time.Second
)

// retireCheck is how often a Keeper looks whether the streams of a replaced session have ended.
const retireCheck = time.Second

// Dialer opens sessions to one address.
type Dialer struct {
	// Address is a ws or wss URL.
	Address string
	// Config holds the settings of the sessions.
	Config Config
	// Hello returns the greeting of this process at the time of the call.
	Hello func() protocol.Hello
	// Handler receives what the peer sends.
	Handler Handler
}

// Connect opens one session. The handler may wrap d.Handler.
func (d *Dialer) Connect(ctx context.Context, h Handler) (Session, error) {
	return Dial(ctx, d.Address, d.Config, d.Hello(), h)
}

// KeeperConfig holds the settings of a Keeper.
type KeeperConfig struct {
	// Connect opens a session whose events go to the given handler; Dialer.Connect is the usual one. No default.
	Connect func(ctx context.Context, h Handler) (Session, error)
	// Handler receives the events of all sessions. No default.
	Handler Handler
	// Changed is called when another session takes over. now is nil when no session is left; before is nil at the first
	// one. It is called from one goroutine and must not block. Optional.
	Changed func(now, before Session)
	// Failed is called when an attempt to connect has failed, with the time until the next one. Optional.
	Failed func(err error, retry time.Duration)
	// MinBackoff is the wait after the first failure, doubled with each further one. Default 100 ms.
	MinBackoff time.Duration
	// MaxBackoff bounds the wait. A session that lives for as long resets the wait. Default 5 s.
	MaxBackoff time.Duration
	// Jitter returns a factor from 0 to 1 by which each wait is scaled between its half and its whole. Default random.
	Jitter func() float64
}

// Keeper keeps one healthy session to one address. It connects again when the session ends, and opens a replacement
// beside a session that has turned suspect, before that one is given up. A replaced session is closed once its streams
// have ended.
type Keeper struct {
	cfg     KeeperConfig
	current atomic.Pointer[keptSession]
	wake    chan struct{}
	cancel  context.CancelFunc
	done    chan struct{}
	stop    sync.Once
	reason  string
}

type keptSession struct {
	Session
	since time.Time
}

// usable reports whether the session takes new streams.
func (k *keptSession) usable() bool {
	if k == nil || k.State() != StateLive {
		return false
	}
	s, ok := k.Session.(*session)
	return !ok || s.takesStreams()
}

// idle reports whether the session has no open streams.
func (k *keptSession) idle() bool {
	s, ok := k.Session.(*session)
	return ok && s.openStreams() == 0
}

func (s *session) takesStreams() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.closed && !s.leaving && !s.peerLeaves
}

func (s *session) openStreams() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.streams)
}

// NewKeeper starts to keep a session.
func NewKeeper(cfg KeeperConfig) *Keeper {
	setDefault(&cfg.MinBackoff, DefaultMinBackoff)
	setDefault(&cfg.MaxBackoff, DefaultMaxBackoff)
	if cfg.Jitter == nil {
		cfg.Jitter = rand.Float64
	}
	ctx, cancel := context.WithCancel(context.Background())
	k := &Keeper{cfg: cfg, wake: make(chan struct{}, 1), cancel: cancel, done: make(chan struct{})}
	go k.run(ctx)
	return k
}

// Session returns the session in use, or nil. It may have turned suspect a moment ago.
func (k *Keeper) Session() Session {
	if kept := k.current.Load(); kept != nil {
		return kept.Session
	}
	return nil
}

// Close ends the session in use and stops connecting. It waits until the Keeper has stopped.
func (k *Keeper) Close(reason string) {
	k.stop.Do(func() {
		k.reason = reason
		k.cancel()
	})
	<-k.done
}

// connected is the result of an attempt to connect.
type connected struct {
	s   Session
	err error
}

func (k *Keeper) run(ctx context.Context) {
	defer close(k.done)
	results := make(chan connected, 1)
	dialling := false
	var retired []*keptSession
	var noticed *keptSession // session whose loss is already counted in the backoff
	backoff := time.Duration(0)
	next := time.Now()
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			if dialling {
				if r := <-results; r.s != nil {
					r.s.Close(k.reason)
				}
			}
			for _, old := range append(retired, k.current.Swap(nil)) {
				if old != nil {
					old.Close(k.reason)
				}
			}
			return
		case r := <-results:
			dialling = false
			switch current := k.current.Load(); {
			case r.err != nil:
				backoff = min(max(2*backoff, k.cfg.MinBackoff), k.cfg.MaxBackoff)
				wait := k.jittered(backoff)
				next = time.Now().Add(wait)
				if k.cfg.Failed != nil {
					k.cfg.Failed(r.err, wait)
				}
			case current.usable():
				r.s.Close("replaced session has recovered")
			default:
				kept := &keptSession{r.s, time.Now()}
				k.change(kept, current)
				if current != nil {
					current.GoAway("replaced by another session")
					retired = append(retired, current)
				}
			}
		case <-k.wake:
		case <-timer.C:
		}

		current := k.current.Load()
		if current != nil && current.State() == StateClosed {
			k.change(nil, current)
		}
		if current.usable() {
			noticed = nil
		} else if current != nil && noticed != current {
			noticed = current
			// A session that did not live for long counts as a failure, so that a peer that is stopping is not dialled
			// without end.
			backoff = min(max(2*backoff, k.cfg.MinBackoff), k.cfg.MaxBackoff)
			if time.Since(current.since) >= k.cfg.MaxBackoff {
				backoff = 0
			}
			next = time.Now().Add(k.jittered(backoff))
		}
		wait := time.Duration(-1)
		if !k.current.Load().usable() && !dialling {
			if wait = time.Until(next); wait <= 0 {
				dialling = true
				go func() {
					s, err := k.cfg.Connect(ctx, &keeperHandler{k})
					results <- connected{s, err}
				}()
			}
		}
		kept := retired[:0]
		for _, old := range retired {
			if old.State() == StateClosed {
				continue
			}
			if old.idle() {
				old.Close("replaced by another session")
				continue
			}
			kept = append(kept, old)
		}
		clear(retired[len(kept):])
		retired = kept
		if len(retired) > 0 && (wait <= 0 || wait > retireCheck) {
			wait = retireCheck
		}
		timer.Stop()
		if wait > 0 {
			timer.Reset(wait)
		}
	}
}

func (k *Keeper) jittered(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (1 + k.cfg.Jitter()) / 2)
}

func (k *Keeper) change(now, before *keptSession) {
	k.current.Store(now)
	if k.cfg.Changed == nil {
		return
	}
	var n, b Session
	if now != nil {
		n = now.Session
	}
	if before != nil {
		b = before.Session
	}
	k.cfg.Changed(n, b)
}

// keeperHandler passes the events on and wakes the keeper at those that may need a replacement.
type keeperHandler struct {
	k *Keeper
}

var _ Handler = (*keeperHandler)(nil)

// SessionOpened implements Handler.
func (h *keeperHandler) SessionOpened(s Session) { h.k.cfg.Handler.SessionOpened(s) }

// StreamOpened implements Handler.
func (h *keeperHandler) StreamOpened(st Stream, open *protocol.Open) {
	h.k.cfg.Handler.StreamOpened(st, open)
}

// MessageReceived implements Handler.
func (h *keeperHandler) MessageReceived(s Session, m protocol.Message) {
	h.k.cfg.Handler.MessageReceived(s, m)
	if _, ok := m.(*protocol.GoAway); ok {
		signal(h.k.wake)
	}
}

// StateChanged implements Handler.
func (h *keeperHandler) StateChanged(s Session, state State) {
	h.k.cfg.Handler.StateChanged(s, state)
	signal(h.k.wake)
}

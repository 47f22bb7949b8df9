// Package control owns the control state of an entry instance. One goroutine applies events to it and publishes an
// immutable View, which traffic goroutines read without locks.
package control

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/apex/log"

	"github.com/banyanfront/banyanfront/decide/fleet"
	"github.com/banyanfront/banyanfront/internal/account"
	"github.com/banyanfront/banyanfront/internal/protocol"
	"github.com/banyanfront/banyanfront/internal/transport"
)

const (
	// publishInterval is the minimum interval between rebuilt views. Without it, 300 load reports in 2 s would cause as
	// many rebuilds.
	publishInterval = 50 * time.Millisecond
	tickInterval    = 250 * time.Millisecond
	maxQueuedEvents = 4096
)

// Config describes the instance that the loop runs on.
type Config struct {
	Instance    fleet.InstanceID
	Incarnation fleet.Incarnation
	DataCentre  fleet.DataCentre
	Address     string // inner address of this instance
	Account     *account.Queue
}

// Loop is the control loop. Its methods may be called from any goroutine.
type Loop struct {
	config    Config
	events    chan func(*state, time.Time)
	view      atomic.Pointer[View]
	messages  atomic.Pointer[MessageSink]
	streams   atomic.Pointer[StreamSink]
	addresses atomic.Pointer[AddressSink]
	done      chan struct{} // closed when Run has ended
}

// MessageSink receives the messages that do not change the control state, such as InquiryResult and Consensus. It must not
// block.
type MessageSink func(s transport.Session, m protocol.Message)

// StreamSink handles the streams that other entry instances open.
type StreamSink func(st transport.Stream, open *protocol.Open)

var _ transport.Handler = (*Loop)(nil)

// New returns a loop whose view has no servers.
func New(config Config) *Loop {
	l := &Loop{config: config, events: make(chan func(*state, time.Time), maxQueuedEvents), done: make(chan struct{})}
	l.view.Store(newState(config).view(time.Now()))
	return l
}

// View returns the newest view. The caller must not change it.
func (l *Loop) View() *View { return l.view.Load() }

// SetMessageSink sets the receiver of messages that do not change the control state.
func (l *Loop) SetMessageSink(sink MessageSink) { l.messages.Store(&sink) }

// SetStreamSink sets the handler of streams that other entry instances open.
func (l *Loop) SetStreamSink(sink StreamSink) { l.streams.Store(&sink) }

// Run applies events until the context ends.
func (l *Loop) Run(ctx context.Context) {
	defer close(l.done)
	s := newState(l.config)
	tick := time.NewTicker(tickInterval)
	defer tick.Stop()
	publish := time.NewTimer(publishInterval)
	defer publish.Stop()
	timerArmed := true
	for {
		select {
		case <-ctx.Done():
			return
		case event := <-l.events:
			event(s, time.Now())
		case now := <-tick.C:
			s.tick(now)
			s.tickMembers(now, l.addresses.Load())
		case now := <-publish.C:
			timerArmed = false
			if s.changed {
				l.publish(s, now)
			}
		}
		if s.publishNow {
			// Servers that must receive no new work are excluded from the view without waiting for the timer.
			l.publish(s, time.Now())
		}
		if s.changed && !timerArmed {
			publish.Reset(publishInterval)
			timerArmed = true
		}
	}
}

// publish builds a new View for the traffic goroutines and records changed server statuses in the account.
func (l *Loop) publish(s *state, now time.Time) {
	s.recordServerStatuses(now)
	l.view.Store(s.view(now))
}

// Post queues an event for the control goroutine. It blocks while the queue is full, and drops the event once Run has
// returned.
func (l *Loop) Post(event func(*state, time.Time)) {
	select {
	case l.events <- event:
	case <-l.done:
	}
}

// tryPost queues an event, or drops it if the queue is full. It is for events that a later one supersedes.
func (l *Loop) tryPost(event func(*state, time.Time)) {
	select {
	case l.events <- event:
	default:
		metricEventsDropped.Inc()
	}
}

// SessionOpened implements transport.Handler.
func (l *Loop) SessionOpened(session transport.Session) {
	l.Post(func(s *state, now time.Time) { s.sessionOpened(session, now) })
}

// StateChanged implements transport.Handler.
func (l *Loop) StateChanged(session transport.Session, health transport.State) {
	l.Post(func(s *state, now time.Time) { s.sessionChanged(session, health, now) })
}

// StreamOpened implements transport.Handler.
func (l *Loop) StreamOpened(st transport.Stream, open *protocol.Open) {
	if sink := l.streams.Load(); sink != nil && !st.Session().Peer().Agent {
		(*sink)(st, open)
		return
	}
	st.Close("this instance serves no streams of agents")
}

// MessageReceived implements transport.Handler.
func (l *Loop) MessageReceived(session transport.Session, m protocol.Message) {
	switch message := m.(type) {
	case *protocol.Announce:
		l.Post(func(s *state, now time.Time) { s.applyAnnouncement(session, message.Announcement, now) })
	case *protocol.Load:
		l.ObserveLoad(message.Load)
	case *protocol.Gossip:
		gossip, err := protocol.DecodeGossip(message.Payload)
		if err != nil {
			metricBadInput.Inc()
			return
		}
		l.tryPost(func(s *state, now time.Time) { s.applyGossip(session, gossip, now) })
	case *protocol.Summary:
		l.tryPost(func(s *state, now time.Time) { s.applySummary(session, message, now) })
	default:
		if sink := l.messages.Load(); sink != nil {
			(*sink)(session, m)
			return
		}
		log.WithField("type", m.Type()).Debug("message dropped: no receiver is set")
	}
}

// ObserveLoad applies a load report. Reports arrive as messages and at the end of answers.
func (l *Loop) ObserveLoad(load fleet.Load) {
	l.tryPost(func(s *state, now time.Time) { s.applyLoad(load, now) })
}

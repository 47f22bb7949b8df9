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
	// publishInterval bounds how often snapshots are rebuilt: 300 load reports in 2 s would otherwise cost as many.
	publishInterval = 50 * time.Millisecond
	tickInterval    = 250 * time.Millisecond
	eventQueue      = 4096
)

// Config holds what the loop needs to know of its instance.
type Config struct {
	Instance   fleet.InstanceID
	Boot       fleet.Incarnation
	DataCentre fleet.DataCentre
	Address    string // inner address of this instance
	Account    *account.Queue
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

// MessageSink receives the messages that do not concern the control state, such as InquiryResult and Consensus. It must not
// block.
type MessageSink func(s transport.Session, m protocol.Message)

// StreamSink serves the streams that other entry instances open.
type StreamSink func(st transport.Stream, open *protocol.Open)

var _ transport.Handler = (*Loop)(nil)

// New returns a loop with an empty fleet.
func New(config Config) *Loop {
	l := &Loop{config: config, events: make(chan func(*state, time.Time), eventQueue), done: make(chan struct{})}
	l.view.Store(newState(config).view(time.Now()))
	return l
}

// View returns the newest view. The caller must not change it.
func (l *Loop) View() *View { return l.view.Load() }

// SetMessageSink sets who receives messages that do not concern the control state.
func (l *Loop) SetMessageSink(sink MessageSink) { l.messages.Store(&sink) }

// SetStreamSink sets who serves streams of other entry instances.
func (l *Loop) SetStreamSink(sink StreamSink) { l.streams.Store(&sink) }

// Run applies events until the context ends.
func (l *Loop) Run(ctx context.Context) {
	defer close(l.done)
	s := newState(l.config)
	tick := time.NewTicker(tickInterval)
	defer tick.Stop()
	publish := time.NewTimer(publishInterval)
	defer publish.Stop()
	armed := true
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
			armed = false
			if s.changed {
				l.publish(s, now)
			}
		}
		if s.urgent {
			// A server that must receive no new work is taken out of the view at once.
			l.publish(s, time.Now())
		}
		if s.changed && !armed {
			publish.Reset(publishInterval)
			armed = true
		}
	}
}

// publish puts the control state into force for traffic, and writes to the account which servers it excludes.
func (l *Loop) publish(s *state, now time.Time) {
	s.recordStandings(now)
	l.view.Store(s.view(now))
}

// Post applies an event on the control goroutine. It waits while the queue is full, and drops the event after Run.
func (l *Loop) Post(event func(*state, time.Time)) {
	select {
	case l.events <- event:
	case <-l.done:
	}
}

// offer applies an event unless the queue is full; it is for events that a later one replaces.
func (l *Loop) offer(event func(*state, time.Time)) {
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
		l.Post(func(s *state, now time.Time) { s.announced(session, message.Announcement, now) })
	case *protocol.Load:
		l.ObserveLoad(message.Load)
	case *protocol.Gossip:
		gossip, err := protocol.DecodeGossip(message.Payload)
		if err != nil {
			metricBadInput.Inc()
			return
		}
		l.offer(func(s *state, now time.Time) { s.gossiped(session, gossip, now) })
	case *protocol.Summary:
		l.offer(func(s *state, now time.Time) { s.summarised(session, message, now) })
	default:
		if sink := l.messages.Load(); sink != nil {
			(*sink)(session, m)
			return
		}
		log.WithField("type", m.Type()).Debug("message without a receiver")
	}
}

// ObserveLoad applies a load report, which may also arrive at the end of an answer.
func (l *Loop) ObserveLoad(load fleet.Load) {
	l.offer(func(s *state, now time.Time) { s.loaded(load, now) })
}

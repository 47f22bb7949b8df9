package gateway

import (
	"slices"
	"sync"
	"time"

	"github.com/banyanfront/banyanfront/decide/fleet"
	"github.com/banyanfront/banyanfront/decide/routing"
	"github.com/banyanfront/banyanfront/internal/control"
	"github.com/banyanfront/banyanfront/internal/problem"
	"github.com/banyanfront/banyanfront/internal/transport"
)

// placement is where an attempt goes: a backend server of the own data centre, or an entry instance of another one.
type placement struct {
	server     fleet.ServerID
	boot       fleet.Incarnation
	session    transport.Session
	dataCentre fleet.DataCentre       // where the request is spilled to, empty if it stays
	counter    *fleet.InFlightCounter // of the server, nil if the request is spilled
	release    func()
}

func (p *placement) spilled() bool { return p.dataCentre != "" }

// placeNext tries to place a request and reports whether the servers are full for the others too. A request that avoids
// some servers, or wants an adapter that few of them have, says nothing about the rest.
func (d *dispatcher) placeNext(q *targetQueue, w *waiter, view *control.View, now time.Time) (full bool) {
	reason := d.place(q, w, view, now)
	return reason == routing.ReasonNoHeadroom && len(w.exclude) == 0 && len(w.avoid) == 0 && w.call.target.Adapter == ""
}

// place finds a placement for a request that was taken from the queue, refuses it, or keeps it as blocked.
func (d *dispatcher) place(q *targetQueue, w *waiter, view *control.View, now time.Time) routing.Reason {
	if w.gone {
		d.drop(q, w, now)
		return routing.ReasonChosen
	}
	request := routing.Request{
		Target:           w.call.target,
		Priority:         w.call.priority,
		Prefix:           w.call.prefix,
		TriedServers:     w.exclude,
		TriedDataCentres: w.avoid,
		Spilled:          w.call.spilled,
		Now:              now,
	}
	decision := d.policy.Pick(view.Snapshot, &request, d.rng)
	if decision.Server < 0 && decision.DataCentre == "" && w.elsewhere == preferred && len(w.exclude) > 0 {
		// Nothing else is free, so a server that was tried is as good as waiting. A data centre that refused is not: its
		// instances have tried all that they can.
		request.TriedServers = nil
		decision = d.policy.Pick(view.Snapshot, &request, d.rng)
	}
	if decision.Reason == routing.ReasonNoHeadroom && now.Sub(w.since) >= probeAfter {
		decision.Server = d.probe(view, w)
		w.since = now // the next probe is due as long after this one
	}
	if place, ok := d.resolve(decision, view); ok {
		d.grant(q, w, place, now)
		return routing.ReasonChosen
	}
	if err := unplaced(w, decision.Reason, view, now); err != nil {
		metricRefused(decision.Reason.String()).Inc()
		d.drop(q, w, now)
		w.result <- granted{err: err}
		return routing.ReasonChosen
	}
	q.blocked = append(q.blocked, w)
	return decision.Reason
}

// probe returns a server that reports to be full but at which this instance uses less than its share of the limit, -1 if
// there is none. Reports are samples: at a small limit each of them may show a full server that has been free in between.
// The agent refuses what it can't take, and its refusal carries a fresh report.
func (d *dispatcher) probe(view *control.View, w *waiter) int {
	candidates := view.Candidates(w.call.target)
	if len(candidates) == 0 {
		return -1
	}
	start := d.rng.IntN(len(candidates))
	for n := range candidates {
		i := candidates[(start+n)%len(candidates)]
		server := &view.Servers[i]
		share := max(server.Load.Limit/view.Instances, 1)
		if server.ExclusionReason == "" && server.Load.Limit > 0 && server.Counter.InFlight() < share && server.Serves(w.call.target) &&
			(w.elsewhere == preferred || !slices.Contains(w.exclude, server.Server)) && !view.Evacuated {
			metricProbes.Inc()
			return i
		}
	}
	return -1
}

// resolve turns a decision into a placement if there is a live session for it.
func (d *dispatcher) resolve(decision routing.Decision, view *control.View) (placement, bool) {
	if decision.DataCentre != "" {
		peers := view.Peers(decision.DataCentre)
		if len(peers) == 0 {
			return placement{}, false
		}
		session := peers[d.rng.IntN(len(peers))]
		return placement{session: session, dataCentre: decision.DataCentre}, true
	}
	if decision.Server < 0 {
		return placement{}, false
	}
	server := &view.Servers[decision.Server]
	session := view.Session(server.Server)
	if session == nil {
		return placement{}, false
	}
	return placement{server: server.Server, boot: server.Incarnation, session: session, counter: server.Counter}, true
}

// grant hands a placement to a request.
func (d *dispatcher) grant(q *targetQueue, w *waiter, place placement, now time.Time) {
	d.unlist(q, w)
	counter := place.counter
	if !place.spilled() {
		d.affinity.RecordSent(now, place.server, w.call.prefix)
	}
	if counter != nil {
		counter.Begin()
	}
	var once sync.Once
	place.release = func() {
		once.Do(func() {
			if counter != nil {
				counter.End()
			}
			d.mu.Lock()
			defer d.mu.Unlock()
			now := time.Now()
			q.queue.Done(now, w.id)
			d.pump(q, d.views.View(), now)
		})
	}
	w.result <- granted{place: place}
}

// servedElsewhere reports whether a data centre in reach has servers for the target, even if none is free now.
func servedElsewhere(view *control.View, target fleet.Target) bool {
	return slices.ContainsFunc(view.RemoteSummaries, func(s fleet.Summary) bool { return s.Kind == target.Kind && s.Name == target.Name })
}

// unplaced returns the refusal of a request for which no server was found, or nil if it may wait.
func unplaced(w *waiter, reason routing.Reason, view *control.View, now time.Time) error {
	switch {
	case reason == routing.ReasonNoHeadroom:
		return nil
	case w.call.spilled && (reason == routing.ReasonLocalEvacuated || reason == routing.ReasonUnknown):
		// The sender knows the target from this data centre, and may try another instance or data centre. An instance that
		// has just started does not know the servers yet.
		return problem.New(problem.NotRun, "this entry instance has no server for %q now (%s): retry later", w.call.target.Name, reason).
			After(defaultRetryAfter).WithRan(false)
	case reason == routing.ReasonLocalEvacuated && !servedElsewhere(view, w.call.target):
		return problem.New(problem.NotRun, "this data centre is out, and no other one in reach has a server for %q: "+
			"send the request to an entry instance of another data centre", w.call.target.Name).
			After(defaultRetryAfter).WithRan(false)
	case reason == routing.ReasonUnknown && view.HasRemoteTarget(w.call.target):
		// Only other data centres have it, and none of them can take the request now.
	case reason == routing.ReasonUnknown, reason == routing.ReasonVersion, reason == routing.ReasonRole:
		kind := "model"
		if w.call.target.Kind == fleet.KindService {
			kind = "service"
		}
		return problem.New(problem.UnknownModel, "no backend server has the %s %q (%s): check the name, or announce a server for it",
			kind, w.call.target.Name, reason).WithRan(false)
	}
	if now.Sub(w.begun) < maxUnplaced {
		return nil
	}
	return problem.New(problem.NotRun, "no backend server for %q takes work (%s): retry later", w.call.target.Name, reason).
		After(defaultRetryAfter).WithRan(false)
}

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

// placement is the destination of an attempt: a backend server of the own data centre, or an entry instance of another one.
type placement struct {
	server      fleet.ServerID
	incarnation fleet.Incarnation
	session     transport.Session
	dataCentre  fleet.DataCentre       // to which the request is spilled, empty for the own one
	counter     *fleet.InFlightCounter // of the server, nil if the request is spilled
	release     func()
}

func (p *placement) spilled() bool { return p.dataCentre != "" }

// placeNext tries to place a request and reports whether the servers are full for the requests behind it too. That does
// not follow if this request excludes some servers or needs an adapter that only a few of them have.
func (d *dispatcher) placeNext(q *targetQueue, w *waiter, view *control.View, now time.Time) (full bool) {
	reason := d.place(q, w, view, now)
	return reason == routing.ReasonNoHeadroom && len(w.triedServers) == 0 && len(w.triedDataCentres) == 0 && w.call.target.Adapter == ""
}

// place finds a placement for a request that was taken from the queue, refuses it, or adds it to the blocked ones.
func (d *dispatcher) place(q *targetQueue, w *waiter, view *control.View, now time.Time) routing.Reason {
	if w.cancelled {
		d.drop(q, w, now)
		return routing.ReasonChosen
	}
	request := routing.Request{
		Target:           w.call.target,
		Priority:         w.call.priority,
		Prefix:           w.call.prefix,
		TriedServers:     w.triedServers,
		TriedDataCentres: w.triedDataCentres,
		Spilled:          w.call.spilled,
		Now:              now,
	}
	decision := d.policy.Pick(view.Snapshot, &request, d.rng)
	if decision.Server < 0 && decision.DataCentre == "" && w.exclusionMode == preferOther && len(w.triedServers) > 0 {
		// No other server is free, so a retry at a tried server is no worse than waiting. A data centre that refused stays
		// excluded: its instances have tried all their options.
		request.TriedServers = nil
		decision = d.policy.Pick(view.Snapshot, &request, d.rng)
	}
	if decision.Reason == routing.ReasonNoHeadroom && now.Sub(w.probeWaitStart) >= probeAfter {
		decision.Server = d.probe(view, w)
		w.probeWaitStart = now // the next probe is due probeAfter later
	}
	if place, ok := d.resolve(decision, view); ok {
		d.grant(q, w, place, now)
		return routing.ReasonChosen
	}
	if err := placementRefusal(w, decision.Reason, view, now); err != nil {
		metricRefused(decision.Reason.String()).Inc()
		d.drop(q, w, now)
		w.result <- placementResult{err: err}
		return routing.ReasonChosen
	}
	q.blocked = append(q.blocked, w)
	return decision.Reason
}

// probe returns the index of a server that reports to be full but at which this instance uses less than its share of the
// limit, -1 if there is none. Load reports are samples: with a small limit each of them may show a full server that was
// free in between. The agent refuses a request beyond its limit, and the refusal contains a current load report.
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
			(w.exclusionMode == preferOther || !slices.Contains(w.triedServers, server.Server)) && !view.Evacuated {
			metricProbes.Inc()
			return i
		}
	}
	return -1
}

// resolve converts a routing decision to a placement. It returns false if no destination was chosen or there is no live
// session to it.
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
	return placement{server: server.Server, incarnation: server.Incarnation, session: session, counter: server.Counter}, true
}

// grant assigns a placement to a request. The placement's release frees its slots.
func (d *dispatcher) grant(q *targetQueue, w *waiter, place placement, now time.Time) {
	d.removeWaiting(q, w)
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
			d.dispatch(q, d.views.View(), now)
		})
	}
	w.result <- placementResult{place: place}
}

// servedElsewhere reports whether a reachable data centre has servers for the target, even if none is free now.
func servedElsewhere(view *control.View, target fleet.Target) bool {
	return slices.ContainsFunc(view.RemoteSummaries, func(s fleet.Summary) bool { return s.Kind == target.Kind && s.Name == target.Name })
}

// placementRefusal returns the refusal of a request for which no server was found, or nil if it may go on waiting.
func placementRefusal(w *waiter, reason routing.Reason, view *control.View, now time.Time) error {
	switch {
	case reason == routing.ReasonNoHeadroom:
		return nil
	case w.call.spilled && (reason == routing.ReasonLocalEvacuated || reason == routing.ReasonUnknown):
		// The sending instance expects the target here from this data centre's summary, and may try another instance or data
		// centre. An instance that has just started has no list of the servers yet.
		return problem.New(problem.NotRun, "this entry instance has no server for %q now (%s): retry later", w.call.target.Name, reason).
			WithRetryAfter(defaultRetryAfter).WithRan(false)
	case reason == routing.ReasonLocalEvacuated && !servedElsewhere(view, w.call.target):
		return problem.New(problem.NotRun, "this data centre is out, and no other one in reach has a server for %q: "+
			"send the request to an entry instance of another data centre", w.call.target.Name).
			WithRetryAfter(defaultRetryAfter).WithRan(false)
	case reason == routing.ReasonUnknown && view.HasRemoteTarget(w.call.target):
		// Only other data centres have the target, and none of them can accept the request now.
	case reason == routing.ReasonUnknown, reason == routing.ReasonVersion, reason == routing.ReasonRole:
		kind := "model"
		if w.call.target.Kind == fleet.KindService {
			kind = "service"
		}
		return problem.New(problem.UnknownModel, "no backend server has the %s %q (%s): check the name, or announce a server for it",
			kind, w.call.target.Name, reason).WithRan(false)
	}
	if now.Sub(w.enqueuedAt) < maxPlacementWait {
		return nil
	}
	return problem.New(problem.NotRun, "no backend server for %q takes work (%s): retry later", w.call.target.Name, reason).
		WithRetryAfter(defaultRetryAfter).WithRan(false)
}

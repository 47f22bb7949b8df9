// Package dispatch chooses the backend server of a request where no agent stands before the servers. It keeps this entry
// instance's part of the bounds that all entry instances share: connections and slots of a server, the rate of a cold
// server, and the retries of a service.
package dispatch

import (
	"slices"
	"time"

	"github.com/banyanfront/banyanfront/decide/registry"
	"github.com/banyanfront/banyanfront/decide/routes"
)

// Config sets the parameters of a Dispatcher.
type Config struct {
	DataCentre string // of this entry instance; its servers are preferred among equals
	// AnnounceEvery is the pause between two announcements of a server.
	AnnounceEvery time.Duration
	// RetryRatio, RetrySlack and RetryWindow are the retry budget of a service over all entry instances.
	RetryRatio  float64
	RetrySlack  float64
	RetryWindow time.Duration
}

const (
	// avoidFirst is how long a server is avoided after its first failure in a row; it doubles up to avoidMost. A restart of
	// a process takes about a second.
	avoidFirst = 250 * time.Millisecond
	avoidMost  = 2 * time.Second
	// errorsInRow is how many errors in a row a server answers before it is avoided like one that failed: a single one may be
	// due to the request.
	errorsInRow = 2
	// errorMemory is how long an error makes a server less wanted.
	errorMemory = 2 * time.Second
	// avoidedForErrors is the part of a service's servers that may be avoided for errors at once: errors of more servers than
	// that are due to the requests, or to what all servers depend on.
	avoidedForErrors = 0.5
	// silentAfter is the number of missed announcements after which a server is used only if no other one is left.
	silentAfter = 3
	// loadFreshFor is how long a load that a server told with an answer counts in full.
	loadFreshFor = time.Second
	// queueShare is the share of a server's slots that may wait at the server, so that a freed slot is taken at once.
	queueShare = 0.5
	// coldShare is the part of a cold server's rate that is used: what instances that do not see each other send comes
	// on top, within the tolerance that servers have.
	coldShare = 0.9
	// unknownSlots stands for the slots of a server that tells none.
	unknownSlots = 8
	// retrySlackShare is the part of the shared slack that is divided among the known entry instances; the rest covers
	// instances that have just started.
	retrySlackShare = 0.7
	// shortestReturn and longestReturn bound Retry-After. Callers wait at most a third of their time.
	shortestReturn = 100 * time.Millisecond
	longestReturn  = 3 * time.Second
)

// Reason says why no server was chosen.
type Reason string

// Reasons.
const (
	NoServers   Reason = "no_servers"   // none is known for the service
	Evacuated   Reason = "evacuated"    // all stand in data centres that are taken out
	Unreachable Reason = "unreachable"  // the last tries at all of them failed
	Full        Reason = "full"         // all have as much work as they bear
	Cold        Reason = "cold"         // the servers left have just started
	GroupClosed Reason = "group_closed" // the lock-step group has lost a rank
	Tried       Reason = "tried"        // all that are left were tried for this request
	NoBudget    Reason = "no_budget"    // the retry budget of the service is used up
)

// Refusal says why no server was chosen and when to come back.
type Refusal struct {
	Reason     Reason
	RetryAfter time.Duration
}

// Error implements error.
func (r *Refusal) Error() string { return "no backend server was chosen: " + string(r.Reason) }

// Need describes a request that needs a server.
type Need struct {
	Service string
	Tried   []string // servers that this request was sent to
	Repeat  bool     // the request has reached a server before, so it counts as a retry
	// Objective is the time to the answer, or to the first event of a stream; LongestPause the longest pause between two
	// events of one. 0 means that there is none.
	Objective    time.Duration
	LongestPause time.Duration
	Late         bool // the objective is missed in any case
}

// Choice is the server for one attempt. It holds a place there until End.
type Choice struct {
	Server registry.Announcement
	Heard  time.Time // of its newest announcement
	Load   float64   // estimated requests at the server before this one
	state  *server
}

// server is what this entry instance knows of one backend server.
type server struct {
	announced registry.Announcement
	heard     time.Time
	inFlight  int // ours

	others     float64 // requests of other callers, from the last load that was told
	loadSlots  int
	loadAt     time.Time
	failures   int // in a row
	avoidUntil time.Time
	errors     int // answers in a row that told of an error of the server's own
	erredAt    time.Time
	coldUntil  time.Time
	cold       bucket
	activeAt   time.Time // when something came from it last, for any request
	pace       *pace     // of its group, or its own
}

// group is a lock-step group: the unit of health of its ranks.
type group struct {
	closedSince time.Time
	closedUntil time.Time
}

// Dispatcher holds what the choice depends on. It is not safe for concurrent use.
type Dispatcher struct {
	config    Config
	table     *routes.Table
	servers   map[string]*server
	byService map[string][]*server
	evacuated map[string]bool
	groups    map[string]*group
	retries   map[string]*budget
	paces     map[string]*pace // by group
	instances int              // entry instances that share the bounds, this one included
	next      int              // breaks ties in turn
}

// New returns a dispatcher that knows no server.
func New(config Config) *Dispatcher {
	return &Dispatcher{config: config, servers: map[string]*server{}, byService: map[string][]*server{},
		evacuated: map[string]bool{}, groups: map[string]*group{}, retries: map[string]*budget{}, paces: map[string]*pace{}, instances: 1}
}

// SetTable puts a routing configuration in force.
func (d *Dispatcher) SetTable(t *routes.Table) { d.table = t }

// SetInstances tells how many entry instances share the bounds.
func (d *Dispatcher) SetInstances(n int) { d.instances = max(1, n) }

// SetEvacuated replaces the set of data centres whose servers get nothing new.
func (d *Dispatcher) SetEvacuated(dataCentres []string) {
	clear(d.evacuated)
	for _, dc := range dataCentres {
		d.evacuated[dc] = true
	}
}

// SetServers replaces the servers. A server that was started again loses what was learned about its earlier life.
func (d *Dispatcher) SetServers(now time.Time, known []*registry.Record) {
	servers := make(map[string]*server, len(known))
	clear(d.byService)
	for _, p := range d.paces {
		p.ranks = nil
	}
	for _, k := range known {
		s := d.servers[k.Server]
		if s == nil || s.announced.StartedAtMillis != k.StartedAtMillis || s.announced.Address != k.Address {
			s = &server{}
		}
		if s.heard != k.ReceivedAt {
			s.coldUntil = k.ReceivedAt.Add(k.ColdRemaining)
			if k.ColdRemaining <= 0 {
				s.coldUntil = time.Time{}
			}
			d.hearGroup(k)
		}
		s.announced, s.heard = k.Announcement, k.ReceivedAt
		s.pace = d.paceFor(s)
		if s.announced.Group.Name != "" {
			s.pace.ranks = append(s.pace.ranks, s)
		}
		servers[k.Server] = s
		d.byService[k.Service] = append(d.byService[k.Service], s)
	}
	d.servers = servers
}

// hearGroup takes in what a rank tells about its group.
func (d *Dispatcher) hearGroup(k *registry.Record) {
	if k.Group.Name == "" {
		return
	}
	if k.Group.Broken {
		d.closeGroup(k.ReceivedAt, k.Service, k.Group.Name, k.ReceivedAt.Add(d.config.AnnounceEvery))
	}
}

// closeGroup notes that a group has lost a rank and takes nothing before until.
func (d *Dispatcher) closeGroup(now time.Time, service, name string, until time.Time) {
	key := service + "\x00" + name
	g := d.groups[key]
	if g == nil {
		g = &group{}
		d.groups[key] = g
	}
	if now.Sub(g.closedUntil) > longestReturn {
		g.closedSince = now
	}
	if until.After(g.closedUntil) {
		g.closedUntil = until
	}
}

// groupOf returns the group of a server, nil if it was never closed.
func (d *Dispatcher) groupOf(s *server) *group {
	return d.groups[s.announced.Service+"\x00"+s.announced.Group.Name]
}

// lockStep reports whether the servers of a service are ranks of lock-step groups.
func (d *Dispatcher) lockStep(service string) bool {
	if d.table == nil {
		return false
	}
	s := d.table.Service(service)
	return s != nil && s.Engine != nil && s.Engine.Sets > 0
}

// Arrived counts a caller's request for a service; the retry budget grows with it.
func (d *Dispatcher) Arrived(now time.Time, service string) { d.budget(service).request(now) }

func (d *Dispatcher) budget(service string) *budget {
	b := d.retries[service]
	if b == nil {
		b = newBudget(d.config.RetryWindow)
		d.retries[service] = b
	}
	return b
}

// MayRetry reports whether the budget of a service allows one more retry now, without taking it.
func (d *Dispatcher) MayRetry(now time.Time, service string) bool {
	slack := d.config.RetrySlack * retrySlackShare / float64(d.instances)
	return d.budget(service).allows(now, d.config.RetryRatio, slack)
}

// Pick chooses the server for an attempt and takes a place there, or says why there is none.
func (d *Dispatcher) Pick(now time.Time, need Need) (*Choice, *Refusal) {
	list := d.byService[need.Service]
	if len(list) == 0 {
		return nil, &Refusal{NoServers, d.config.AnnounceEvery}
	}
	if need.Repeat && !d.MayRetry(now, need.Service) {
		return nil, &Refusal{NoBudget, d.returnAfter(need.Service)}
	}
	var best *server
	var bestCost float64
	refusal := &Refusal{Reason: Evacuated, RetryAfter: longestReturn}
	d.next++
	for i := range list {
		s := list[(i+d.next)%len(list)]
		reason, after := d.excludes(now, s, &need)
		if reason != "" {
			if rank(reason) > rank(refusal.Reason) || reason == refusal.Reason && after < refusal.RetryAfter {
				refusal = &Refusal{reason, after}
			}
			continue
		}
		if cost := d.cost(now, s); best == nil || cost < bestCost {
			best, bestCost = s, cost
		}
	}
	if best == nil {
		refusal.RetryAfter = min(max(refusal.RetryAfter, shortestReturn), longestReturn)
		return nil, refusal
	}
	if need.Repeat {
		d.budget(need.Service).retry(now)
	}
	if d.isCold(now, best) {
		best.cold.take(now, d.coldRate(best))
	}
	choice := &Choice{Server: best.announced, Heard: best.heard, Load: d.load(now, best), state: best}
	best.inFlight++
	return choice, nil
}

// rank orders reasons: the one closest to a usable server is reported.
func rank(r Reason) int {
	switch r {
	case Evacuated:
		return 0
	case Tried:
		return 1
	case Unreachable:
		return 2
	case GroupClosed:
		return 3
	case Cold:
		return 4
	default:
		return 5
	}
}

// excludes says why a server must not be chosen now, and when that may have changed.
func (d *Dispatcher) excludes(now time.Time, s *server, need *Need) (Reason, time.Duration) {
	if s.announced.State != registry.Ready || d.evacuated[s.announced.DataCentre] {
		return Evacuated, longestReturn
	}
	if slices.Contains(need.Tried, s.announced.Server) {
		return Tried, shortestReturn
	}
	if now.Before(s.avoidUntil) {
		return Unreachable, s.avoidUntil.Sub(now)
	}
	if g := d.groupOf(s); g != nil && now.Before(g.closedUntil) {
		// Nobody tells when a lost rank comes back. The longer it has been gone, the longer it will be.
		return GroupClosed, max(g.closedUntil.Sub(now), now.Sub(g.closedSince))
	}
	if d.isCold(now, s) {
		if wait := s.cold.wait(now, d.coldRate(s)); wait > 0 {
			return Cold, wait
		}
	}
	if d.load(now, s) >= d.limit(now, s, need) {
		return Full, d.returnAfter(need.Service)
	}
	return "", 0
}

// returnAfter estimates when a place becomes free: a full service frees a slot each time that a usual request ends.
func (d *Dispatcher) returnAfter(service string) time.Duration {
	if d.table == nil {
		return shortestReturn
	}
	s := d.table.Service(service)
	if s == nil || s.Engine == nil || s.Engine.Slots == 0 {
		return shortestReturn
	}
	e := s.Engine
	step := e.StepTime + time.Duration(e.Slots)*e.StepTimePerRequest
	return time.Duration(e.UsualAnswer) * step / 4
}

func slots(s *server) int {
	switch {
	case s.loadSlots > 0:
		return s.loadSlots
	case s.announced.Slots > 0:
		return s.announced.Slots
	}
	return unknownSlots
}

// load estimates the requests at a server: ours, and those of others as last told, fading with age.
func (d *Dispatcher) load(now time.Time, s *server) float64 {
	others := s.others
	if age := now.Sub(s.loadAt); age > loadFreshFor {
		others *= float64(loadFreshFor) / float64(age)
	}
	return float64(s.inFlight) + others
}

// cost orders servers: lower is better.
func (d *Dispatcher) cost(now time.Time, s *server) float64 {
	cost := d.load(now, s) / float64(slots(s))
	if s.announced.DataCentre != d.config.DataCentre {
		cost += 0.25 / float64(slots(s)) // less than one request: local only among equals
	}
	if d.isCold(now, s) {
		cost++
	}
	if now.Sub(s.heard) > silentAfter*d.config.AnnounceEvery {
		cost += 10
	}
	if age := now.Sub(s.erredAt); s.errors > 0 && age < errorMemory {
		cost += 1 - float64(age)/float64(errorMemory)
	}
	return cost + float64(s.failures)
}

func (d *Dispatcher) isCold(now time.Time, s *server) bool {
	return now.Before(s.coldUntil) && d.coldRate(s) > 0
}

// coldRate is this instance's part of the rate that a cold server bears.
func (d *Dispatcher) coldRate(s *server) float64 {
	if d.table == nil {
		return 0
	}
	service := d.table.Service(s.announced.Service)
	if service == nil {
		return 0
	}
	return service.ColdRate * coldShare / float64(d.instances)
}

// End gives the place of an attempt back.
func (c *Choice) End() { c.state.inFlight-- }

// Succeeded notes that the server answered.
func (d *Dispatcher) Succeeded(c *Choice) {
	c.state.failures, c.state.errors = 0, 0
	c.state.avoidUntil = time.Time{}
	if g := d.groupOf(c.state); g != nil {
		*g = group{}
	}
}

// Failed notes that the server could not be reached or broke off.
func (d *Dispatcher) Failed(now time.Time, c *Choice) {
	s := c.state
	s.failures++
	s.avoidUntil = now.Add(avoidance(s.failures))
}

// avoidance is how long a server is avoided after a number of failures in a row.
func avoidance(failures int) time.Duration { return min(avoidFirst<<min(failures-1, 8), avoidMost) }

// Erred notes that the server answered with an error of its own. A server that does so at once seems idle and would draw
// the requests of all the others. It reports for how long the server is avoided.
func (d *Dispatcher) Erred(now time.Time, c *Choice) time.Duration {
	s := c.state
	s.errors++
	s.erredAt = now
	if s.errors < errorsInRow {
		return 0
	}
	list, avoided := d.byService[c.Server.Service], 1
	for _, other := range list {
		if other != s && other.errors >= errorsInRow && now.Before(other.avoidUntil) {
			avoided++
		}
	}
	if float64(avoided) > avoidedForErrors*float64(len(list)) {
		return 0
	}
	pause := avoidance(s.errors - errorsInRow + 1)
	s.avoidUntil = now.Add(pause)
	return pause
}

// Active notes that something has come from the server.
func (d *Dispatcher) Active(now time.Time, c *Choice) { c.state.activeAt = now }

// Hung reports whether a server has hung from which nothing has come for some time: others that should be as fast, the ranks
// of its group or else the servers of its service, go on meanwhile. It is false where a request could not be sent elsewhere.
func (d *Dispatcher) Hung(now time.Time, c *Choice, silence time.Duration) bool {
	if now.Sub(c.state.activeAt) < silence || !d.MayRetry(now, c.Server.Service) {
		return false
	}
	for _, other := range d.byService[c.Server.Service] {
		if other != c.state && other.announced.Group.Name == c.Server.Group.Name && now.Sub(other.activeAt) < silence/2 {
			return true
		}
	}
	return false
}

// GroupFailed notes that the server's lock-step group is stalled by a lost rank. For a server that is in no group it is
// Failed.
func (d *Dispatcher) GroupFailed(now time.Time, c *Choice) {
	if !d.lockStep(c.Server.Service) {
		d.Failed(now, c)
		return
	}
	form := d.table.Service(c.Server.Service).Engine.FormTime
	d.closeGroup(now, c.Server.Service, c.Server.Group.Name, now.Add(form/2))
}

// Misdirected notes that another server answers at the address: it is not used until it announces itself again.
func (d *Dispatcher) Misdirected(now time.Time, c *Choice) {
	c.state.failures++
	c.state.avoidUntil = now.Add(d.config.AnnounceEvery)
}

// LoadTold takes in the load that a server told with an answer, which still counted this attempt.
func (d *Dispatcher) LoadTold(now time.Time, c *Choice, running, waiting, slots int) {
	s := c.state
	s.others = max(0, float64(running+waiting-s.inFlight))
	s.loadSlots = slots
	s.loadAt = now
}

// ColdTold takes in that a server says that it is cold for a while.
func (d *Dispatcher) ColdTold(now time.Time, c *Choice, remaining time.Duration) {
	if remaining > 0 {
		c.state.coldUntil = now.Add(remaining)
	}
}

// Instances returns how many entry instances share the bounds.
func (d *Dispatcher) Instances() int { return d.instances }

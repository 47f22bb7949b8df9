// Package dispatch chooses the backend server of a request where the servers have no agent in front of them. It enforces
// this entry instance's part of the bounds that all entry instances share: connections and slots of a server, the request
// rate of a cold server, and the retries of a service.
package dispatch

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/banyanfront/banyanfront/decide/admission"
	"github.com/banyanfront/banyanfront/decide/registry"
	"github.com/banyanfront/banyanfront/decide/routes"
)

// Config sets the parameters of a Dispatcher.
type Config struct {
	DataCentre string // of this entry instance; its servers are preferred among equals
	// Seed of the random choices. Instances with equal seeds and knowledge would choose the same server at the same time.
	Seed uint64
	// AnnounceInterval is the time between two announcements of a server.
	AnnounceInterval time.Duration
	// DeregistrationDelay is the time from an instance's first report that it is not ready until it gets no more callers.
	DeregistrationDelay time.Duration
	// DrainTime is how long a server that has said that it leaves still takes requests.
	DrainTime time.Duration
	// RetryRatio, RetrySlack and RetryWindow are the retry budget of a service over all entry instances: retries in a sliding
	// window are at most RetryRatio x requests + RetrySlack.
	RetryRatio  float64
	RetrySlack  float64
	RetryWindow time.Duration
	// CompetingCallers keeps room free for urgent requests, see package admission.
	CompetingCallers bool
}

const (
	// minAvoidance is how long a server is avoided after a first failure. It doubles with each consecutive failure, up to
	// maxAvoidance. A process restart takes about a second.
	minAvoidance = 250 * time.Millisecond
	maxAvoidance = 2 * time.Second
	// avoidAfterErrors is the number of consecutive error responses after which a server is avoided like one that failed. A
	// single one may be due to the request.
	avoidAfterErrors = 2
	// errorPenaltyDuration is how long an error response adds to the cost of a server.
	errorPenaltyDuration = 2 * time.Second
	// maxErrorAvoidedRatio is the part of a service's servers that may be avoided for errors at once. If more servers return
	// errors, the cause is the requests or a shared dependency.
	maxErrorAvoidedRatio = 0.5
	// maxMissedAnnouncements is the number of missed announcements after which a server is used only if no other one is left.
	maxMissedAnnouncements = 3
	// loadDecayAfter is how long a load that a server reported in a response counts in full.
	loadDecayAfter = time.Second
	// serverQueueRatio is the number of requests that may wait at a server, as a part of its slots, so that a freed slot is
	// taken at once.
	serverQueueRatio = 0.5
	// competingQueueRatio is serverQueueRatio where callers compete: as many slots become free while the loads are on their way.
	competingQueueRatio = 0.1
	// defaultSlots is assumed for a server that reports no slots.
	defaultSlots = 8
	// retrySlackRatio is the part of RetrySlack that is divided among the known entry instances; the rest covers instances
	// that have just started.
	retrySlackRatio = 0.7
	// minRetryAfter and maxRetryAfter bound Retry-After. Callers wait at most a third of their deadline.
	minRetryAfter = 100 * time.Millisecond
	maxRetryAfter = 3 * time.Second
)

// Reason says why no server was chosen.
type Reason string

// Reasons.
const (
	NoServers   Reason = "no_servers"   // no server is known for the service
	Evacuated   Reason = "evacuated"    // all servers drain or are in evacuated data centres
	Unreachable Reason = "unreachable"  // the last attempts at all servers failed
	Full        Reason = "full"         // all servers are at their concurrency limit
	Cold        Reason = "cold"         // the remaining servers have just started
	Limited     Reason = "limited"      // the remaining servers have named a limit of their requests, which is used up
	Quiet       Reason = "quiet"        // the remaining servers have asked for no requests for a while
	GroupClosed Reason = "group_closed" // the lock-step group has lost a rank
	Tried       Reason = "tried"        // the remaining servers were already tried for this request
	NoBudget    Reason = "no_budget"    // the retry budget of the service is exhausted
	Suspected   Reason = "suspected"    // servers have ended with requests like it, which are sent one at a time
	Quarantined Reason = "quarantined"  // a part of the prompt crashes engines, see package quarantine
)

// Refusal says why no server was chosen and when the caller should retry.
type Refusal struct {
	Reason     Reason
	RetryAfter time.Duration
}

// Error implements the error interface.
func (r *Refusal) Error() string { return "no backend server was chosen: " + string(r.Reason) }

// Request describes a request that needs a server.
type Request struct {
	Service  string
	Priority int      // 0 is the most urgent
	Tried    []string // servers that this request was already sent to
	Retry    bool     // an earlier attempt reached a server, so this one counts against the retry budget
	// Objective is the target time to the response, or to the first event of a stream; MaxEventGap the target for the longest
	// time between two events of a stream. 0 means no target.
	Objective       time.Duration
	MaxEventGap     time.Duration
	ObjectiveMissed bool      // the objective will be missed on any server
	ArrivedAt       time.Time // when the caller's request arrived here; zero means now
	Again           bool      // a choice for the same attempt has found no server

	headroom float64 // requests that each server keeps free for more urgent ones
}

// Choice is the server for one attempt. It counts as in flight there until Release.
type Choice struct {
	Server      registry.Announcement
	AnnouncedAt time.Time // when the newest announcement was received
	PickedAt    time.Time
	Load        float64 // estimated requests at the server before this one
	state       *server
}

// server is this entry instance's state of one backend server.
type server struct {
	announcement registry.Announcement
	announcedAt  time.Time
	inFlight     int // requests of this entry instance

	otherRequests       float64 // requests of other clients, from the last reported load
	reportedSlots       int
	loadReportedAt      time.Time
	loadSharedAt        time.Time // when the group's loads were last received, which all entry instances receive
	consecutiveFailures int
	avoidUntil          time.Time
	consecutiveErrors   int // responses with an error of the server's own
	lastErrorAt         time.Time
	coldUntil           time.Time
	limit               namedLimit
	rate                rateLimiter // of the requests while it is cold or names a limit
	permits             int         // granted for requests while it names a limit
	permitsUntil        time.Time
	lastActivityAt      time.Time  // when data was last received from it, for any request
	gaps                *eventGaps // of its group, or its own if it is in none
}

// group is the state of a lock-step group, whose ranks are available only together.
type group struct {
	closedSince time.Time // start of the current outage
	closedUntil time.Time
	closedEpoch uint64 // newest epoch in which the group was reported broken or stalled
	openEpoch   uint64 // newest epoch in which its ranks run
}

// Dispatcher chooses servers and holds the state for it. It is not safe for concurrent use.
type Dispatcher struct {
	config       Config
	table        *routes.Table
	servers      map[string]*server
	byService    map[string][]*server
	evacuated    map[string]bool
	groups       map[string]*group
	retryBudgets map[string]*retryBudget
	arrivals     map[string]*admission.Arrivals // by service
	permitDemand map[string]*permitDemand       // by service
	granting     bool                           // a control instance can be asked for permits
	gapsByGroup  map[string]*eventGaps          // by group, or by server if it is in none
	instances    int                            // entry instances that share the bounds, this one included
	tieOffset    int                            // rotates the first server examined, which wins ties
	paths        map[string]*path               // by data centre; none is kept for those with signs of life only
	cutOffSince  time.Time                      // see UpdateCutOff; zero while the instance is not cut off
	random       *rand.Rand
	wishes       map[string]*wishes // by server
	candidates   candidates         // of the current choice; kept to reuse its memory
}

// New returns a dispatcher without servers.
func New(config Config) *Dispatcher {
	return &Dispatcher{config: config, servers: map[string]*server{}, byService: map[string][]*server{},
		evacuated: map[string]bool{}, groups: map[string]*group{}, retryBudgets: map[string]*retryBudget{}, arrivals: map[string]*admission.Arrivals{},
		permitDemand: map[string]*permitDemand{}, gapsByGroup: map[string]*eventGaps{}, paths: map[string]*path{}, wishes: map[string]*wishes{}, instances: 1, random: rand.New(rand.NewPCG(config.Seed, 0))}
}

// SetTable replaces the routing configuration.
func (d *Dispatcher) SetTable(t *routes.Table) { d.table = t }

// SetInstances sets the number of entry instances that share the bounds.
func (d *Dispatcher) SetInstances(n int) { d.instances = max(1, n) }

// SetEvacuated replaces the set of data centres whose servers get no new requests.
func (d *Dispatcher) SetEvacuated(dataCentres []string) {
	clear(d.evacuated)
	for _, dc := range dataCentres {
		d.evacuated[dc] = true
	}
}

// SetServers replaces the servers. The state of a server is discarded if it has a new incarnation or address.
func (d *Dispatcher) SetServers(now time.Time, known []*registry.Record) {
	servers := make(map[string]*server, len(known))
	clear(d.byService)
	for _, g := range d.gapsByGroup {
		g.ranks = nil
	}
	for _, k := range known {
		s := d.servers[k.Server]
		if s == nil || s.announcement.StartedAtMillis != k.StartedAtMillis || s.announcement.Address != k.Address {
			s = &server{}
		}
		if s.announcedAt != k.ReceivedAt {
			s.coldUntil = k.ReceivedAt.Add(k.ColdRemaining)
			if k.ColdRemaining <= 0 {
				s.coldUntil = time.Time{}
			}
			d.applyGroupReport(k)
		}
		s.announcement, s.announcedAt = k.Announcement, k.ReceivedAt
		s.gaps = d.gapsFor(s)
		if s.announcement.Group.Name != "" {
			s.gaps.ranks = append(s.gaps.ranks, s)
		}
		servers[k.Server] = s
		d.byService[k.Service] = append(d.byService[k.Service], s)
	}
	d.servers = servers
	d.expireWishes(now, servers)
}

// applyGroupReport closes the group of a rank that reports it broken.
func (d *Dispatcher) applyGroupReport(k *registry.Record) {
	if k.Group.Name == "" {
		return
	}
	if k.Group.Broken {
		d.closeGroup(k.ReceivedAt, k.Service, k.Group.Name, k.ReceivedAt.Add(d.config.AnnounceInterval), k.Group.Epoch)
	}
}

// groupState returns the state of a lock-step group.
func (d *Dispatcher) groupState(service, name string) *group {
	key := groupKey(service, name)
	g := d.groups[key]
	if g == nil {
		g = &group{}
		d.groups[key] = g
	}
	return g
}

// RecordGroupOpen records that the ranks of a lock-step group run in an epoch. A group that was closed in an earlier epoch is used again
// at once: what its engines announce themselves is older by an announcement interval.
func (d *Dispatcher) RecordGroupOpen(now time.Time, service, name string, epoch uint64) {
	g := d.groupState(service, name)
	g.openEpoch = max(g.openEpoch, epoch)
	if epoch > g.closedEpoch && now.Before(g.closedUntil) {
		g.closedUntil = now
	}
}

// closeGroup excludes a group that has lost a rank in an epoch until the given time.
func (d *Dispatcher) closeGroup(now time.Time, service, name string, until time.Time, epoch uint64) {
	g := d.groupState(service, name)
	if epoch < g.openEpoch {
		return // it has opened again since
	}
	g.closedEpoch = max(g.closedEpoch, epoch)
	if now.Sub(g.closedUntil) > maxRetryAfter {
		g.closedSince = now
	}
	if until.After(g.closedUntil) {
		g.closedUntil = until
	}
}

// groupOf returns the group of a server, nil if it was never closed.
func (d *Dispatcher) groupOf(s *server) *group {
	return d.groups[groupKey(s.announcement.Service, s.announcement.Group.Name)]
}

// closedGroup returns the group of a server if it is closed now, otherwise nil.
func (d *Dispatcher) closedGroup(now time.Time, s *server) *group {
	if g := d.groupOf(s); g != nil && now.Before(g.closedUntil) {
		return g
	}
	return nil
}

// isLockStep reports whether the servers of a service are ranks of lock-step groups.
func (d *Dispatcher) isLockStep(service string) bool {
	if d.table == nil {
		return false
	}
	s := d.table.Service(service)
	return s != nil && s.Engine != nil && s.Engine.Sets > 0
}

// RecordRequest counts a caller's request for a service towards its retry budget.
func (d *Dispatcher) RecordRequest(now time.Time, service string) {
	d.retryBudgetFor(service).addRequest(now)
}

func (d *Dispatcher) retryBudgetFor(service string) *retryBudget {
	b := d.retryBudgets[service]
	if b == nil {
		b = newRetryBudget(d.config.RetryWindow)
		d.retryBudgets[service] = b
	}
	return b
}

// MayRetry reports whether the retry budget of a service allows one more retry now. It does not count one.
func (d *Dispatcher) MayRetry(now time.Time, service string) bool {
	slack := d.part(d.config.RetrySlack*retrySlackRatio, 0)
	return d.retryBudgetFor(service).allowsRetry(now, d.config.RetryRatio, slack)
}

// Pick chooses the server for an attempt and counts the attempt as in flight there, or returns why there is none.
func (d *Dispatcher) Pick(now time.Time, request Request) (*Choice, *Refusal) {
	servers := d.byService[request.Service]
	if len(servers) == 0 {
		return nil, &Refusal{NoServers, d.config.AnnounceInterval}
	}
	if request.Retry && !d.MayRetry(now, request.Service) {
		return nil, &Refusal{NoBudget, d.retryAfter(request.Service)}
	}
	request.headroom = d.headroom(now, &request)
	d.candidates.reset()
	refusal := &Refusal{Reason: Evacuated, RetryAfter: maxRetryAfter}
	d.tieOffset++
	limited := false
	for i := range servers {
		s := servers[(i+d.tieOffset)%len(servers)]
		limited = limited || s.limit.requestsPerSecond > 0
		reason, after := d.exclusion(now, s, &request)
		if reason != "" {
			if reasonPrecedence(reason) > reasonPrecedence(refusal.Reason) || reason == refusal.Reason && after < refusal.RetryAfter {
				refusal = &Refusal{reason, after}
			}
			continue
		}
		shared := now.Sub(s.loadSharedAt) <= loadDecayAfter
		d.candidates.add(s, d.loadCost(now, s), d.penalty(now, s, &request), s.announcement.DataCentre == d.config.DataCentre, shared)
	}
	if limited && !request.Again {
		d.noteDemand(request.Service)
	}
	best := d.candidates.choose(d.random)
	if best == nil {
		if refusal.Reason == Quiet {
			refusal.RetryAfter = d.spreadQuiet(max(refusal.RetryAfter, minRetryAfter))
		} else {
			refusal.RetryAfter = min(max(refusal.RetryAfter, minRetryAfter), maxRetryAfter)
		}
		return nil, refusal
	}
	if request.Retry {
		d.retryBudgetFor(request.Service).addRetry(now)
	}
	d.useRate(now, best)
	choice := &Choice{Server: best.announcement, AnnouncedAt: best.announcedAt, PickedAt: now, Load: d.load(now, best), state: best}
	best.inFlight++
	return choice, nil
}

// reasonPrecedence orders reasons: of several, the one closest to a usable server is reported, which has the highest value.
func reasonPrecedence(r Reason) int {
	switch r {
	case Evacuated:
		return 0
	case Tried:
		return 1
	case Unreachable:
		return 2
	case Quiet:
		return 3
	case GroupClosed:
		return 4
	case Cold, Limited:
		return 5
	default:
		return 6
	}
}

// exclusion returns why a server must not be chosen now, and after what time that may have changed. The reason is empty
// if the server may be chosen.
func (d *Dispatcher) exclusion(now time.Time, s *server, request *Request) (Reason, time.Duration) {
	if s.announcement.State != registry.Ready || d.evacuated[s.announcement.DataCentre] {
		return Evacuated, maxRetryAfter
	}
	if slices.Contains(request.Tried, s.announcement.Server) {
		return Tried, minRetryAfter
	}
	if reason, wait := d.leavingExclusion(now, s, request); reason != "" {
		return reason, wait
	}
	if wait := d.quietFor(now, s); wait > 0 {
		return Quiet, wait
	}
	if since := d.lostSince(s.announcement.DataCentre); !since.IsZero() {
		return Unreachable, d.unreachableFor(now, since)
	}
	if now.Before(s.avoidUntil) {
		return Unreachable, s.avoidUntil.Sub(now)
	}
	if g := d.closedGroup(now, s); g != nil {
		// When a lost rank will return is not known. The longer the outage has lasted, the longer it is expected to last.
		return GroupClosed, max(g.closedUntil.Sub(now), now.Sub(g.closedSince))
	}
	if reason, wait := d.rateExclusion(now, s); reason != "" {
		return reason, wait
	}
	if d.load(now, s) >= admission.Limit(d.concurrencyLimit(now, s, request), request.headroom) {
		return Full, d.retryAfter(request.Service)
	}
	return "", 0
}

// retryAfter estimates when a slot of a full service becomes free: after a quarter of the time that a response of usual
// length takes with all slots in use.
func (d *Dispatcher) retryAfter(service string) time.Duration {
	if d.table == nil {
		return minRetryAfter
	}
	s := d.table.Service(service)
	if s == nil || s.Engine == nil || s.Engine.Slots == 0 {
		return minRetryAfter
	}
	e := s.Engine
	step := e.StepTime + time.Duration(e.Slots)*e.StepTimePerRequest
	return time.Duration(e.UsualAnswer) * step / 4
}

// slots returns how many requests a server can run at once: as reported in a response, else as announced.
func slots(s *server) int {
	switch {
	case s.reportedSlots > 0:
		return s.reportedSlots
	case s.announcement.Slots > 0:
		return s.announcement.Slots
	}
	return defaultSlots
}

// load estimates the requests at a server: those of this entry instance, and those of others as last reported, with less
// weight the older the report is.
func (d *Dispatcher) load(now time.Time, s *server) float64 {
	others := s.otherRequests
	if age := now.Sub(s.loadReportedAt); age > loadDecayAfter {
		others *= float64(loadDecayAfter) / float64(age)
	}
	return float64(s.inFlight) + others
}

// loadCost orders servers without a penalty: lower is better.
func (d *Dispatcher) loadCost(now time.Time, s *server) float64 {
	cost := d.load(now, s) / float64(slots(s))
	if s.announcement.DataCentre != d.config.DataCentre {
		cost += 0.25 / float64(slots(s)) // less than one request: local only among equals
	}
	return cost
}

// penalty returns what is added to the cost of a server that is likely to serve worse than others with the same load, 0 if
// nothing speaks against it.
func (d *Dispatcher) penalty(now time.Time, s *server, request *Request) float64 {
	cost := 0.0
	if request.MaxEventGap > 0 && s.gaps.recentSeconds(now) > request.MaxEventGap.Seconds() {
		cost += slowGroupCost
	}
	if d.isCold(now, s) {
		cost++
	}
	if d.leaves(s) {
		cost += leavingCost
	}
	if now.Sub(s.announcedAt) > maxMissedAnnouncements*d.config.AnnounceInterval {
		cost += 10
	}
	if age := now.Sub(s.lastErrorAt); s.consecutiveErrors > 0 && age < errorPenaltyDuration {
		cost += 1 - float64(age)/float64(errorPenaltyDuration)
	}
	return cost + float64(s.consecutiveFailures)
}

// Release ends an attempt: it is no longer in flight at its server.
func (c *Choice) Release() { c.state.inFlight-- }

// RecordSuccess records that the server responded: it clears its failures and errors, and reopens its group.
func (d *Dispatcher) RecordSuccess(c *Choice) {
	c.state.consecutiveFailures, c.state.consecutiveErrors = 0, 0
	c.state.avoidUntil = time.Time{}
	if g := d.groupOf(c.state); g != nil {
		*g = group{}
	}
}

// RecordFailure records that the server was unreachable or broke off a response.
func (d *Dispatcher) RecordFailure(now time.Time, c *Choice) {
	s := c.state
	s.consecutiveFailures++
	s.avoidUntil = now.Add(avoidance(s.consecutiveFailures))
}

// avoidance returns how long a server is avoided after a number of consecutive failures.
func avoidance(failures int) time.Duration {
	return min(minAvoidance<<min(failures-1, 8), maxAvoidance)
}

// RecordError records that the server responded with an error of its own, and returns for how long the server is avoided. A
// server that returns errors at once seems idle and would attract the requests of all the others.
func (d *Dispatcher) RecordError(now time.Time, c *Choice) time.Duration {
	s := c.state
	s.consecutiveErrors++
	s.lastErrorAt = now
	if s.consecutiveErrors < avoidAfterErrors {
		return 0
	}
	servers, avoided := d.byService[c.Server.Service], 1
	for _, other := range servers {
		if other != s && other.consecutiveErrors >= avoidAfterErrors && now.Before(other.avoidUntil) {
			avoided++
		}
	}
	if float64(avoided) > maxErrorAvoidedRatio*float64(len(servers)) {
		return 0
	}
	duration := avoidance(s.consecutiveErrors - avoidAfterErrors + 1)
	s.avoidUntil = now.Add(duration)
	return duration
}

// RecordActivity records that data was received from the server.
func (d *Dispatcher) RecordActivity(now time.Time, c *Choice) {
	c.state.lastActivityAt = now
	d.RecordReachable(c.Server.DataCentre)
}

// IsHung reports whether a server that has sent nothing for the time of silence has hung: others that should be as fast,
// the ranks of its group or else the servers of its service without a group, have sent data meanwhile. It is false if the
// retry budget does not allow a retry on another server.
func (d *Dispatcher) IsHung(now time.Time, c *Choice, silence time.Duration) bool {
	if now.Sub(c.state.lastActivityAt) < silence || !d.MayRetry(now, c.Server.Service) {
		return false
	}
	for _, other := range d.byService[c.Server.Service] {
		if other != c.state && other.announcement.Group.Name == c.Server.Group.Name && now.Sub(other.lastActivityAt) < silence/2 {
			return true
		}
	}
	return false
}

// RecordGroupFailure records that the server's lock-step group is stalled by a lost rank. For a service without lock-step
// groups it is RecordFailure.
func (d *Dispatcher) RecordGroupFailure(now time.Time, c *Choice) {
	if !d.isLockStep(c.Server.Service) {
		d.RecordFailure(now, c)
		return
	}
	form := d.table.Service(c.Server.Service).Engine.FormTime
	epoch := max(c.Server.Group.Epoch, d.groupState(c.Server.Service, c.Server.Group.Name).openEpoch)
	d.closeGroup(now, c.Server.Service, c.Server.Group.Name, now.Add(form/2), epoch)
}

// RecordMisdirected records that another server responds at the server's address. The server is avoided for one
// announcement interval, so that it announces itself before it is used again.
func (d *Dispatcher) RecordMisdirected(now time.Time, c *Choice) {
	c.state.consecutiveFailures++
	c.state.avoidUntil = now.Add(d.config.AnnounceInterval)
}

// RecordLoad records the load that a server reported in a response, which still includes this attempt.
func (d *Dispatcher) RecordLoad(now time.Time, c *Choice, running, waiting, slots int) {
	s := c.state
	s.otherRequests = max(0, float64(running+waiting-s.inFlight))
	s.reportedSlots = slots
	s.loadReportedAt = now
}

// Instances returns how many entry instances share the bounds.
func (d *Dispatcher) Instances() int { return d.instances }

// part returns this instance's part of a bound on the sum over all entry instances. newcomers is the number of instances that may use
// the bound before the others know of them.
func (d *Dispatcher) part(bound float64, newcomers int) float64 {
	return bound / float64(d.instances+newcomers)
}

// ConnectionLimit returns this instance's part of the connections that a server accepts, at least one. An instance that has just
// started connects to servers before the others have been notified of it.
func (d *Dispatcher) ConnectionLimit(maxConnections int) int {
	return max(1, int(d.part(float64(maxConnections), 1)))
}

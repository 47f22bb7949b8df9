// Package routes holds the routing configuration: which service answers a request, whether the request may be retried, how
// long it may take and which organisation a key belongs to.
package routes

import (
	"fmt"
	"math"
	"slices"
	"strings"
	"time"
)

// Kind determines whether a request may run more than once.
type Kind uint8

// Kinds of request.
const (
	// Unsafe requests run at most once.
	Unsafe Kind = iota
	// Safe requests may run more than once.
	Safe
	// Stream requests are answered by a stream of numbered events; they may run more than once only if resumable.
	Stream
)

// Configuration is one version of the routing configuration.
type Configuration struct {
	Version       uint64
	Routes        []Route
	Services      []Service
	Organisations []Organisation
	Limits        Limits
}

// Limits restricts the requests and connections of callers.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Route maps the requests for one host and path prefix to services.
type Route struct {
	Name       string
	Host       string
	PathPrefix string
	Kind       Kind
	Timeout    time.Duration // time within which the caller gets an answer
	Objective  time.Duration // latency objective for the answer, or for the first event of a stream
	// LongestPause is the objective for the event gap: a stream is on time if no two events are further apart.
	LongestPause time.Duration
	// FirstEventPatience is how long callers of a stream wait for an event, the first one included; 0 if they wait until their deadline.
	FirstEventPatience time.Duration
	Priority           int // 0 is the most urgent
	Targets            []Target
	MaxAttempts        int // attempts for one request, including the first
	Public             bool
	Resumable          bool
}

// Repeatable reports whether a request may run more than once.
func (r *Route) Repeatable() bool { return r.Kind == Safe || r.Kind == Stream && r.Resumable }

// Target is a service with its weight in a route's traffic split.
type Target struct {
	Service string
	Weight  float64
}

// Service is a set of interchangeable backend servers.
type Service struct {
	Name           string
	HealthPath     string
	MaxConnections int           // that one server accepts in total
	ColdStart      time.Duration // a server is cold this long after its start
	ColdRate       float64       // throughput of a cold server, requests a second
	Engine         *Engine       // nil for plain services
}

// Engine describes the model engines of a service.
type Engine struct {
	Slots int // requests that an engine runs concurrently
	// FormTime is the time that a lock-step group takes to open once all of its ranks have returned.
	FormTime time.Duration
	// StepTime, StepTimePerRequest and ReadRate give the speed of a healthy engine: the time of a token step without
	// requests, the additional time per running request, and the prefill throughput.
	StepTime           time.Duration
	StepTimePerRequest time.Duration
	ReadRate           float64       // prompt tokens a second
	Stride             int           // token steps in one step of the group
	UsualPrompt        float64       // mean prompt length, tokens
	UsualAnswer        float64       // mean answer length, tokens
	ReportLag          time.Duration // age of an engine's report when it is read
	// Sets, Experts, MaxPlacements and Spare are the dimensions of expert maps; Sets is 0 if engines hold no experts.
	Sets          int
	Experts       int // per set
	MaxPlacements int // maximum number of experts of one set on a rank
	Spare         int // maximum number of experts of one set that a map change adds to a rank
	// ExpertCopyTime is the time that a rank takes to copy one expert; 0 if unknown.
	ExpertCopyTime time.Duration
}

// Organisation is a customer with its keys.
type Organisation struct {
	Name     string
	Keys     []string
	Priority *int // overrides the route's priority; nil if unset
}

// ConfigurationError reports an invalid configuration: the invalid part and how to correct it.
type ConfigurationError struct {
	Subject string
	Remedy  string
	Offset  int64 // of the invalid part in the text, in bytes; 0 if unknown
}

// Error implements error.
func (e *ConfigurationError) Error() string { return e.Subject + ": " + e.Remedy }

// Validate returns nil if the configuration is valid, otherwise a *ConfigurationError with the first problem found.
func (c *Configuration) Validate() error {
	services := make(map[string]bool, len(c.Services))
	for _, s := range c.Services {
		services[s.Name] = true
	}
	routeNames := make(map[[2]string]string, len(c.Routes))
	for i := range c.Routes {
		r := &c.Routes[i]
		subject := fmt.Sprintf("route %q", r.Name)
		if r.Timeout <= 0 {
			return &ConfigurationError{Subject: subject, Remedy: "give a timeout above 0"}
		}
		match := [2]string{canonicalHost(r.Host), r.PathPrefix}
		if other, taken := routeNames[match]; taken {
			return &ConfigurationError{Subject: subject, Remedy: fmt.Sprintf("route %q has the same host and path prefix; change one of them", other)}
		}
		routeNames[match] = r.Name
		total := 0.0
		for _, t := range r.Targets {
			if !services[t.Service] {
				return &ConfigurationError{Subject: subject, Remedy: fmt.Sprintf("service %q is not listed; add it or name another", t.Service)}
			}
			if t.Weight < 0 || math.IsNaN(t.Weight) || math.IsInf(t.Weight, 0) {
				return &ConfigurationError{Subject: subject, Remedy: "give weights of 0 or more"}
			}
			total += t.Weight
		}
		if total <= 0 {
			return &ConfigurationError{Subject: subject, Remedy: "name a service, or give a split with a weight above 0"}
		}
	}
	return c.validateKeys()
}

func (c *Configuration) validateKeys() error {
	owners := make(map[string]string)
	for _, o := range c.Organisations {
		for _, key := range o.Keys {
			if owner, taken := owners[key]; taken && owner != o.Name {
				return &ConfigurationError{Subject: fmt.Sprintf("organisation %q", o.Name),
					Remedy: fmt.Sprintf("it shares a key with organisation %q; give each its own", owner)}
			}
			owners[key] = o.Name
		}
	}
	return nil
}

// Table is an immutable index of a configuration: it finds the route and the organisation of a request.
type Table struct {
	*Configuration
	hosts         map[string][]*Route // longest prefix first
	services      map[string]*Service
	organisations map[string]*Organisation // by key
}

// Compile returns the Table of a valid configuration.
func Compile(c *Configuration) *Table {
	t := &Table{Configuration: c, hosts: map[string][]*Route{}, services: map[string]*Service{}, organisations: map[string]*Organisation{}}
	for i := range c.Routes {
		host := canonicalHost(c.Routes[i].Host)
		t.hosts[host] = append(t.hosts[host], &c.Routes[i])
	}
	for _, routes := range t.hosts {
		slices.SortStableFunc(routes, func(a, b *Route) int { return len(b.PathPrefix) - len(a.PathPrefix) })
	}
	for i := range c.Services {
		t.services[c.Services[i].Name] = &c.Services[i]
	}
	for i := range c.Organisations {
		for _, key := range c.Organisations[i].Keys {
			t.organisations[key] = &c.Organisations[i]
		}
	}
	return t
}

// Route returns the route with the longest matching path prefix, nil if there is none.
func (t *Table) Route(host, path string) *Route {
	for _, r := range t.hosts[canonicalHost(host)] {
		if strings.HasPrefix(path, r.PathPrefix) {
			return r
		}
	}
	return nil
}

// Service returns a service by name, nil if the configuration has none of that name.
func (t *Table) Service(name string) *Service { return t.services[name] }

// Organisation returns the owner of a key, nil if the key is unknown.
func (t *Table) Organisation(key string) *Organisation { return t.organisations[key] }

// HasOrganisations reports whether the configuration has organisations, so that requests for non-public routes need a key.
func (t *Table) HasOrganisations() bool { return len(t.Organisations) > 0 }

// ChooseService selects the service of a target in proportion to the weights. at is a number in [0, 1), usually random.
func (r *Route) ChooseService(at float64) string {
	total := 0.0
	for _, t := range r.Targets {
		total += t.Weight
	}
	point := at * total
	last := ""
	for _, t := range r.Targets {
		if t.Weight <= 0 {
			continue
		}
		last = t.Service
		if point -= t.Weight; point < 0 {
			break
		}
	}
	return last
}

// canonicalHost removes the port of a host and converts it to lower case.
func canonicalHost(host string) string {
	if colon := strings.LastIndexByte(host, ':'); colon >= 0 && colon > strings.LastIndexByte(host, ']') {
		host = host[:colon]
	}
	return strings.ToLower(host)
}

// Package routes holds the routing configuration: which service answers a request, what may be repeated, how long a
// request may take and which organisation a key belongs to.
package routes

import (
	"fmt"
	"math"
	"slices"
	"strings"
	"time"
)

// Kind says what may be done with a request more than once.
type Kind uint8

// Kinds of request.
const (
	// Unsafe requests run at most once.
	Unsafe Kind = iota
	// Safe requests may run more than once.
	Safe
	// Stream requests are answered by a series of numbered events; only a resumable one may run again.
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

// Limits bound what a caller may send.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Route sends the requests of one host below one path prefix to services.
type Route struct {
	Name       string
	Host       string
	PathPrefix string
	Kind       Kind
	Timeout    time.Duration // the caller has its answer by then
	Objective  time.Duration // time to the answer, or to the first event
	// LongestPause is the pause between two events up to which a stream counts as on time.
	LongestPause time.Duration
	Priority     int // 0 is the most urgent
	Targets      []Target
	MaxAttempts  int // servers that one request may be sent to
	Public       bool
	Resumable    bool
}

// Repeatable reports whether a request may run more than once.
func (r *Route) Repeatable() bool { return r.Kind == Safe || r.Kind == Stream && r.Resumable }

// Target is a service with its share of a route's requests.
type Target struct {
	Service string
	Weight  float64
}

// Service is a set of like backend servers.
type Service struct {
	Name           string
	HealthPath     string
	MaxConnections int           // that one server accepts from all callers together
	ColdStart      time.Duration // a server is cold this long after its start
	ColdRate       float64       // requests a second that a cold server bears
	Engine         *Engine       // nil for plain services
}

// Engine describes the model engines of a service.
type Engine struct {
	Slots int // requests that an engine works on at once
	// FormTime is the time in which a lock-step group opens once all of its ranks are back.
	FormTime time.Duration
	// StepTime, StepTimePerRequest and ReadRate describe the speed of a healthy engine.
	StepTime           time.Duration
	StepTimePerRequest time.Duration
	ReadRate           float64 // prompt tokens a second
	Stride             int     // token steps in one pass
	UsualPrompt        float64 // tokens, mean
	UsualAnswer        float64 // tokens, mean
	ReportLag          time.Duration
	// Sets, Experts, MaxPlacements and Spare describe the expert maps; Sets is 0 where engines hold no experts.
	Sets          int
	Experts       int // in one set
	MaxPlacements int // experts of one set that a rank holds at most
	Spare         int // experts of one set that a change may add to a rank at once
	// ExpertCopyTime is the time in which a rank copies one expert; 0 if it is not known.
	ExpertCopyTime time.Duration
}

// Organisation is a customer with its keys.
type Organisation struct {
	Name     string
	Keys     []string
	Priority *int // takes precedence over the route's; nil if the organisation has none
}

// Invalid is a configuration that cannot be put in force.
type Invalid struct {
	Subject string
	Remedy  string
}

// Error implements error.
func (e *Invalid) Error() string { return e.Subject + ": " + e.Remedy }

// Validate returns the first reason why the configuration must not be put in force.
func (c *Configuration) Validate() error {
	services := make(map[string]bool, len(c.Services))
	for _, s := range c.Services {
		services[s.Name] = true
	}
	places := make(map[[2]string]string, len(c.Routes))
	for i := range c.Routes {
		r := &c.Routes[i]
		subject := fmt.Sprintf("route %q", r.Name)
		if r.Timeout <= 0 {
			return &Invalid{subject, "give a timeout above 0"}
		}
		place := [2]string{canonicalHost(r.Host), r.PathPrefix}
		if other, taken := places[place]; taken {
			return &Invalid{subject, fmt.Sprintf("route %q has the same host and path prefix; change one of them", other)}
		}
		places[place] = r.Name
		total := 0.0
		for _, t := range r.Targets {
			if !services[t.Service] {
				return &Invalid{subject, fmt.Sprintf("service %q is not listed; add it or name another", t.Service)}
			}
			if t.Weight < 0 || math.IsNaN(t.Weight) || math.IsInf(t.Weight, 0) {
				return &Invalid{subject, "give weights of 0 or more"}
			}
			total += t.Weight
		}
		if total <= 0 {
			return &Invalid{subject, "name a service, or give a split with a weight above 0"}
		}
	}
	return c.validateKeys()
}

func (c *Configuration) validateKeys() error {
	owners := make(map[string]string)
	for _, o := range c.Organisations {
		for _, key := range o.Keys {
			if owner, taken := owners[key]; taken && owner != o.Name {
				return &Invalid{fmt.Sprintf("organisation %q", o.Name),
					fmt.Sprintf("it shares a key with organisation %q; give each its own", owner)}
			}
			owners[key] = o.Name
		}
	}
	return nil
}

// Table answers which route and organisation a request belongs to. It is immutable.
type Table struct {
	*Configuration
	hosts         map[string][]*Route // longest prefix first
	services      map[string]*Service
	organisations map[string]*Organisation // by key
}

// Compile builds the table of a valid configuration.
func Compile(c *Configuration) *Table {
	t := &Table{Configuration: c, hosts: map[string][]*Route{}, services: map[string]*Service{}, organisations: map[string]*Organisation{}}
	for i := range c.Routes {
		host := canonicalHost(c.Routes[i].Host)
		t.hosts[host] = append(t.hosts[host], &c.Routes[i])
	}
	for _, list := range t.hosts {
		slices.SortStableFunc(list, func(a, b *Route) int { return len(b.PathPrefix) - len(a.PathPrefix) })
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

// Route returns the route of a request, nil if there is none.
func (t *Table) Route(host, path string) *Route {
	for _, r := range t.hosts[canonicalHost(host)] {
		if strings.HasPrefix(path, r.PathPrefix) {
			return r
		}
	}
	return nil
}

// Service returns a service by its name, nil if the configuration does not have it.
func (t *Table) Service(name string) *Service { return t.services[name] }

// Organisation returns the owner of a key, nil if nobody holds it.
func (t *Table) Organisation(key string) *Organisation { return t.organisations[key] }

// HasOrganisations reports whether requests need a key at all.
func (t *Table) HasOrganisations() bool { return len(t.Organisations) > 0 }

// Service chooses a target by its weight; at is a number from 0 up to, and not including, 1.
func (r *Route) Service(at float64) string {
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

// canonicalHost drops the port and the case of a host.
func canonicalHost(host string) string {
	if colon := strings.LastIndexByte(host, ':'); colon >= 0 && colon > strings.LastIndexByte(host, ']') {
		host = host[:colon]
	}
	return strings.ToLower(host)
}

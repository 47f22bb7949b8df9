// Package configcheck finds in a valid routing configuration what its operator has most likely not meant: entries that can never match,
// limits that contradict each other, and whom it cuts off compared with the version in force.
package configcheck

import (
	"fmt"
	"slices"
	"strings"

	"github.com/banyanfront/banyanfront/decide/memory"
	"github.com/banyanfront/banyanfront/decide/routes"
)

// Finding is something that an operator should look at before the configuration is sent.
type Finding struct {
	Subject string `json:"subject"` // such as: route "orders"
	Problem string `json:"problem"`
	Remedy  string `json:"remedy"`
}

// Facts are what is known beside the configuration; a zero value is unknown.
type Facts struct {
	EntryMemoryBytes int64 // of the smallest entry instance
	RetryRatio       float64
}

func route(r *routes.Route) string                    { return fmt.Sprintf("route %q", r.Name) }
func service(s *routes.Service) string                { return fmt.Sprintf("service %q", s.Name) }
func organisation(o *routes.Organisation) string      { return fmt.Sprintf("organisation %q", o.Name) }
func finding(subject, problem, remedy string) Finding { return Finding{subject, problem, remedy} }

// Check returns the findings of a valid configuration, in its order.
func Check(c *routes.Configuration, facts Facts) []Finding {
	return slices.Concat(unreachable(c), contradictions(c, facts))
}

// unreachable returns the entries that no request can match.
func unreachable(c *routes.Configuration) (found []Finding) {
	used := map[string]bool{}
	needKeys := false // of some routes
	for i := range c.Routes {
		r := &c.Routes[i]
		needKeys = needKeys || !r.Public
		for _, t := range r.Targets {
			if t.Weight > 0 {
				used[t.Service] = true
			} else {
				found = append(found, finding(route(r), fmt.Sprintf("service %q has weight 0 and gets no request", t.Service), "leave the service out, or give it a weight"))
			}
		}
		if !strings.HasPrefix(r.PathPrefix, "/") {
			found = append(found, finding(route(r), fmt.Sprintf("no path begins with the prefix %q", r.PathPrefix), "begin the prefix with /"))
		}
		if strings.ContainsAny(r.PathPrefix, "?# ") {
			found = append(found, finding(route(r), fmt.Sprintf("the prefix %q has a character that no path contains", r.PathPrefix), "match the path only, without query and fragment"))
		}
		if r.Host == "" || strings.ContainsAny(r.Host, "/ ") {
			found = append(found, finding(route(r), fmt.Sprintf("no request names the host %q", r.Host), "give the host name, without scheme and path"))
		}
	}
	for i := range c.Services {
		if s := &c.Services[i]; !used[s.Name] {
			found = append(found, finding(service(s), "no route leads to it", "add a route, or leave the service out"))
		}
	}
	for i := range c.Organisations {
		o := &c.Organisations[i]
		switch {
		case !slices.ContainsFunc(o.Keys, func(key string) bool { return key != "" }):
			found = append(found, finding(organisation(o), "it has no key, so that none of its requests is known as its own", "give it a key, or leave it out"))
		case slices.Contains(o.Keys, ""):
			found = append(found, finding(organisation(o), "one of its keys is empty: requests without a key count as its own", "remove the empty key"))
		}
	}
	if needKeys && len(c.Organisations) == 0 {
		found = append(found, finding("organisations", "there are none, so that routes that are not public need no key either", "add the organisations, or mark the routes as public"))
	}
	return found
}

// contradictions returns the limits that exclude each other.
func contradictions(c *routes.Configuration, facts Facts) (found []Finding) {
	for i := range c.Routes {
		r := &c.Routes[i]
		add := func(problem, remedy string) { found = append(found, finding(route(r), problem, remedy)) }
		if r.Objective > r.Timeout {
			add(fmt.Sprintf("its objective of %v is longer than its timeout of %v: a late answer is never given", r.Objective, r.Timeout), "raise the timeout, or lower the objective")
		}
		if r.LongestPause > r.Timeout {
			add(fmt.Sprintf("its longest pause of %v is longer than its timeout of %v", r.LongestPause, r.Timeout), "lower the pause")
		}
		if r.Kind != routes.Stream && r.LongestPause > 0 {
			add("it is no stream and has a longest pause, which is not used", "leave the pause out, or make it a stream")
		}
		if r.Kind != routes.Stream && r.Resumable {
			add("it is no stream and is marked as resumable, which is not used", "leave the mark out, or make it a stream")
		}
		if r.MaxAttempts > 2 && r.Repeatable() && facts.RetryRatio > 0 && float64(r.MaxAttempts-1) > 1/facts.RetryRatio {
			add(fmt.Sprintf("its %d attempts are more than the retry budget of %.2f for each request ever allows", r.MaxAttempts, facts.RetryRatio), "lower the attempts")
		}
		for _, t := range r.Targets {
			if s := find(c, t.Service); r.Kind == routes.Stream && s != nil && s.Engine != nil && r.LongestPause > 0 && r.LongestPause < fastestPause(s.Engine) {
				add(fmt.Sprintf("an engine of service %q alone needs %v between two events, the longest pause is %v: all answers are late", s.Name, fastestPause(s.Engine), r.LongestPause), "raise the pause")
			}
		}
	}
	for i := range c.Services {
		s := &c.Services[i]
		if s.Engine != nil && s.MaxConnections > 0 && s.MaxConnections < s.Engine.Slots {
			found = append(found, finding(service(s), fmt.Sprintf("%d connections cannot use its %d slots: each request has a connection of its own", s.MaxConnections, s.Engine.Slots), "raise the connections"))
		}
		if s.ColdStart > 0 && s.ColdRate <= 0 {
			found = append(found, finding(service(s), "it is cold after a start, but no rate is named for that time, so that it is flooded", "name the rate"))
		}
	}
	limits := c.Limits
	if limits.HeaderTimeout > limits.IdleTimeout && limits.IdleTimeout > 0 {
		found = append(found, finding("limits", "the header timeout is longer than the idle timeout", "lower the header timeout"))
	}
	if budget := memory.TransferBytes(facts.EntryMemoryBytes); facts.EntryMemoryBytes > 0 && limits.BodyBytes > budget {
		found = append(found, finding("limits", fmt.Sprintf("a body of %d bytes does not fit into an entry instance, which has %d for all bodies", limits.BodyBytes, budget), "lower the body limit, or give the instances more memory"))
	}
	return found
}

func find(c *routes.Configuration, name string) *routes.Service {
	for i := range c.Services {
		if c.Services[i].Name == name {
			return &c.Services[i]
		}
	}
	return nil
}

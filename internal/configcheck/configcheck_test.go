package configcheck

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/banyanfront/banyanfront/decide/routes"
)

// configuration returns a configuration without findings.
func configuration() *routes.Configuration {
	return &routes.Configuration{Version: 3,
		Routes: []routes.Route{{Name: "quotes", Host: "h.example", PathPrefix: "/quotes/", Kind: routes.Stream, Timeout: 8 * time.Second,
			Objective: 500 * time.Millisecond, LongestPause: 150 * time.Millisecond, MaxAttempts: 2, Resumable: true,
			Targets: []routes.Target{{Service: "model", Weight: 1}}}},
		Services: []routes.Service{{Name: "model", MaxConnections: 100, ColdStart: time.Second, ColdRate: 10,
			Engine: &routes.Engine{Slots: 10, Stride: 5, StepTime: 5 * time.Millisecond, StepTimePerRequest: time.Millisecond}}},
		Organisations: []routes.Organisation{{Name: "glaziers", Keys: []string{"secret-1", "secret-2"}}},
		Limits:        routes.Limits{HeaderBytes: 16 << 10, BodyBytes: 4 << 20, HeaderTimeout: 3 * time.Second, IdleTimeout: 15 * time.Second}}
}

// Guards against findings that are missed, and against a sound configuration that is found fault with.
func TestFindings(t *testing.T) {
	facts := Facts{EntryMemoryBytes: 184 << 20, RetryRatio: 0.2}
	for name, c := range map[string]struct {
		change  func(c *routes.Configuration)
		subject string // of the only finding, empty for none
		problem string // a part of it
	}{
		"sound":                 {func(*routes.Configuration) {}, "", ""},
		"prefix without slash":  {func(c *routes.Configuration) { c.Routes[0].PathPrefix = "quotes/" }, `route "quotes"`, "no path begins"},
		"query in prefix":       {func(c *routes.Configuration) { c.Routes[0].PathPrefix = "/quotes?x" }, `route "quotes"`, "no path contains"},
		"host with scheme":      {func(c *routes.Configuration) { c.Routes[0].Host = "http://h.example" }, `route "quotes"`, "no request names"},
		"service without route": {func(c *routes.Configuration) { c.Services = append(c.Services, routes.Service{Name: "idle"}) }, `service "idle"`, "no route"},
		"service of weight 0": {func(c *routes.Configuration) {
			c.Routes[0].Targets = append(c.Routes[0].Targets, routes.Target{Service: "model"})
		}, `route "quotes"`, "weight 0"},
		"organisation without keys": {func(c *routes.Configuration) { c.Organisations[0].Keys = nil }, `organisation "glaziers"`, "no key"},
		"empty key":                 {func(c *routes.Configuration) { c.Organisations[0].Keys[1] = "" }, `organisation "glaziers"`, "empty"},
		"no organisations":          {func(c *routes.Configuration) { c.Organisations = nil }, "organisations", "need no key"},
		"objective over timeout":    {func(c *routes.Configuration) { c.Routes[0].Objective = 9 * time.Second }, `route "quotes"`, "longer than its timeout"},
		"pause below the engine's":  {func(c *routes.Configuration) { c.Routes[0].LongestPause = 20 * time.Millisecond }, `route "quotes"`, "needs 30ms"},
		"attempts over the budget":  {func(c *routes.Configuration) { c.Routes[0].MaxAttempts = 7 }, `route "quotes"`, "retry budget"},
		"too few connections":       {func(c *routes.Configuration) { c.Services[0].MaxConnections = 9 }, `service "model"`, "slots"},
		"cold without a rate":       {func(c *routes.Configuration) { c.Services[0].ColdRate = 0 }, `service "model"`, "flooded"},
		"timeouts":                  {func(c *routes.Configuration) { c.Limits.HeaderTimeout = time.Minute }, "limits", "header timeout"},
		"body over the memory":      {func(c *routes.Configuration) { c.Limits.BodyBytes = 64 << 20 }, "limits", "does not fit"},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			next := configuration()
			c.change(next)
			is.NoErr(next.Validate()) // the control instances would accept it
			found := Check(next, facts)
			if c.subject == "" {
				is.Equal(len(found), 0)
				return
			}
			is.Equal(len(found), 1)
			is.Equal(found[0].Subject, c.subject)
			is.True(strings.Contains(found[0].Problem, c.problem))
			is.True(found[0].Remedy != "")
		})
	}
}

// Guards against changes that are not shown, whom they cut off, and keys that are printed.
func TestDifference(t *testing.T) {
	is := is.New(t)
	before, after := configuration(), configuration()
	is.Equal(len(Difference(before, after)), 0)
	after.Routes[0].Timeout = 9 * time.Second
	after.Routes = append(after.Routes, routes.Route{Name: "orders"})
	after.Services[0].MaxConnections = 50
	after.Organisations[0].Keys = []string{"secret-2", "secret-3"}
	after.Limits.BodyBytes = 1 << 20
	text := fmt.Sprint(Difference(before, after))
	for _, part := range []string{"{route quotes changed Timeout 8s to 9s }", "{route orders added  }", "{service model changed MaxConnections 100 to 50 }",
		"{organisation glaziers changed 1 keys removed, 1 added callers with 1 of its 2 keys}", "{limit BodyBytes changed 4194304 to 1048576 }"} {
		is.True(strings.Contains(text, part))
	}
	is.True(!strings.Contains(text, "secret"))
	removed := fmt.Sprint(Difference(after, before))
	is.True(strings.Contains(removed, "{route orders removed  all requests for  that no other route matches}"))
	before.Organisations = nil
	is.True(strings.Contains(fmt.Sprint(Difference(after, before)), "{organisation glaziers removed  all of its requests"))
}

package routes

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

func validConfiguration() *Configuration {
	return &Configuration{
		Version: 1,
		Routes: []Route{
			{Name: "a", Host: "one.example", PathPrefix: "/a/", Kind: Safe, Timeout: time.Second, Targets: []Target{{"s", 1}}},
			{Name: "b", Host: "one.example", PathPrefix: "/a/b/", Kind: Stream, Timeout: time.Second, Targets: []Target{{"s", 3}, {"t", 1}}},
		},
		Services:      []Service{{Name: "s"}, {Name: "t"}},
		Organisations: []Organisation{{Name: "o", Keys: []string{"k1", "k2"}}, {Name: "p", Keys: []string{"k3"}}},
	}
}

// Guards against accepting an invalid configuration and rejecting a valid one.
func TestValidate(t *testing.T) {
	is := is.New(t)
	is.NoErr(validConfiguration().Validate())
	for name, makeInvalid := range map[string]func(*Configuration){
		"unknown service":   func(c *Configuration) { c.Routes[0].Targets[0].Service = "gone" },
		"same prefix":       func(c *Configuration) { c.Routes[1].PathPrefix, c.Routes[1].Host = "/a/", "ONE.example" },
		"no weight":         func(c *Configuration) { c.Routes[1].Targets = []Target{{"s", 0}, {"t", 0}} },
		"negative weight":   func(c *Configuration) { c.Routes[1].Targets[0].Weight = -1 },
		"no target":         func(c *Configuration) { c.Routes[1].Targets = nil },
		"no timeout":        func(c *Configuration) { c.Routes[0].Timeout = 0 },
		"shared key":        func(c *Configuration) { c.Organisations[1].Keys[0] = "k1" },
		"unknown, weight 0": func(c *Configuration) { c.Routes[1].Targets = append(c.Routes[1].Targets, Target{"gone", 0}) },
	} {
		c := validConfiguration()
		makeInvalid(c)
		if c.Validate() == nil {
			t.Errorf("%s: invalid configuration accepted", name)
		}
	}
}

// Guards against a request that is not routed by the longest matching prefix of its host.
func TestRouteTakesTheLongestPrefix(t *testing.T) {
	is := is.New(t)
	table := Compile(validConfiguration())
	is.Equal(table.Route("one.example", "/a/x").Name, "a")
	is.Equal(table.Route("One.Example:8080", "/a/b/x").Name, "b")
	is.Equal(table.Route("one.example", "/a"), nil)
	is.Equal(table.Route("two.example", "/a/x"), nil)
	is.Equal(table.Organisation("k2").Name, "o")
	is.Equal(table.Organisation("k9"), nil)
}

// Guards against a traffic split that sends requests to a target of weight 0 or is not proportional to the weights.
func TestServiceFollowsTheWeights(t *testing.T) {
	is := is.New(t)
	r := &Route{Targets: []Target{{"none", 0}, {"s", 3}, {"t", 1}, {"never", 0}}}
	counts := map[string]int{}
	for i := range 1000 {
		counts[r.ChooseService(float64(i)/1000)]++
	}
	is.Equal(counts, map[string]int{"s": 750, "t": 250})
}

// Guards against repeating requests of a kind that must run at most once.
func TestRepeatable(t *testing.T) {
	is := is.New(t)
	is.True((&Route{Kind: Safe}).Repeatable())
	is.True((&Route{Kind: Stream, Resumable: true}).Repeatable())
	is.True(!(&Route{Kind: Stream}).Repeatable())
	is.True(!(&Route{Kind: Unsafe, Resumable: true}).Repeatable())
}

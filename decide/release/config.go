package release

import (
	"cmp"
	"slices"
	"strings"

	"github.com/banyanfront/banyanfront/decide/fleet"
)

// Config is the configuration that results from all accepted notes. It is immutable: Apply returns a new one that shares
// unchanged lists. All lists are sorted, so that equal configurations have the same encoding. The operators'
// listener also writes it as JSON, under the names of the json tags or else of the fields.
type Config struct {
	Number               uint64       `cbor:"1,keyasint"` // of the newest note
	Digest               Digest       `cbor:"2,keyasint"`
	Author               string       `cbor:"3,keyasint"`
	Servers              []Server     `cbor:"4,keyasint,omitempty"`                  // by ID
	WithdrawnServers     []Withdrawal `cbor:"5,keyasint,omitempty" json:"Withdrawn"` // by server
	Models               []Model      `cbor:"6,keyasint,omitempty"`                  // by name
	WithdrawnModels      []string     `cbor:"7,keyasint,omitempty" json:"GoneModels"`
	Adapters             []Adapter    `cbor:"8,keyasint,omitempty"` // by model and name
	WithdrawnAdapters    []Adapter    `cbor:"9,keyasint,omitempty" json:"GoneAdapter"`
	DataCentres          []DataCentre `cbor:"10,keyasint,omitempty"`
	WithdrawnDataCentres []string     `cbor:"11,keyasint,omitempty" json:"GoneCentres"`
	Calls                []CallRule   `cbor:"12,keyasint,omitempty"` // by service, prefix and method
}

// Withdrawal records which note withdrew a server.
type Withdrawal struct {
	Server fleet.ServerID `cbor:"1,keyasint"`
	Note   uint64         `cbor:"2,keyasint"`
}

func byServer(a, b Server) int         { return cmp.Compare(a.ID, b.ID) }
func byWithdrawal(a, b Withdrawal) int { return cmp.Compare(a.Server, b.Server) }
func byModel(a, b Model) int           { return cmp.Compare(a.Name, b.Name) }
func byAdapter(a, b Adapter) int {
	return cmp.Or(cmp.Compare(a.Model, b.Model), cmp.Compare(a.Name, b.Name))
}
func byDataCentre(a, b DataCentre) int { return cmp.Compare(a.Name, b.Name) }
func byCallRule(a, b CallRule) int {
	return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.PathPrefix, b.PathPrefix),
		cmp.Compare(a.Method, b.Method))
}

// Apply returns the configuration after the note. The note must have passed Validate and Check.
func (c *Config) Apply(n *Note) *Config {
	next := *c
	next.Number, next.Digest, next.Author = n.Number, n.Digest(), n.Author
	listed := slices.Concat(n.Servers.Add, n.Servers.Change)
	withdrawn := make([]Withdrawal, 0, len(n.Servers.Withdraw))
	for _, id := range n.Servers.Withdraw {
		withdrawn = append(withdrawn, Withdrawal{id, n.Number})
	}
	next.Servers = merge(c.Servers, listed, asServers(n.Servers.Withdraw), byServer)
	next.WithdrawnServers = merge(c.WithdrawnServers, withdrawn,
		slices.Concat(asWithdrawals(n.Servers.Forget), withdrawalsOf(n.Servers.Add)), byWithdrawal)

	models := slices.Concat(n.Models.Add, n.Models.Change)
	next.Models = merge(c.Models, models, asModels(n.Models.Withdraw), byModel)
	next.WithdrawnModels = merge(c.WithdrawnModels, n.Models.Withdraw, modelNames(models), strings.Compare)

	adapters := slices.Concat(n.Adapters.Add, n.Adapters.Change)
	next.Adapters = merge(c.Adapters, adapters, n.Adapters.Withdraw, byAdapter)
	next.WithdrawnAdapters = merge(c.WithdrawnAdapters, n.Adapters.Withdraw, adapters, byAdapter)

	centres := slices.Concat(n.DataCentres.Add, n.DataCentres.Change)
	next.DataCentres = merge(c.DataCentres, centres, asDataCentres(n.DataCentres.Withdraw), byDataCentre)
	next.WithdrawnDataCentres = merge(c.WithdrawnDataCentres, asStrings(n.DataCentres.Withdraw),
		dataCentreNames(centres), strings.Compare)

	var rules, removed []CallRule
	for _, rule := range n.Calls {
		if rule.Remove {
			removed = append(removed, rule)
		} else {
			rules = append(rules, rule)
		}
	}
	next.Calls = merge(c.Calls, rules, removed, byCallRule)
	return &next
}

// merge returns list, sorted by order, with the items of set added or replaced and the items of drop removed. It returns
// list itself if both are empty.
func merge[T any](list, set, drop []T, order func(a, b T) int) []T {
	if len(set) == 0 && len(drop) == 0 {
		return list
	}
	set, drop = slices.Clone(set), slices.Clone(drop)
	slices.SortFunc(set, order)
	slices.SortFunc(drop, order)
	result := make([]T, 0, len(list)+len(set))
	for _, item := range list {
		_, dropped := slices.BinarySearchFunc(drop, item, order)
		_, replaced := slices.BinarySearchFunc(set, item, order)
		if !dropped && !replaced {
			result = append(result, item)
		}
	}
	result = append(result, set...)
	slices.SortFunc(result, order)
	return result
}

func transform[A, B any](list []A, f func(A) B) []B {
	result := make([]B, 0, len(list))
	for _, item := range list {
		result = append(result, f(item))
	}
	return result
}

func asServers(ids []fleet.ServerID) []Server {
	return transform(ids, func(id fleet.ServerID) Server { return Server{ID: id} })
}

func asWithdrawals(ids []fleet.ServerID) []Withdrawal {
	return transform(ids, func(id fleet.ServerID) Withdrawal { return Withdrawal{Server: id} })
}

func withdrawalsOf(servers []Server) []Withdrawal {
	return transform(servers, func(s Server) Withdrawal { return Withdrawal{Server: s.ID} })
}

func asModels(names []string) []Model {
	return transform(names, func(name string) Model { return Model{Name: name} })
}

func modelNames(models []Model) []string {
	return transform(models, func(m Model) string { return m.Name })
}

func asDataCentres(names []fleet.DataCentre) []DataCentre {
	return transform(names, func(name fleet.DataCentre) DataCentre { return DataCentre{Name: name} })
}

func asStrings(names []fleet.DataCentre) []string {
	return transform(names, func(name fleet.DataCentre) string { return string(name) })
}

func dataCentreNames(centres []DataCentre) []string {
	return transform(centres, func(d DataCentre) string { return string(d.Name) })
}

// WithdrawnBy returns the number of the note that withdrew the server, 0 if none did. A server that no note mentions
// is not withdrawn.
func (c *Config) WithdrawnBy(id fleet.ServerID) uint64 {
	i, ok := slices.BinarySearchFunc(c.WithdrawnServers, Withdrawal{Server: id}, byWithdrawal)
	if !ok {
		return 0
	}
	return c.WithdrawnServers[i].Note
}

// ExpectedServer returns the expected state of a server, nil if no note lists it. The caller must not change it.
func (c *Config) ExpectedServer(id fleet.ServerID) *Server {
	i, ok := slices.BinarySearchFunc(c.Servers, Server{ID: id}, byServer)
	if !ok {
		return nil
	}
	return &c.Servers[i]
}

// TargetWithdrawn reports whether the notes have withdrawn the model or adapter that the target names.
func (c *Config) TargetWithdrawn(t fleet.Target) bool {
	if t.Kind == fleet.KindService {
		return false
	}
	if _, withdrawn := slices.BinarySearch(c.WithdrawnModels, t.Name); withdrawn {
		return true
	}
	_, withdrawn := slices.BinarySearchFunc(c.WithdrawnAdapters, Adapter{Model: t.Name, Name: t.Adapter}, byAdapter)
	return withdrawn && t.Adapter != ""
}

// CallIdempotency reports whether the notes mark a call to a plain service as idempotent; ok is false if no rule applies.
// A prefix matches whole path segments: "/stock" applies to "/stock" and "/stock/7", not to "/stockroom". A path that the
// service may resolve to another one ("..", empty segments) counts as not idempotent if the service has any rule.
func (c *Config) CallIdempotency(service, method, path string) (idempotent, ok bool) {
	path, _, _ = strings.Cut(path, "?")
	if strings.Contains(path, "..") || strings.Contains(path, "//") {
		hasRule := slices.ContainsFunc(c.Calls, func(r CallRule) bool { return r.Service == service })
		return false, hasRule
	}
	bestRank := -1
	for i := range c.Calls {
		rule := &c.Calls[i]
		if rule.Service != service || (rule.Method != "" && rule.Method != method) || !hasPathPrefix(path, rule.PathPrefix) {
			continue
		}
		rank := 2 * len(strings.TrimSuffix(rule.PathPrefix, "/"))
		if rule.Method != "" {
			rank++
		}
		if rank > bestRank {
			bestRank, idempotent = rank, rule.Idempotent
		}
	}
	return idempotent, bestRank >= 0
}

func hasPathPrefix(path, prefix string) bool {
	prefix = strings.TrimSuffix(prefix, "/")
	rest, ok := strings.CutPrefix(path, prefix)
	return ok && (rest == "" || rest[0] == '/')
}

// Deviations describes how a server's announcement differs from its expected state, for operators. It is empty for an
// unlisted server.
func (c *Config) Deviations(a *fleet.Announcement) []string {
	expected := c.ExpectedServer(a.Server)
	if expected == nil {
		return nil
	}
	var result []string
	if expected.DataCentre != a.DataCentre {
		result = append(result, "announces data centre "+string(a.DataCentre)+", expected "+string(expected.DataCentre))
	}
	announced := fleet.Server{Announcement: *a}
	if expected.Kind == KindService {
		if !announced.Serves(fleet.Target{Kind: fleet.KindService, Name: expected.Service}) {
			result = append(result, "does not serve the expected service "+expected.Service)
		}
		return result
	}
	for i := range expected.Models {
		m := &expected.Models[i]
		for _, adapter := range append([]string{""}, m.Adapters...) {
			t := fleet.Target{Kind: fleet.KindEngine, Name: m.Name, Version: m.Version, Adapter: adapter}
			if !announced.Serves(t) {
				result = append(result, "lacks model "+describeTarget(t))
			}
		}
	}
	return result
}

func describeTarget(t fleet.Target) string {
	text := t.Name
	if t.Version != "" {
		text += " version " + t.Version
	}
	if t.Adapter != "" {
		text += " adapter " + t.Adapter
	}
	return text
}

package release

import (
	"cmp"
	"slices"
	"strings"

	"github.com/banyanfront/banyanfront/decide/fleet"
)

// Config is what all accepted notes add up to. It is immutable: Apply returns a new one that shares unchanged lists.
// All lists are sorted, so that equal configurations encode equally.
type Config struct {
	Number      uint64       `cbor:"1,keyasint"` // of the newest note
	Digest      Digest       `cbor:"2,keyasint"`
	Author      string       `cbor:"3,keyasint"`
	Servers     []Server     `cbor:"4,keyasint,omitempty"` // by ID
	Withdrawn   []Withdrawal `cbor:"5,keyasint,omitempty"` // withdrawn servers, by server
	Models      []Model      `cbor:"6,keyasint,omitempty"` // by name
	GoneModels  []string     `cbor:"7,keyasint,omitempty"` // withdrawn models
	Adapters    []Adapter    `cbor:"8,keyasint,omitempty"` // by model and name
	GoneAdapter []Adapter    `cbor:"9,keyasint,omitempty"` // withdrawn adapters
	DataCentres []DataCentre `cbor:"10,keyasint,omitempty"`
	GoneCentres []string     `cbor:"11,keyasint,omitempty"` // withdrawn data centres
	Calls       []CallRule   `cbor:"12,keyasint,omitempty"` // by service, prefix and method
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
func byCentre(a, b DataCentre) int { return cmp.Compare(a.Name, b.Name) }
func byCall(a, b CallRule) int {
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
	next.Withdrawn = merge(c.Withdrawn, withdrawn,
		slices.Concat(asWithdrawals(n.Servers.Forget), withdrawalsOf(n.Servers.Add)), byWithdrawal)

	models := slices.Concat(n.Models.Add, n.Models.Change)
	next.Models = merge(c.Models, models, asModels(n.Models.Withdraw), byModel)
	next.GoneModels = merge(c.GoneModels, n.Models.Withdraw, modelNames(models), strings.Compare)

	adapters := slices.Concat(n.Adapters.Add, n.Adapters.Change)
	next.Adapters = merge(c.Adapters, adapters, n.Adapters.Withdraw, byAdapter)
	next.GoneAdapter = merge(c.GoneAdapter, n.Adapters.Withdraw, adapters, byAdapter)

	centres := slices.Concat(n.DataCentres.Add, n.DataCentres.Change)
	next.DataCentres = merge(c.DataCentres, centres, asCentres(n.DataCentres.Withdraw), byCentre)
	next.GoneCentres = merge(c.GoneCentres, asNames(n.DataCentres.Withdraw), centreNames(centres), strings.Compare)

	var rules, removed []CallRule
	for _, rule := range n.Calls {
		if rule.Remove {
			removed = append(removed, rule)
		} else {
			rules = append(rules, rule)
		}
	}
	next.Calls = merge(c.Calls, rules, removed, byCall)
	return &next
}

// merge returns list with set added or replaced and drop removed. It returns list itself if nothing changes.
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

func asCentres(names []fleet.DataCentre) []DataCentre {
	return transform(names, func(name fleet.DataCentre) DataCentre { return DataCentre{Name: name} })
}

func asNames(names []fleet.DataCentre) []string {
	return transform(names, func(name fleet.DataCentre) string { return string(name) })
}

func centreNames(centres []DataCentre) []string {
	return transform(centres, func(d DataCentre) string { return string(d.Name) })
}

// WithdrawnBy returns the number of the note that withdrew the server, 0 if none did. An unlisted server is not
// withdrawn.
func (c *Config) WithdrawnBy(id fleet.ServerID) uint64 {
	i, ok := slices.BinarySearchFunc(c.Withdrawn, Withdrawal{Server: id}, byWithdrawal)
	if !ok {
		return 0
	}
	return c.Withdrawn[i].Note
}

// Expected returns what the notes state about a server, nil if they state nothing. The caller must not change it.
func (c *Config) Expected(id fleet.ServerID) *Server {
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
	if _, gone := slices.BinarySearch(c.GoneModels, t.Name); gone {
		return true
	}
	_, gone := slices.BinarySearchFunc(c.GoneAdapter, Adapter{Model: t.Name, Name: t.Adapter}, byAdapter)
	return gone && t.Adapter != ""
}

// Marked returns how the notes mark a call to a plain service; ok is false if no rule applies. A prefix matches whole
// path segments: "/stock" applies to "/stock" and "/stock/7", not to "/stockroom". A path that the service may resolve
// to another one ("..", empty segments) counts as not idempotent as soon as the service has any rule.
func (c *Config) Marked(service, method, path string) (idempotent, ok bool) {
	path, _, _ = strings.Cut(path, "?")
	if strings.Contains(path, "..") || strings.Contains(path, "//") {
		has := slices.ContainsFunc(c.Calls, func(r CallRule) bool { return r.Service == service })
		return false, has
	}
	best := -1
	for i := range c.Calls {
		rule := &c.Calls[i]
		if rule.Service != service || (rule.Method != "" && rule.Method != method) || !under(path, rule.PathPrefix) {
			continue
		}
		rank := 2 * len(strings.TrimSuffix(rule.PathPrefix, "/"))
		if rule.Method != "" {
			rank++
		}
		if rank > best {
			best, idempotent = rank, rule.Idempotent
		}
	}
	return idempotent, best >= 0
}

func under(path, prefix string) bool {
	prefix = strings.TrimSuffix(prefix, "/")
	rest, ok := strings.CutPrefix(path, prefix)
	return ok && (rest == "" || rest[0] == '/')
}

// Deviations lists how a server's announcement differs from what the notes expect, in plain words. It is empty for an
// unlisted server.
func (c *Config) Deviations(a *fleet.Announcement) []string {
	want := c.Expected(a.Server)
	if want == nil {
		return nil
	}
	var result []string
	if want.DataCentre != a.DataCentre {
		result = append(result, "announces data centre "+string(a.DataCentre)+", expected "+string(want.DataCentre))
	}
	announced := fleet.Server{Announcement: *a}
	if want.Kind == KindService {
		if !announced.Serves(fleet.Target{Kind: fleet.KindService, Name: want.Service}) {
			result = append(result, "does not serve the expected service "+want.Service)
		}
		return result
	}
	for i := range want.Models {
		m := &want.Models[i]
		for _, adapter := range append([]string{""}, m.Adapters...) {
			t := fleet.Target{Kind: fleet.KindEngine, Name: m.Name, Version: m.Version, Adapter: adapter}
			if !announced.Serves(t) {
				result = append(result, "lacks model "+describe(t))
			}
		}
	}
	return result
}

func describe(t fleet.Target) string {
	text := t.Name
	if t.Version != "" {
		text += " version " + t.Version
	}
	if t.Adapter != "" {
		text += " adapter " + t.Adapter
	}
	return text
}

package release

import (
	"fmt"
	"slices"
	"strings"
	"unicode"
)

// Code identifies the kind of a finding for programs.
type Code string

// Codes of findings.
const (
	Empty            Code = "empty"             // the note changes nothing
	Missing          Code = "missing"           // a field is missing
	Invalid          Code = "invalid"           // a field has a value that is not allowed
	TooLong          Code = "too_long"          // a list or text exceeds its bound
	Duplicate        Code = "duplicate"         // one name appears twice
	Contradiction    Code = "contradiction"     // the note makes conflicting statements about one name
	AlreadyListed    Code = "already_listed"    // an added name is already listed
	AlreadyWithdrawn Code = "already_withdrawn" // a withdrawn name is already withdrawn
	NotWithdrawn     Code = "not_withdrawn"     // a forgotten server was not withdrawn
	NotListed        Code = "not_listed"        // a changed or withdrawn name is not listed
	DataCentreInUse  Code = "centre_in_use"     // a withdrawn data centre still has servers
	OutageRefused    Code = "outage_refused"    // a model or service in use would be left without servers
	OutageAccepted   Code = "outage_accepted"   // the same, but the note accepts the outage
	NeverUsed        Code = "never_used"        // no use of the withdrawn server is recorded
	ShortRecord      Code = "short_record"      // uses have been recorded for less than MinRecordingTime
	UnusedAcceptance Code = "unused_acceptance" // the note accepts an outage that it does not cause
)

// Severity distinguishes refusals from warnings.
type Severity uint8

// Severities of a finding. A note with a Refusal is not accepted.
const (
	Warning Severity = iota
	Refusal
)

// Finding is one result of a check of a note.
type Finding struct {
	Code     Code     `cbor:"1,keyasint"`
	Severity Severity `cbor:"2,keyasint"`
	Path     string   `cbor:"3,keyasint"` // field of the note, for example "servers.withdraw[2]"
	Message  string   `cbor:"4,keyasint"`
	Remedy   string   `cbor:"5,keyasint"`
}

// String returns the finding as one line.
func (f Finding) String() string { return f.Path + ": " + f.Message + "; " + f.Remedy }

// Refused reports whether any finding refuses the note.
func Refused(findings []Finding) bool {
	return slices.ContainsFunc(findings, func(f Finding) bool { return f.Severity == Refusal })
}

type findings []Finding

func (f *findings) refuse(code Code, path, message, remedy string) {
	*f = append(*f, Finding{code, Refusal, path, message, remedy})
}

func (f *findings) warn(code Code, path, message, remedy string) {
	*f = append(*f, Finding{code, Warning, path, message, remedy})
}

// Validate checks the note without the configuration that it changes.
func Validate(n *Note) []Finding {
	var f findings
	if n.Number == 0 {
		f.refuse(Missing, "number", "the note has no number", "use a number above that of the last accepted note")
	}
	f.checkName("author", n.Author, true)
	if len(n.Comment) > MaxTextBytes {
		f.refuse(TooLong, "comment", fmt.Sprintf("the comment has %d bytes", len(n.Comment)),
			fmt.Sprintf("keep it within %d bytes", MaxTextBytes))
	}
	f.checkServers(n)
	f.checkLists(n)
	f.checkCalls(n.Calls)
	f.checkOutages(n.AcceptOutage)
	if n.changeCount() == 0 {
		f.refuse(Empty, "", "the note changes nothing", "add a change or do not publish it")
	}
	return f
}

func (n *Note) changeCount() int {
	return len(n.Servers.Add) + len(n.Servers.Change) + len(n.Servers.Withdraw) + len(n.Servers.Forget) +
		len(n.Models.Add) + len(n.Models.Change) + len(n.Models.Withdraw) +
		len(n.Adapters.Add) + len(n.Adapters.Change) + len(n.Adapters.Withdraw) +
		len(n.DataCentres.Add) + len(n.DataCentres.Change) + len(n.DataCentres.Withdraw) + len(n.Calls)
}

func (f *findings) checkName(path, name string, required bool) {
	switch {
	case name == "" && required:
		f.refuse(Missing, path, "the name is missing", "add it")
	case len(name) > MaxNameBytes:
		f.refuse(TooLong, path, fmt.Sprintf("the name has %d bytes", len(name)),
			fmt.Sprintf("keep it within %d bytes", MaxNameBytes))
	case strings.ContainsFunc(name, func(r rune) bool { return unicode.IsSpace(r) || !unicode.IsPrint(r) }):
		f.refuse(Invalid, path, fmt.Sprintf("%q has spaces or control characters", name), "use printable characters only")
	}
}

func (f *findings) checkServers(n *Note) {
	for section, list := range sections("servers", n.Servers.Add, n.Servers.Change) {
		f.checkLength(section, len(list), MaxEntries)
		for i := range list {
			f.checkServer(fmt.Sprintf("%s[%d]", section, i), &list[i])
		}
	}
	f.checkLength("servers.withdraw", len(n.Servers.Withdraw), MaxEntries)
	f.checkLength("servers.forget", len(n.Servers.Forget), MaxEntries)
	serverName := func(s Server) string { return string(s.ID) }
	f.checkDistinct(
		nameEntries("servers.add", n.Servers.Add, serverName), nameEntries("servers.change", n.Servers.Change, serverName),
		nameEntries("servers.withdraw", n.Servers.Withdraw, asString), nameEntries("servers.forget", n.Servers.Forget, asString))
}

func (f *findings) checkServer(path string, s *Server) {
	f.checkName(path+".dataCentre", string(s.DataCentre), true)
	switch s.Kind {
	case KindEngine:
		if len(s.Models) == 0 {
			f.refuse(Missing, path+".models", "an engine needs at least one model", "add the models that it serves")
		}
		if s.Service != "" {
			f.refuse(Contradiction, path+".service", "an engine has no service", `remove it, or use "kind": "service"`)
		}
	case KindService:
		f.checkName(path+".service", s.Service, true)
		if len(s.Models) > 0 {
			f.refuse(Contradiction, path+".models", "a service has no models", `remove them, or use "kind": "engine"`)
		}
	default:
		f.refuse(Invalid, path+".kind", fmt.Sprintf("kind %q is not allowed", s.Kind), "use engine or service")
	}
	f.checkLength(path+".models", len(s.Models), MaxModels)
	seen := make(map[string]bool)
	for i := range s.Models {
		m, modelPath := &s.Models[i], fmt.Sprintf("%s.models[%d]", path, i)
		f.checkName(modelPath+".name", m.Name, true)
		f.checkName(modelPath+".version", m.Version, false)
		f.checkLength(modelPath+".adapters", len(m.Adapters), MaxAdapters)
		for j, a := range m.Adapters {
			f.checkName(fmt.Sprintf("%s.adapters[%d]", modelPath, j), a, true)
		}
		if seen[m.Name+" "+m.Version] {
			f.refuse(Duplicate, modelPath, fmt.Sprintf("model %q appears twice", m.Name), "keep one of them")
		}
		seen[m.Name+" "+m.Version] = true
	}
}

func (f *findings) checkLists(n *Note) {
	model := func(m Model) string { return m.Name }
	f.checkDistinct(nameEntries("models.add", n.Models.Add, model), nameEntries("models.change", n.Models.Change, model),
		nameEntries("models.withdraw", n.Models.Withdraw, asString))
	adapter := func(a Adapter) string {
		if a.Model == "" || a.Name == "" {
			return ""
		}
		return a.Model + "/" + a.Name
	}
	f.checkDistinct(nameEntries("adapters.add", n.Adapters.Add, adapter),
		nameEntries("adapters.change", n.Adapters.Change, adapter),
		nameEntries("adapters.withdraw", n.Adapters.Withdraw, adapter))
	centre := func(d DataCentre) string { return string(d.Name) }
	f.checkDistinct(nameEntries("dataCentres.add", n.DataCentres.Add, centre),
		nameEntries("dataCentres.change", n.DataCentres.Change, centre),
		nameEntries("dataCentres.withdraw", n.DataCentres.Withdraw, asString))
	for _, list := range []struct {
		path   string
		length int
	}{
		{"models.add", len(n.Models.Add)}, {"models.change", len(n.Models.Change)},
		{"models.withdraw", len(n.Models.Withdraw)}, {"adapters.add", len(n.Adapters.Add)},
		{"adapters.change", len(n.Adapters.Change)}, {"adapters.withdraw", len(n.Adapters.Withdraw)},
		{"dataCentres.add", len(n.DataCentres.Add)}, {"dataCentres.change", len(n.DataCentres.Change)},
		{"dataCentres.withdraw", len(n.DataCentres.Withdraw)},
	} {
		f.checkLength(list.path, list.length, MaxEntries)
	}
}

func (f *findings) checkCalls(rules []CallRule) {
	f.checkLength("calls", len(rules), MaxCallRules)
	seen := make(map[CallRule]bool)
	for i, r := range rules {
		path := fmt.Sprintf("calls[%d]", i)
		f.checkName(path+".service", r.Service, true)
		if r.Method != "" && (r.Method != strings.ToUpper(r.Method) || strings.ContainsFunc(r.Method, unicode.IsSpace)) {
			f.refuse(Invalid, path+".method", fmt.Sprintf("%q is not an HTTP method", r.Method), `write it like "POST"`)
		}
		if !strings.HasPrefix(r.PathPrefix, "/") || strings.Contains(r.PathPrefix, "..") || strings.Contains(r.PathPrefix, "//") {
			f.refuse(Invalid, path+".pathPrefix", fmt.Sprintf("%q is not a path prefix", r.PathPrefix),
				`start it with a slash, without ".." and empty segments`)
		}
		if len(r.PathPrefix) > MaxTextBytes {
			f.refuse(TooLong, path+".pathPrefix", "the path prefix is too long", "shorten it")
		}
		key := CallRule{Service: r.Service, Method: r.Method, PathPrefix: r.PathPrefix}
		if seen[key] {
			f.refuse(Duplicate, path, "service, method and prefix appear twice", "keep one of them")
		}
		seen[key] = true
	}
}

func (f *findings) checkOutages(list []Outage) {
	f.checkLength("acceptOutage", len(list), MaxEntries)
	for i, o := range list {
		path := fmt.Sprintf("acceptOutage[%d]", i)
		f.checkName(path+".name", o.Name, true)
		if o.Kind != KindModel && o.Kind != KindService {
			f.refuse(Invalid, path+".kind", fmt.Sprintf("kind %q is not allowed", o.Kind), "use model or service")
		}
	}
}

func (f *findings) checkLength(path string, length, bound int) {
	if length > bound {
		f.refuse(TooLong, path, fmt.Sprintf("the list has %d entries", length),
			fmt.Sprintf("split it over notes of at most %d entries", bound))
	}
}

// nameEntry is a name and its path in the note.
type nameEntry struct{ path, name string }

func nameEntries[T any](section string, list []T, name func(T) string) []nameEntry {
	result := make([]nameEntry, 0, len(list))
	for i, item := range list {
		result = append(result, nameEntry{fmt.Sprintf("%s[%d]", section, i), name(item)})
	}
	return result
}

func asString[S ~string](s S) string { return string(s) }

// sections iterates over the lists of added and changed entries with their paths.
func sections[T any](parent string, add, change []T) func(yield func(string, []T) bool) {
	return func(yield func(string, []T) bool) {
		_ = yield(parent+".add", add) && yield(parent+".change", change)
	}
}

// checkDistinct checks the names of all lists and refuses a name that the note mentions twice.
func (f *findings) checkDistinct(lists ...[]nameEntry) {
	pathOf := make(map[string]string)
	for _, entry := range slices.Concat(lists...) {
		f.checkName(entry.path, entry.name, true)
		if other, ok := pathOf[entry.name]; ok && entry.name != "" {
			code := Contradiction
			if section(other) == section(entry.path) {
				code = Duplicate
			}
			f.refuse(code, entry.path, fmt.Sprintf("%q is also named in %s", entry.name, other), "keep one of them")
		}
		pathOf[entry.name] = entry.path
	}
}

func section(path string) string {
	before, _, _ := strings.Cut(path, "[")
	return before
}

// Check checks a note that has passed Validate against the configuration that it changes.
func Check(n *Note, c *Config) []Finding {
	var f findings
	for i := range n.Servers.Add {
		if c.ExpectedServer(n.Servers.Add[i].ID) != nil {
			f.refuse(AlreadyListed, fmt.Sprintf("servers.add[%d]", i),
				fmt.Sprintf("server %q is already listed", n.Servers.Add[i].ID), "move it to servers.change")
		}
	}
	for i := range n.Servers.Change {
		path, id := fmt.Sprintf("servers.change[%d]", i), n.Servers.Change[i].ID
		if note := c.WithdrawnBy(id); note != 0 {
			f.refuse(AlreadyWithdrawn, path, fmt.Sprintf("note %d withdrew server %q", note, id),
				"move it to servers.add to bring it back")
		} else if c.ExpectedServer(id) == nil {
			f.warn(NotListed, path, fmt.Sprintf("server %q was not listed", id), "it is listed from this note on")
		}
	}
	for i, id := range n.Servers.Withdraw {
		path := fmt.Sprintf("servers.withdraw[%d]", i)
		if note := c.WithdrawnBy(id); note != 0 {
			f.refuse(AlreadyWithdrawn, path, fmt.Sprintf("note %d already withdrew server %q", note, id), "remove it")
		} else if c.ExpectedServer(id) == nil {
			f.warn(NotListed, path, fmt.Sprintf("no note has listed server %q", id), "check the spelling")
		}
	}
	for i, id := range n.Servers.Forget {
		if c.WithdrawnBy(id) == 0 {
			f.refuse(NotWithdrawn, fmt.Sprintf("servers.forget[%d]", i),
				fmt.Sprintf("server %q is not withdrawn", id), "withdraw it first")
		}
	}
	if after := len(c.WithdrawnServers) + len(n.Servers.Withdraw) - len(n.Servers.Forget); after > MaxWithdrawn {
		f.refuse(TooLong, "servers.withdraw", fmt.Sprintf("%d withdrawn servers would be remembered", after),
			"name servers that no longer exist in servers.forget")
	}
	f.checkDataCentres(n, c)
	return f
}

// checkDataCentres refuses to withdraw a data centre while servers in it are listed: a note withdraws servers by name only.
func (f *findings) checkDataCentres(n *Note, c *Config) {
	for i, name := range n.DataCentres.Withdraw {
		path := fmt.Sprintf("dataCentres.withdraw[%d]", i)
		var listed []string
		for _, s := range c.Apply(n).Servers {
			if s.DataCentre == name {
				listed = append(listed, string(s.ID))
			}
		}
		if len(listed) > 0 {
			f.refuse(DataCentreInUse, path, fmt.Sprintf("data centre %q still has %d listed servers, among them %s",
				name, len(listed), strings.Join(listed[:min(len(listed), 5)], ", ")), "withdraw them by name in the same note")
		}
	}
}

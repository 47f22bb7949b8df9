package release

import (
	"cmp"
	"fmt"
	"iter"
	"slices"
	"strings"
	"time"

	"github.com/banyanfront/banyanfront/decide/fleet"
)

// MinRecordingTime is the time for which uses must have been recorded before a missing use indicates that there is none.
// It is a week, because weekly jobs are the rarest use that operators have reported.
const MinRecordingTime = 7 * 24 * time.Hour

// Use records that an organisation used a model, adapter or service on a server.
type Use struct {
	Server       fleet.ServerID     `cbor:"1,keyasint"`
	DataCentre   fleet.DataCentre   `cbor:"2,keyasint"`
	Organisation fleet.Organisation `cbor:"3,keyasint"`
	Kind         fleet.Kind         `cbor:"4,keyasint"`
	Name         string             `cbor:"5,keyasint"`
	Adapter      string             `cbor:"6,keyasint,omitempty"`
	Last         int64              `cbor:"7,keyasint"` // Unix seconds
}

func (u *Use) target() fleet.Target {
	return fleet.Target{Kind: u.Kind, Name: u.Name, Adapter: u.Adapter}
}

// View is the state of the fleet, as one instance knows it, against which a note is assessed. Unknown fields are empty.
type View struct {
	Now             time.Time
	Config          *Config
	Servers         []fleet.Announcement      // servers announced to the instances of the local data centre
	LocalDataCentre fleet.DataCentre          // data centre of Servers
	Remote          []fleet.Summary           // summaries of the other data centres, by target
	Evacuated       map[fleet.DataCentre]bool // data centres that are evacuated
	Uses            iter.Seq[Use]             // recorded uses; a sequence, as a list would need 98 MB at the target size
	RecordedSince   time.Time                 // when the recording of uses began
	Observed        []ObservedTarget          // targets that keep servers after the note, as observed by the proposing instance
}

// ObservedTarget is the number of servers of a target that remain after the note, as observed by one instance. It is part
// of a proposal, so that the agreement group, which has no announcements, can assess the note.
type ObservedTarget struct {
	Kind    fleet.Kind `cbor:"1,keyasint"`
	Name    string     `cbor:"2,keyasint"`
	Adapter string     `cbor:"3,keyasint,omitempty"`
	Servers int        `cbor:"4,keyasint"`
}

// Cut describes what one server stops serving because of the note.
type Cut struct {
	Server     fleet.ServerID
	DataCentre fleet.DataCentre // empty if unknown
	Whole      bool             // the server is withdrawn; otherwise it stops serving only the targets in Lost
	Lost       []fleet.Target   // models, adapters and services that the server no longer serves
	Uses       []Use            // recorded uses that end, latest first
}

// Capacity is the number of servers and request slots of one target.
type Capacity struct {
	Servers int // in data centres that are not evacuated
	Slots   int // announced concurrent requests; 0 for servers known only from notes or uses
	InOut   int // further servers, which are in evacuated data centres
}

// Remaining is the capacity of one target before and after the note.
type Remaining struct {
	Target        fleet.Target
	Before, After Capacity
	Used          bool
	LastUse       int64 // Unix seconds, 0 if no use is recorded
	Organisations []fleet.Organisation
	Accepted      bool // the note accepts an outage of the target
}

// Effects describes what a note cuts off and the findings about it. The operators' API encodes it and the types of its
// fields as JSON under the Go field names.
type Effects struct {
	Cuts      []Cut       // by server
	Remaining []Remaining // of every target that loses a server, by kind and name
	Findings  []Finding
}

// Impact lists what the note cuts off and refuses an outage of a used model or service that the note does not accept.
// The note must have passed Validate and Check.
func Impact(n *Note, v *View) Effects {
	if !n.affectsServers() && len(n.AcceptOutage) == 0 {
		return Effects{} // avoids iterating over all recorded uses, which takes 0.3 s at the target size
	}
	next := v.Config.Apply(n)
	uses := v.uses()
	before := knownServers(v, v.Config, nil)
	after := knownServers(v, next, n)
	var result Effects
	affected := make(map[fleet.Target]bool)
	for _, id := range sortedKeys(before) {
		cut := cutOf(before[id], after[id])
		if cut == nil {
			continue
		}
		result.Cuts = append(result.Cuts, *cut)
		for _, t := range cut.Lost {
			affected[t] = true
		}
	}
	result.addUses(uses)
	for _, name := range n.Models.Withdraw {
		affected[fleet.Target{Kind: fleet.KindEngine, Name: name}] = true
	}
	for _, a := range n.Adapters.Withdraw {
		affected[fleet.Target{Kind: fleet.KindEngine, Name: a.Model, Adapter: a.Name}] = true
	}
	targets := make([]fleet.Target, 0, len(affected))
	for t := range affected {
		targets = append(targets, t)
	}
	slices.SortFunc(targets, compareTargets)
	lost := lostByDataCentre(result.Cuts)
	for _, t := range targets {
		r := Remaining{Target: t, Accepted: n.AcceptsOutage(t.Kind, t.Name)}
		r.Before, r.After = targetCapacity(before, t, v, nil), targetCapacity(after, t, v, lost)
		if next.TargetWithdrawn(t) {
			r.After = Capacity{}
		}
		r.addUses(uses)
		result.Remaining = append(result.Remaining, r)
	}
	result.addFindings(n, v)
	return result
}

func cutOf(before, after *knownServer) *Cut {
	cut := &Cut{Server: before.id, DataCentre: before.dataCentre, Whole: after == nil}
	for _, t := range before.targets {
		if after == nil || !slices.Contains(after.targets, t) {
			cut.Lost = append(cut.Lost, t)
		}
	}
	if !cut.Whole && len(cut.Lost) == 0 {
		return nil
	}
	slices.SortFunc(cut.Lost, compareTargets)
	return cut
}

// affectsServers reports whether the note can make a server stop serving anything.
func (n *Note) affectsServers() bool {
	return len(n.Servers.Withdraw)+len(n.Servers.Change)+len(n.Models.Withdraw)+len(n.Adapters.Withdraw) > 0
}

// addUses adds to each cut the recorded uses that it ends.
func (e *Effects) addUses(uses iter.Seq[Use]) {
	positions := make(map[fleet.ServerID]int, len(e.Cuts))
	for j := range e.Cuts {
		positions[e.Cuts[j].Server] = j
	}
	for u := range uses {
		j, ok := positions[u.Server]
		if ok && (e.Cuts[j].Whole || slices.Contains(e.Cuts[j].Lost, u.target())) {
			e.Cuts[j].Uses = append(e.Cuts[j].Uses, u)
		}
	}
	for j := range e.Cuts {
		slices.SortFunc(e.Cuts[j].Uses, func(a, b Use) int {
			return cmp.Or(cmp.Compare(b.Last, a.Last), cmp.Compare(a.Organisation, b.Organisation),
				compareTargets(a.target(), b.target()))
		})
	}
}

// ObservedRemaining returns the targets that still have servers after the note, for View.Observed of the agreement group.
func (e *Effects) ObservedRemaining() []ObservedTarget {
	var result []ObservedTarget
	for _, r := range e.Remaining {
		if r.After.Servers > 0 {
			result = append(result, ObservedTarget{r.Target.Kind, r.Target.Name, r.Target.Adapter, r.After.Servers})
		}
	}
	return result
}

func (v *View) uses() iter.Seq[Use] {
	if v.Uses == nil {
		return func(func(Use) bool) {}
	}
	return v.Uses
}

func (v *View) observedElsewhere(t fleet.Target) bool {
	return slices.ContainsFunc(v.Observed, func(o ObservedTarget) bool {
		return o.Kind == t.Kind && o.Name == t.Name && o.Adapter == t.Adapter && o.Servers > 0
	})
}

func (r *Remaining) addUses(uses iter.Seq[Use]) {
	added := make(map[fleet.Organisation]bool)
	for u := range uses {
		if !dependsOn(u.target(), r.Target) {
			continue
		}
		r.Used = true
		r.LastUse = max(r.LastUse, u.Last)
		if !added[u.Organisation] {
			added[u.Organisation] = true
			r.Organisations = append(r.Organisations, u.Organisation)
		}
	}
	slices.Sort(r.Organisations)
}

// addFindings adds refusals of outages that the note does not accept, and warnings.
func (e *Effects) addFindings(n *Note, v *View) {
	var f findings
	for _, r := range e.Remaining {
		losesActive := r.Before.Servers > 0 && r.After.Servers == 0
		losesAll := r.Before.Servers+r.Before.InOut > 0 && r.After.Servers+r.After.InOut == 0
		if !r.Used || (!losesActive && !losesAll) || v.observedElsewhere(r.Target) {
			continue
		}
		kind := KindModel
		if r.Target.Kind == fleet.KindService {
			kind = KindService
		}
		message := fmt.Sprintf("%s %s would have no server left; %s used it, last at %s", kind, describeTarget(r.Target),
			joinOrganisations(r.Organisations), time.Unix(r.LastUse, 0).UTC().Format(time.RFC3339))
		if r.Accepted {
			f.warn(OutageAccepted, "acceptOutage", message, "the note accepts this")
			continue
		}
		f.refuse(OutageRefused, "servers.withdraw", message, fmt.Sprintf(
			`keep a server, or add {"kind": %q, "name": %q} to acceptOutage`, kind, r.Target.Name))
	}
	for _, c := range e.Cuts {
		if c.Whole && len(c.Uses) == 0 {
			f.warn(NeverUsed, "servers.withdraw", fmt.Sprintf("no use of server %q is recorded", c.Server),
				"nothing is known to depend on it")
		}
	}
	if len(e.Cuts) > 0 && v.Now.Sub(v.RecordedSince) < MinRecordingTime {
		f.warn(ShortRecord, "", "uses have been recorded for less than a week",
			"a rare use may not have been seen yet; wait, or ask the organisations")
	}
	for j, o := range n.AcceptOutage {
		caused := slices.ContainsFunc(e.Remaining, func(r Remaining) bool {
			return r.Accepted && r.Target.Name == o.Name && r.After.Servers == 0
		})
		if !caused {
			f.warn(UnusedAcceptance, fmt.Sprintf("acceptOutage[%d]", j),
				fmt.Sprintf("the note causes no outage of %s %q", o.Kind, o.Name), "remove it, or check the spelling")
		}
	}
	e.Findings = f
}

func joinOrganisations(list []fleet.Organisation) string {
	const maxShown = 5
	names := make([]string, 0, maxShown)
	for _, o := range list[:min(len(list), maxShown)] {
		names = append(names, string(o))
	}
	text := strings.Join(names, ", ")
	if len(list) > maxShown {
		text += fmt.Sprintf(" and %d more", len(list)-maxShown)
	}
	return text
}

func compareTargets(a, b fleet.Target) int {
	return cmp.Or(cmp.Compare(a.Kind, b.Kind), cmp.Compare(a.Name, b.Name), cmp.Compare(a.Adapter, b.Adapter),
		cmp.Compare(a.Version, b.Version))
}

func sortedKeys(all map[fleet.ServerID]*knownServer) []fleet.ServerID {
	keys := make([]fleet.ServerID, 0, len(all))
	for id := range all {
		keys = append(keys, id)
	}
	slices.Sort(keys)
	return keys
}

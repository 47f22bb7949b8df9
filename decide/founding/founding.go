// Package founding decides how the voters of a new fleet found the agreement group exactly once. Member identifiers are
// random for each data folder, so the first configuration can only be written when all voters have told theirs. Two
// groups must never come to be, even if a voter loses its folder in the middle.
//
// One voter decides: the one with the lowest instance identifier. It waits until all other voters have pledged to its
// member identifier, and writes the list. Others take over a list that names their own member identifier. A voter whose
// identifier is on nobody's list while others are founded has lost its folder, and joins as a new member.
//
// A member identifier that has pledged to one decider never pledges to another: a decider that lost its folder has a new
// identifier, and whoever pledged to the old one draws a new identifier too. The old list can then gain no more members.
package founding

import (
	"slices"
	"time"

	"github.com/banyanfront/banyanfront/decide/fleet"
)

// freshFor is how long what a voter told counts. Voters tell each other once a second.
const freshFor = 3 * time.Second

// Member is a voter with the identifier of its data folder.
type Member struct {
	Instance fleet.InstanceID
	ID       uint64
	Address  string
}

// Report is what a voter tells about itself.
type Report struct {
	Self    Member
	Pledge  uint64   // member identifier of the decider whose list alone Self.ID may be on, 0 if none
	Founded bool     // its data folder belongs to a group
	Members []Member // the founding members, if they are decided
}

// Step is what a voter has to do.
type Step uint8

// Steps of a voter whose folder is new.
const (
	Wait  Step = iota // tell the others and wait
	Found             // write the founding members to the folder and start
	Join              // a group exists without this member: ask to be taken in
	Renew             // the decider has a new identifier: draw one too and begin again
)

type heard struct {
	report Report
	at     time.Time
}

// Voter is the founding state of one voter with a new folder.
type Voter struct {
	self   Member
	voters []fleet.InstanceID // sorted; the first one decides
	pledge uint64
	renew  bool
	heard  map[fleet.InstanceID]heard
}

// NewVoter returns the state of a voter. voters are the instances named in the settings, self included.
func NewVoter(self Member, voters []fleet.InstanceID) *Voter {
	sorted := slices.Clone(voters)
	slices.Sort(sorted)
	return &Voter{self: self, voters: sorted, heard: make(map[fleet.InstanceID]heard)}
}

// Report returns what the voter tells the others.
func (v *Voter) Report() Report { return Report{Self: v.self, Pledge: v.pledge} }

// Heard takes in what another voter told.
func (v *Voter) Heard(now time.Time, r Report) {
	if !slices.Contains(v.voters, r.Self.Instance) || r.Self.Instance == v.self.Instance {
		return
	}
	v.heard[r.Self.Instance] = heard{r, now}
	if r.Self.Instance != v.voters[0] || r.Founded {
		return
	}
	v.renew = v.renew || (v.pledge != 0 && v.pledge != r.Self.ID)
	v.pledge = r.Self.ID
}

// Next returns what to do, with the founding members for Found.
func (v *Voter) Next(now time.Time) (Step, []Member) {
	if v.renew {
		return Renew, nil
	}
	founded := false
	for _, id := range v.voters {
		h, ok := v.heard[id]
		if !ok || now.Sub(h.at) > freshFor {
			continue
		}
		if slices.Contains(h.report.Members, v.self) {
			return Found, h.report.Members
		}
		founded = founded || h.report.Founded
	}
	if founded {
		return Join, nil
	}
	if v.voters[0] != v.self.Instance {
		return Wait, nil
	}
	members := []Member{v.self}
	for _, id := range v.voters[1:] {
		h, ok := v.heard[id]
		if !ok || now.Sub(h.at) > freshFor || h.report.Pledge != v.self.ID {
			return Wait, nil
		}
		members = append(members, h.report.Self)
	}
	return Found, members
}

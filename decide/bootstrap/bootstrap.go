// Package bootstrap forms the agreement group of a new fleet from its voters, exactly once. Member
// identifiers are random for each data folder, so the initial member list can only be written once all voters have
// reported theirs. Two groups must never be formed, even if a voter loses its folder during the bootstrap.
//
// The voter with the lowest instance identifier is the coordinator. It waits until all other voters have pledged to its
// member identifier, then writes the member list. The others adopt a list that contains their own member identifier. A voter
// that is on no list while a group exists has lost its folder, and joins as a new member.
//
// A member identifier that has pledged to one coordinator never pledges to another: a coordinator that lost its folder has a
// new identifier, and each voter that pledged to the old one generates a new identifier too. The old list then cannot be
// adopted by any more members.
package bootstrap

import (
	"slices"
	"time"

	"github.com/banyanfront/banyanfront/decide/fleet"
)

// reportTTL is the time for which a voter's report is valid. Voters send reports once a second.
const reportTTL = 3 * time.Second

// Member is a voter with the member identifier of its data folder.
type Member struct {
	Instance fleet.InstanceID
	ID       uint64
	Address  string
}

// Report is the state that a voter sends to the others.
type Report struct {
	Self    Member
	Pledge  uint64   // member identifier of the only coordinator whose list may contain Self.ID, 0 if none
	Founded bool     // the voter's data folder belongs to a group
	Members []Member // the group's initial members, if they are decided
}

// Step is the next step of a voter.
type Step uint8

// Steps of a voter whose folder is new.
const (
	Wait      Step = iota // send reports and wait
	FormGroup             // write the initial members to the folder and start
	JoinGroup             // a group exists without this member: request admission
	RenewID               // the coordinator has a new identifier: generate one too and start again
)

type receivedReport struct {
	report     Report
	receivedAt time.Time
}

// Voter is the bootstrap state of one voter with a new folder.
type Voter struct {
	self        Member
	voters      []fleet.InstanceID // sorted; the first is the coordinator
	pledge      uint64
	mustRenewID bool
	reports     map[fleet.InstanceID]receivedReport
	memberAt    time.Time // when an instance that is not a voter last reported to belong to a group
}

// NewVoter returns the initial state of a voter. voters are the instances listed in the settings, including self.
func NewVoter(self Member, voters []fleet.InstanceID) *Voter {
	sorted := slices.Clone(voters)
	slices.Sort(sorted)
	return &Voter{self: self, voters: sorted, reports: make(map[fleet.InstanceID]receivedReport)}
}

// Report returns the report to send to the other voters.
func (v *Voter) Report() Report { return Report{Self: v.self, Pledge: v.pledge} }

// ReceiveReport processes another instance's report. Of an instance that is not a voter it only counts that a group exists.
func (v *Voter) ReceiveReport(now time.Time, r Report) {
	if r.Self.Instance == v.self.Instance {
		return
	}
	if !slices.Contains(v.voters, r.Self.Instance) {
		if r.Founded {
			v.memberAt = now
		}
		return
	}
	v.reports[r.Self.Instance] = receivedReport{r, now}
	if r.Self.Instance != v.voters[0] || r.Founded {
		return
	}
	v.mustRenewID = v.mustRenewID || (v.pledge != 0 && v.pledge != r.Self.ID)
	v.pledge = r.Self.ID
}

// NextStep returns the next step and, for FormGroup, the initial members.
func (v *Voter) NextStep(now time.Time) (Step, []Member) {
	if v.mustRenewID {
		return RenewID, nil
	}
	groupExists := !v.memberAt.IsZero() && now.Sub(v.memberAt) <= reportTTL
	for _, id := range v.voters {
		received, ok := v.reports[id]
		if !ok || now.Sub(received.receivedAt) > reportTTL {
			continue
		}
		if slices.Contains(received.report.Members, v.self) {
			return FormGroup, received.report.Members
		}
		groupExists = groupExists || received.report.Founded
	}
	if groupExists {
		return JoinGroup, nil
	}
	if v.voters[0] != v.self.Instance {
		return Wait, nil
	}
	members := []Member{v.self}
	for _, id := range v.voters[1:] {
		received, ok := v.reports[id]
		if !ok || now.Sub(received.receivedAt) > reportTTL || received.report.Pledge != v.self.ID {
			return Wait, nil
		}
		members = append(members, received.report.Self)
	}
	return FormGroup, members
}

package directory

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/apex/log"

	"github.com/banyanfront/banyanfront/decide/bootstrap"
	"github.com/banyanfront/banyanfront/decide/consensus"
	"github.com/banyanfront/banyanfront/decide/fleet"
	"github.com/banyanfront/banyanfront/internal/groupmember"
	"github.com/banyanfront/banyanfront/internal/protocol"
)

const (
	// replaceAfter is the silence after which a joiner replaces a voter: the replacement for a lost machine must vote within
	// 4 s, because another machine may be lost after that.
	replaceAfter = 2500 * time.Millisecond
	// suspectAfter is the silence of a voter after which joiners are refused until it is clear whether it is replaced.
	suspectAfter = time.Second
	// promoteAfter is the silence of a voter after which a learner is promoted: longer than a restart including log catch-up.
	promoteAfter = 6 * time.Second
)

// instanceAt returns the identifier of a control instance: its inner address, which is what the founders' settings name.
func instanceAt(address string) fleet.InstanceID { return fleet.InstanceID(address) }

// admit decides how the leader adds a control instance: as the replacement for the voter at its address or for a silent
// voter, as an additional voter while there are fewer than configured, otherwise as a learner.
func (d *Directory) admit(joiner bootstrap.Member, members consensus.Members, silence map[consensus.ID]time.Duration) groupmember.Admission {
	if at := groupmember.MemberAtAddress(joiner, members); at != 0 {
		return groupmember.Admission{Replaces: at}
	}
	suspected := false
	for _, m := range members.List {
		if !m.Learner && silence[m.ID] > replaceAfter {
			return groupmember.Admission{Replaces: m.ID}
		}
		suspected = suspected || !m.Learner && silence[m.ID] > suspectAfter
	}
	if suspected {
		return groupmember.Admission{Refuse: true} // the joiner retries
	}
	return groupmember.Admission{Learner: members.Voters() >= d.config.Voters}
}

// SetSeeds replaces the inner addresses of control instances after a change of the settings. The founders remain those
// of the start.
func (d *Directory) SetSeeds(addresses []string) {
	d.post(func(time.Time) {
		log.WithField("controls", addresses).Info("addresses of control instances changed in the settings")
		d.seeds = addresses
	})
}

// maintainVoters promotes a learner while voters are silent, and removes silent voters in excess of the configured number.
// It does nothing unless this instance leads.
func (d *Directory) maintainVoters(now time.Time) {
	r := d.member.Replica()
	if _, leads := d.member.Leads(); !leads {
		return
	}
	members, silence := r.Status().Members, d.member.Silence(now)
	change, ok := nextVoterChange(members, silence, d.config.Voters)
	if !ok {
		return
	}
	log.WithFields(log.Fields{"promote": uint64(change.Promote), "remove": uint64(change.Remove), "voters": members.Voters(),
		"silentMs": silence[change.Remove].Milliseconds()}).Warn("the voters of the agreement group change")
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), upkeepInterval)
		defer cancel()
		if err := r.ChangeMembers(ctx, change); err != nil {
			log.WithError(err).Info("change of voters not committed; retrying at the next tick")
		}
	}()
}

// nextVoterChange returns the next change of the voters, false if none is needed. wanted is their configured number.
func nextVoterChange(members consensus.Members, silence map[consensus.ID]time.Duration, wanted int) (consensus.Change, bool) {
	var silentVoter, promotableLearner consensus.ID
	activeVoters := 0
	for _, m := range members.List {
		switch isSilent := silence[m.ID] > promoteAfter; {
		case m.Learner && !m.Promote && !isSilent:
			promotableLearner = m.ID
		case !m.Learner && isSilent:
			silentVoter = m.ID
		case !m.Learner, m.Promote:
			activeVoters++ // a voter, or about to be one
		}
	}
	switch {
	case promotableLearner != 0 && activeVoters < wanted:
		return consensus.Change{Promote: promotableLearner}, true
	case silentVoter != 0 && members.Voters() > wanted:
		return consensus.Change{Remove: silentVoter}, true
	}
	return consensus.Change{}, false
}

// controlAddresses returns the inner addresses of the other control instances.
func (d *Directory) controlAddresses() []string {
	addresses := slices.Clone(d.seeds)
	if r := d.member.Replica(); r != nil {
		for _, m := range r.Status().Members.List {
			addresses = append(addresses, m.Address)
		}
	}
	addresses = slices.AppendSeq(addresses, maps.Values(d.controlSessions))
	addresses = slices.DeleteFunc(addresses, func(a string) bool { return a == d.config.Address })
	slices.Sort(addresses)
	return slices.Compact(addresses)
}

func (d *Directory) countEntryInstances() int {
	instances := map[string]bool{}
	for session := range d.entrySessions {
		instances[string(session.Peer().Instance)] = true
	}
	return len(instances)
}

// broadcastRoster sends the roster to all sessions if it has changed.
func (d *Directory) broadcastRoster() {
	roster := d.roster()
	if d.sentRoster == nil || d.sentRoster.EntryInstances != roster.EntryInstances || d.sentRoster.Leader != roster.Leader ||
		!slices.Equal(d.sentRoster.Addresses, roster.Addresses) {
		d.sentRoster = roster
		d.broadcast(roster)
		for session := range d.controlSessions {
			d.send(session, roster)
		}
		for session := range d.rankSessions {
			d.send(session, roster)
		}
	}
}

// roster returns the addresses of the control instances, and whether this one leads.
func (d *Directory) roster() *protocol.ControlInstances {
	term, leads := d.member.Leads()
	return &protocol.ControlInstances{Addresses: append(d.controlAddresses(), d.config.Address), EntryInstances: d.countEntryInstances(), Leader: leads, Term: term}
}

package directory

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/apex/log"

	"github.com/banyanfront/banyanfront/decide/bootstrap"
	"github.com/banyanfront/banyanfront/decide/consensus"
	"github.com/banyanfront/banyanfront/decide/coordination"
	"github.com/banyanfront/banyanfront/decide/fleet"
	"github.com/banyanfront/banyanfront/internal/groupmember"
	"github.com/banyanfront/banyanfront/internal/protocol"
	"github.com/banyanfront/banyanfront/internal/transport"
)

const (
	// replaceAfter is the silence after which a joiner or a learner replaces a voter: the replacement for a lost machine must
	// vote within 4 s, because another machine may be lost after that.
	replaceAfter = 2500 * time.Millisecond
	// suspectAfter is the silence of a voter after which joiners are refused until it is clear whether it is replaced.
	suspectAfter = time.Second
	// removeAfter is the silence after which a voter in excess of the configured number is removed: longer than a restart
	// including log catch-up.
	removeAfter = 6 * time.Second
)

// instanceAt returns the identifier of a control instance: its inner address, which is what the founders' settings name.
func instanceAt(address string) fleet.InstanceID { return fleet.InstanceID(address) }

// admit decides how the leader adds a control instance: as the replacement for the voter at its address or for a silent
// voter, as an additional voter while there are fewer than configured, otherwise as a learner.
func (d *Directory) admit(joiner bootstrap.Member, members consensus.Members, silence map[consensus.ID]time.Duration) groupmember.Admission {
	if at := groupmember.MemberAtAddress(joiner, members); at != 0 {
		return groupmember.Admission{Replaces: at, Learner: !members.IsVoter(at) && futureVoters(members) >= d.config.Voters}
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
	return groupmember.Admission{Learner: futureVoters(members) >= d.config.Voters}
}

// futureVoters returns the number of voters once the learners that are to be promoted, and replace nobody, have become voters.
func futureVoters(members consensus.Members) int {
	voters := members.Voters()
	for _, m := range members.List {
		if m.Learner && m.Promote && !members.IsVoter(m.Replaces) {
			voters++
		}
	}
	return voters
}

// SetSeeds replaces the inner addresses of control instances after a change of the settings. The founders remain those
// of the start.
func (d *Directory) SetSeeds(addresses []string) {
	d.post(func(time.Time) {
		log.WithField("controls", addresses).Info("addresses of control instances changed in the settings")
		d.seeds = addresses
	})
}

// maintainVoters replaces silent voters by learners, and removes silent voters in excess of the configured number.
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
	log.WithFields(log.Fields{"promote": uint64(change.Promote), "replaces": uint64(change.Replaces), "remove": uint64(change.Remove),
		"voters": members.Voters(), "silentMs": silence[max(change.Remove, change.Replaces)].Milliseconds()}).Warn("the voters of the agreement group change")
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), upkeepInterval)
		defer cancel()
		if err := r.ChangeMembers(ctx, change); err != nil {
			log.WithError(err).Info("change of voters not committed; retrying at the next tick")
		}
	}()
}

// answeringInstances returns this control instance and those members of the agreement group that have sent a message
// recently.
func (d *Directory) answeringInstances(now time.Time) []coordination.Instance {
	r := d.member.Replica()
	if r == nil {
		return nil
	}
	dataCentres := map[string]string{}
	if known := d.dataCentres.Load(); known != nil {
		dataCentres = *known
	}
	silence := d.member.Silence(now)
	var out []coordination.Instance
	for _, m := range r.Status().Members.List {
		if silence[m.ID] <= silentAfter {
			out = append(out, coordination.Instance{Address: m.Address, DataCentre: dataCentres[m.Address], Leads: m.Address == d.config.Address})
		}
	}
	return out
}

// voterCounts are the configured voters, those in the agreement group and those of them that have answered recently.
type voterCounts struct{ Wanted, Voters, Answering int }

// countVoters counts the voters of the agreement group.
func countVoters(members consensus.Members, silence map[consensus.ID]time.Duration, wanted int) voterCounts {
	counts := voterCounts{Wanted: wanted, Voters: members.Voters()}
	for _, m := range members.List {
		if !m.Learner && silence[m.ID] <= suspectAfter {
			counts.Answering++
		}
	}
	return counts
}

// reportRedundancy publishes the voter counts on the leader, and logs when redundancy is lost and restored. Another
// instance publishes 0 voters.
func (d *Directory) reportRedundancy(now time.Time) {
	counts := voterCounts{Wanted: d.config.Voters}
	r := d.member.Replica()
	_, leads := d.member.Leads()
	if leads {
		counts = countVoters(r.Status().Members, d.member.Silence(now), d.config.Voters)
	}
	metrics.GetOrCreateGauge(`banyanfront_control_voters{count="wanted"}`, nil).Set(float64(counts.Wanted))
	metrics.GetOrCreateGauge(`banyanfront_control_voters{count="members"}`, nil).Set(float64(counts.Voters))
	metrics.GetOrCreateGauge(`banyanfront_control_voters{count="answering"}`, nil).Set(float64(counts.Answering))
	if !leads {
		d.redundancyLostAt = time.Time{}
		return
	}
	switch full := counts.Answering >= counts.Wanted; {
	case !full && d.redundancyLostAt.IsZero():
		d.redundancyLostAt = now
		log.WithFields(log.Fields{"wanted": counts.Wanted, "voters": counts.Voters, "answering": counts.Answering}).
			Warn("the agreement group runs without full redundancy")
	case full && !d.redundancyLostAt.IsZero():
		log.WithFields(log.Fields{"voters": counts.Voters, "forMs": now.Sub(d.redundancyLostAt).Milliseconds()}).
			Info("the agreement group has full redundancy again")
		d.redundancyLostAt = time.Time{}
	}
}

// nextVoterChange returns the next change of the voters, false if none is needed. wanted is their configured number. A learner that
// is to replace a voter and has fallen silent itself does not keep another one from doing so.
func nextVoterChange(members consensus.Members, silence map[consensus.ID]time.Duration, wanted int) (consensus.Change, bool) {
	var silentVoter, promotableLearner consensus.ID
	beingReplaced := map[consensus.ID]bool{}
	promoting := 0
	for _, m := range members.List {
		if silence[m.ID] > replaceAfter {
			continue
		}
		beingReplaced[m.Replaces] = m.Replaces != 0
		if m.Promote {
			promoting++
		}
	}
	for _, m := range members.List {
		switch {
		case m.Learner && !m.Promote && silence[m.ID] <= replaceAfter:
			promotableLearner = m.ID
		case !m.Learner && !beingReplaced[m.ID] && silence[m.ID] > max(silence[silentVoter], replaceAfter):
			silentVoter = m.ID
		}
	}
	voters := members.Voters()
	switch {
	case promotableLearner != 0 && voters+promoting < wanted:
		return consensus.Change{Promote: promotableLearner}, true
	case promotableLearner != 0 && silentVoter != 0 && voters <= wanted:
		return consensus.Change{Promote: promotableLearner, Replaces: silentVoter}, true
	case silentVoter != 0 && silence[silentVoter] > removeAfter && voters > wanted:
		return consensus.Change{Remove: silentVoter}, true
	}
	return consensus.Change{}, false
}

// controlAddresses returns the inner addresses of the other control instances that this one knows from its settings, the
// agreement group or a session.
func (d *Directory) controlAddresses() []string {
	addresses := slices.Clone(d.seeds)
	if r := d.member.Replica(); r != nil {
		for _, m := range r.Status().Members.List {
			addresses = append(addresses, m.Address)
		}
	}
	return d.otherAddresses(slices.AppendSeq(addresses, maps.Values(d.controlSessions)))
}

// dialAddresses returns the inner addresses of all control instances to open sessions to, including those that only others
// know: the settings of a new machine may name no instance that still runs except one that does not lead.
func (d *Directory) dialAddresses() []string {
	addresses := d.controlAddresses()
	for _, reported := range d.reportedAddresses {
		addresses = append(addresses, reported...)
	}
	return d.otherAddresses(addresses)
}

// otherAddresses sorts addresses and removes duplicates and that of this instance.
func (d *Directory) otherAddresses(addresses []string) []string {
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
		!slices.Equal(d.sentRoster.Addresses, roster.Addresses) || !slices.Equal(d.sentRoster.Coordinators, roster.Coordinators) {
		d.sentRoster = roster
		d.broadcast(roster)
		for session := range d.controlSessions {
			transport.TrySend(session, roster)
		}
		for session := range d.rankSessions {
			transport.TrySend(session, roster)
		}
	}
}

// roster returns the addresses of the control instances, whether this one leads, and the coordinators of the groups.
func (d *Directory) roster() *protocol.ControlInstances {
	term, leads := d.member.Leads()
	return &protocol.ControlInstances{Addresses: append(d.controlAddresses(), d.config.Address), EntryInstances: d.countEntryInstances(), Leader: leads, Term: term,
		Coordinators: d.State().Coordinators}
}

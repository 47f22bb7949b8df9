package directory

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/apex/log"

	"github.com/banyanfront/banyanfront/decide/consensus"
	"github.com/banyanfront/banyanfront/decide/fleet"
	"github.com/banyanfront/banyanfront/decide/founding"
	"github.com/banyanfront/banyanfront/internal/protocol"
	"github.com/banyanfront/banyanfront/internal/voter"
)

const (
	// replaceAfter is the silence after which a joiner takes a voter's place: a machine that stands in for one that is gone
	// must vote within the 4 s after which another one may be lost.
	replaceAfter = 2500 * time.Millisecond
	// doubtAfter is the silence of a voter after which a joiner waits to be told whether it takes that voter's place.
	doubtAfter = time.Second
	// promoteAfter is the silence of a voter after which a learner votes in its stead: longer than a restart with catching up.
	promoteAfter = 6 * time.Second
)

// instanceAt names a control instance by its inner address, which the founders know of each other.
func instanceAt(address string) fleet.InstanceID { return fleet.InstanceID(address) }

// admit lets the leader take in a control instance: in place of the voter at its address or of one that has fallen silent,
// as a further voter while there are few, else as a learner.
func (d *Directory) admit(joiner founding.Member, members consensus.Members, silent map[consensus.ID]time.Duration) voter.Admission {
	if at := voter.AtAddress(joiner, members); at != 0 {
		return voter.Admission{Replaces: at}
	}
	doubt := false
	for _, m := range members.List {
		if !m.Learner && silent[m.ID] > replaceAfter {
			return voter.Admission{Replaces: m.ID}
		}
		doubt = doubt || !m.Learner && silent[m.ID] > doubtAfter
	}
	if doubt {
		return voter.Admission{Refuse: true} // it asks again
	}
	return voter.Admission{Learner: members.Voters() >= d.config.Voters}
}

// SetSeeds replaces the control instances that the settings name. The founders stay those of the start.
func (d *Directory) SetSeeds(addresses []string) {
	d.post(func(time.Time) {
		log.WithField("controls", addresses).Info("control instances of the settings have changed")
		d.seeds = addresses
	})
}

// keepVoters makes a learner a voter while voters are silent, and removes silent voters beyond the number that is wanted.
// Only the leader does.
func (d *Directory) keepVoters(now time.Time) {
	r := d.member.Replica()
	if _, leads := d.member.Leads(); !leads {
		return
	}
	members, silent := r.Status().Members, d.member.Silent(now)
	change, ok := wantedChange(members, silent, d.config.Voters)
	if !ok {
		return
	}
	log.WithFields(log.Fields{"promote": uint64(change.Promote), "remove": uint64(change.Remove), "voters": members.Voters(),
		"silentMs": silent[change.Remove].Milliseconds()}).Warn("the voters of the agreement group change")
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), tickInterval)
		defer cancel()
		if err := r.ChangeMembers(ctx, change); err != nil {
			log.WithError(err).Info("the voters have not changed yet; the next round tries again")
		}
	}()
}

// wantedChange returns the next change of the voters.
func wantedChange(members consensus.Members, silent map[consensus.ID]time.Duration, wanted int) (consensus.Change, bool) {
	var quiet, spare consensus.ID
	live := 0
	for _, m := range members.List {
		switch gone := silent[m.ID] > promoteAfter; {
		case m.Learner && !m.Promote && !gone:
			spare = m.ID
		case !m.Learner && gone:
			quiet = m.ID
		case !m.Learner, m.Promote:
			live++ // a voter, or about to be one
		}
	}
	switch {
	case spare != 0 && live < wanted:
		return consensus.Change{Promote: spare}, true
	case quiet != 0 && members.Voters() > wanted:
		return consensus.Change{Remove: quiet}, true
	}
	return consensus.Change{}, false
}

// controls returns the inner addresses of the other control instances.
func (d *Directory) controls() []string {
	addresses := slices.Clone(d.seeds)
	if r := d.member.Replica(); r != nil {
		for _, m := range r.Status().Members.List {
			addresses = append(addresses, m.Address)
		}
	}
	addresses = slices.AppendSeq(addresses, maps.Values(d.peers))
	addresses = slices.DeleteFunc(addresses, func(a string) bool { return a == d.config.Address })
	slices.Sort(addresses)
	return slices.Compact(addresses)
}

func (d *Directory) countEntries() int {
	instances := map[string]bool{}
	for session := range d.watchers {
		instances[string(session.Peer().Instance)] = true
	}
	return len(instances)
}

// tellRoster tells everybody of the control instances, if anything has changed.
func (d *Directory) tellRoster() {
	roster := d.roster()
	if d.lastRoster == nil || d.lastRoster.Entries != roster.Entries || d.lastRoster.Leader != roster.Leader ||
		!slices.Equal(d.lastRoster.Addresses, roster.Addresses) {
		d.lastRoster = roster
		d.broadcast(roster)
		for session := range d.peers {
			d.send(session, roster)
		}
		for session := range d.ranks {
			d.send(session, roster)
		}
	}
}

// roster tells which control instances there are.
func (d *Directory) roster() *protocol.Controls {
	term, leads := d.member.Leads()
	return &protocol.Controls{Addresses: append(d.controls(), d.config.Address), Entries: d.countEntries(), Leader: leads, Term: term}
}

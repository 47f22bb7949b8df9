package agreement

import (
	"context"
	"crypto/rand"
	"time"

	"github.com/apex/log"

	"github.com/banyanfront/banyanfront/decide/fleet"
	"github.com/banyanfront/banyanfront/decide/statemachine"
	"github.com/banyanfront/banyanfront/internal/protocol"
)

// logEvacuationTimeout bounds one attempt to add an evacuation to the log; gossipUnlogged retries it.
const logEvacuationTimeout = 900 * time.Millisecond

// Evacuate evacuates a data centre at once, here and on all instances that gossip reaches, and adds the record to the log.
// It returns the current record, and whether the log contains it. If the group is unreachable until the context ends, the
// record stays effective on the instances that have received it. They gossip it to each other and retry until it is in the
// log: it is lost only if all of them stop before.
func (s *Service) Evacuate(ctx context.Context, name fleet.DataCentre, author, reason string, at time.Time) (statemachine.DataCentreRecord, bool) {
	s.mu.Lock()
	record := statemachine.NextEvacuation(statemachine.MergeDataCentres(s.view.DataCentres, s.gossipRecords), name, author, reason, at.Unix())
	s.gossipRecords = statemachine.MergeDataCentres(s.gossipRecords, []statemachine.DataCentreRecord{record})
	s.publishToLoop()
	s.mu.Unlock()
	s.sendUnlogged()
	return record, s.logEvacuation(ctx, record)
}

// logEvacuation adds a record to the log. It reports whether the log contains it or one that takes precedence over it.
func (s *Service) logEvacuation(ctx context.Context, record statemachine.DataCentreRecord) bool {
	result, err := s.Propose(ctx, rand.Text(), &statemachine.EvacuateDataCentre{Record: record})
	if err != nil {
		log.WithError(err).WithField("dataCentre", record.Name).Warn("evacuation is applied locally but not in the log yet")
		return false
	}
	return result.Accepted()
}

// Restore restores an evacuated data centre. This needs a quorum of the agreement group.
func (s *Service) Restore(ctx context.Context, name fleet.DataCentre, author, reason string, at time.Time) (*statemachine.Result, error) {
	observed := statemachine.FindDataCentre(s.DataCentres(), name)
	return s.Propose(ctx, rand.Text(), &statemachine.RestoreDataCentre{
		Name: name, ObservedTerm: observed.Term, Author: author, Reason: reason, At: at.Unix(),
	})
}

// DataCentres returns the records of all data centres that have ever been evacuated.
func (s *Service) DataCentres() []statemachine.DataCentreRecord {
	s.mu.Lock()
	defer s.mu.Unlock()
	return statemachine.MergeDataCentres(s.view.DataCentres, s.gossipRecords)
}

// unloggedRecords returns the records that the log does not contain yet, and drops the others from gossipRecords.
func (s *Service) unloggedRecords() []statemachine.DataCentreRecord {
	s.mu.Lock()
	defer s.mu.Unlock()
	kept := s.gossipRecords[:0:0]
	for _, record := range s.gossipRecords {
		if record.Compare(statemachine.FindDataCentre(s.view.DataCentres, record.Name)) > 0 {
			kept = append(kept, record)
		}
	}
	s.gossipRecords = kept
	return kept
}

// gossipUnlogged resends the records that are not in the log yet to all reachable entry instances, and retries adding them
// to the log.
func (s *Service) gossipUnlogged(ctx context.Context) {
	records := s.unloggedRecords()
	if len(records) == 0 {
		return
	}
	s.sendUnlogged()
	for _, record := range records {
		go func() {
			ctx, cancel := context.WithTimeout(ctx, logEvacuationTimeout)
			defer cancel()
			s.logEvacuation(ctx, record)
		}()
	}
}

// sendUnlogged sends the records that are not in the log yet to all reachable entry instances.
func (s *Service) sendUnlogged() {
	data, err := protocol.EncodeDataCentres(s.unloggedRecords())
	if err != nil {
		log.WithError(err).Error("data centre records could not be encoded")
		return
	}
	message := &protocol.DataCentres{Payload: data}
	for _, sessions := range s.loop.View().AllPeers() {
		for _, session := range sessions {
			_ = session.Send(message)
		}
	}
}

// dataCentresReceived merges the records of another instance, and forwards them if any record changes.
func (s *Service) dataCentresReceived(m *protocol.DataCentres) {
	records, err := protocol.DecodeDataCentres(m.Payload)
	if err != nil {
		log.WithError(err).Warn("data centre records could not be decoded")
		return
	}
	s.mu.Lock()
	before := statemachine.MergeDataCentres(s.view.DataCentres, s.gossipRecords)
	s.gossipRecords = statemachine.MergeDataCentres(s.gossipRecords, records)
	after := statemachine.MergeDataCentres(s.view.DataCentres, s.gossipRecords)
	changed := len(before) != len(after)
	for i := 0; !changed && i < len(after); i++ {
		changed = after[i] != before[i]
	}
	if changed {
		s.publishToLoop()
	}
	s.mu.Unlock()
	if changed {
		s.sendUnlogged()
	}
}

package agreement

import (
	"context"
	"crypto/rand"
	"time"

	"github.com/apex/log"

	"github.com/banyanfront/banyanfront/decide/agreed"
	"github.com/banyanfront/banyanfront/decide/fleet"
	"github.com/banyanfront/banyanfront/internal/protocol"
)

// logOutTimeout bounds one try to enter an out into the log; gossip repeats it.
const logOutTimeout = 900 * time.Millisecond

// TakeOut takes a data centre out at once, here and wherever the word reaches, and enters it into the log. It returns
// the record in force, and whether the log holds it. If the group cannot be reached before the context ends, the record
// stays in force on the instances that heard of it, which repeat it to each other and try to enter it until it is in the
// log: it is lost only if all of them stop before.
func (s *Service) TakeOut(ctx context.Context, name fleet.DataCentre, author, reason string, at time.Time) (agreed.DataCentreRecord, bool) {
	s.mu.Lock()
	record := agreed.NextEvacuation(agreed.MergeDataCentres(s.view.DataCentres, s.heard), name, author, reason, at.Unix())
	s.heard = agreed.MergeDataCentres(s.heard, []agreed.DataCentreRecord{record})
	s.publish()
	s.mu.Unlock()
	s.tellCentres()
	return record, s.logOut(ctx, record)
}

// logOut enters a record into the log. It reports whether the log holds it, or one that goes before it.
func (s *Service) logOut(ctx context.Context, record agreed.DataCentreRecord) bool {
	result, err := s.Propose(ctx, rand.Text(), &agreed.EvacuateDataCentre{Record: record})
	if err != nil {
		log.WithError(err).WithField("dataCentre", record.Name).Warn("out is in force here but not in the log yet")
		return false
	}
	return result.Accepted()
}

// BringIn brings a data centre back. Only the group can.
func (s *Service) BringIn(ctx context.Context, name fleet.DataCentre, author, reason string, at time.Time) (*agreed.Result, error) {
	seen := agreed.FindDataCentre(s.Centres(), name)
	return s.Propose(ctx, rand.Text(), &agreed.RestoreDataCentre{
		Name: name, ObservedTerm: seen.Term, Author: author, Reason: reason, At: at.Unix(),
	})
}

// Centres returns the records of all data centres that were ever taken out.
func (s *Service) Centres() []agreed.DataCentreRecord {
	s.mu.Lock()
	defer s.mu.Unlock()
	return agreed.MergeDataCentres(s.view.DataCentres, s.heard)
}

// unlogged returns the records that the log does not hold yet, and forgets the others.
func (s *Service) unlogged() []agreed.DataCentreRecord {
	s.mu.Lock()
	defer s.mu.Unlock()
	kept := s.heard[:0:0]
	for _, record := range s.heard {
		if record.Compare(agreed.FindDataCentre(s.view.DataCentres, record.Name)) > 0 {
			kept = append(kept, record)
		}
	}
	s.heard = kept
	return kept
}

// gossip repeats what is not in the log yet to all entry instances in reach, and tries to enter it.
func (s *Service) gossip(ctx context.Context) {
	records := s.unlogged()
	if len(records) == 0 {
		return
	}
	s.tellCentres()
	for _, record := range records {
		go func() {
			ctx, cancel := context.WithTimeout(ctx, logOutTimeout)
			defer cancel()
			s.logOut(ctx, record)
		}()
	}
}

// tellCentres sends the records that are not in the log yet to all entry instances in reach.
func (s *Service) tellCentres() {
	data, err := protocol.EncodeDataCentres(s.unlogged())
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

// centresReceived merges records of another instance and passes on what is new.
func (s *Service) centresReceived(m *protocol.DataCentres) {
	records, err := protocol.DecodeDataCentres(m.Payload)
	if err != nil {
		log.WithError(err).Warn("data centre records not understood")
		return
	}
	s.mu.Lock()
	before := agreed.MergeDataCentres(s.view.DataCentres, s.heard)
	s.heard = agreed.MergeDataCentres(s.heard, records)
	after := agreed.MergeDataCentres(s.view.DataCentres, s.heard)
	news := len(before) != len(after)
	for i := 0; !news && i < len(after); i++ {
		news = after[i] != before[i]
	}
	if news {
		s.publish()
	}
	s.mu.Unlock()
	if news {
		s.tellCentres()
	}
}

package agreement

import (
	"fmt"
	"time"

	"github.com/banyanfront/banyanfront/decide/agreed"
	"github.com/banyanfront/banyanfront/decide/fleet"
	"github.com/banyanfront/banyanfront/internal/account"
)

// recorded is what the account holds already, so that a restart that replays the log adds nothing twice.
type recorded struct {
	note       uint64 // number of the newest note
	centres    map[fleet.DataCentre]agreed.DataCentreRecord
	diskFailed bool
	diskKnown  bool // the state of the disk was looked at since the start
}

const noteSubject = "note %d"

func newRecorded(q *account.Queue) recorded {
	r := recorded{centres: make(map[fleet.DataCentre]agreed.DataCentreRecord)}
	_, _ = fmt.Sscanf(q.LastSubject(account.NoteAccepted), noteSubject, &r.note) // 0 if no note was recorded
	return r
}

// NoteSubject names a release note in the account.
func NoteSubject(number uint64) string { return fmt.Sprintf(noteSubject, number) }

// recordNotes writes to the account which release notes the view in force has newly taken in. After the whole view was
// fetched, only the newest note is known. The caller holds the lock.
func (s *Service) recordNotes(now time.Time, changes []*agreed.Change) {
	record := func(number uint64, author, digest string) {
		if number <= s.recorded.note {
			return
		}
		s.recorded.note = number
		s.config.Account.Record(account.Entry{Time: now, Kind: account.NoteAccepted, Subject: NoteSubject(number),
			Reason: fmt.Sprintf("by %s, digest %s", author, digest)})
	}
	for _, change := range changes {
		if change.Note != nil {
			record(change.Note.Number, change.Note.Author, change.Note.Digest().String())
		}
	}
	if config := s.view.Config; config != nil {
		record(config.Number, config.Author, config.Digest.String())
	}
}

// recordCentres writes to the account which data centres are newly taken out or brought back. The caller holds the lock.
func (s *Service) recordCentres(now time.Time, centres []agreed.DataCentreRecord) {
	for _, record := range centres {
		before, known := s.recorded.centres[record.Name]
		s.recorded.centres[record.Name] = record
		if known && before == record {
			continue
		}
		if !known && record.Out == s.config.Account.WasOpen(account.DataCentreEvacuated, string(record.Name)) {
			continue // an earlier process recorded it, or it was never out here
		}
		kind := account.DataCentreRestored
		if record.Out {
			kind = account.DataCentreEvacuated
		}
		reason := fmt.Sprintf("by %s, term %d", record.Author, record.Term)
		if record.Reason != "" {
			reason += ": " + record.Reason
		}
		s.config.Account.Record(account.Entry{Time: now, Kind: kind, Subject: string(record.Name), Reason: reason})
	}
}

// recordDisk writes to the account whether the member of the agreement group has stopped voting because of its disk.
func (s *Service) recordDisk(now time.Time) {
	r := s.replica()
	if r == nil {
		return
	}
	failure := r.Status().Failure
	before := s.recorded.diskFailed
	if !s.recorded.diskKnown {
		before = s.config.Account.WasOpen(account.DiskFailed, string(s.config.Instance))
	}
	s.recorded.diskKnown, s.recorded.diskFailed = true, failure != nil
	switch {
	case failure != nil && !before:
		s.config.Account.Record(account.Entry{Time: now, Kind: account.DiskFailed, Subject: string(s.config.Instance), Reason: failure.Error()})
	case failure == nil && before:
		s.config.Account.Record(account.Entry{Time: now, Kind: account.DiskRecovered, Subject: string(s.config.Instance)})
	}
}

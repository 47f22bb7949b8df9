package agreement

import (
	"fmt"
	"time"

	"github.com/banyanfront/banyanfront/decide/fleet"
	"github.com/banyanfront/banyanfront/decide/statemachine"
	"github.com/banyanfront/banyanfront/internal/account"
)

// recordedEvents tracks which events the account contains, so that a restart that replays the log records none twice.
type recordedEvents struct {
	newestNote  uint64 // number of the newest note
	dataCentres map[fleet.DataCentre]statemachine.DataCentreRecord
	diskFailed  bool
	diskChecked bool // the disk has been checked since the start
}

const noteSubject = "note %d"

func newRecordedEvents(q *account.Queue) recordedEvents {
	r := recordedEvents{dataCentres: make(map[fleet.DataCentre]statemachine.DataCentreRecord)}
	_, _ = fmt.Sscanf(q.LastSubject(account.NoteAccepted), noteSubject, &r.newestNote) // stays 0 if no note was recorded
	return r
}

// NoteSubject returns the subject under which the account records a release note.
func NoteSubject(number uint64) string { return fmt.Sprintf(noteSubject, number) }

// recordNotes records newly accepted release notes in the account. After a fetch of the whole view, only the newest note
// is known. The caller holds the lock.
func (s *Service) recordNotes(now time.Time, changes []*statemachine.Change) {
	record := func(number uint64, author, digest string) {
		if number <= s.recorded.newestNote {
			return
		}
		s.recorded.newestNote = number
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

// recordDataCentres records in the account which data centres were newly evacuated or restored. The caller holds the lock.
func (s *Service) recordDataCentres(now time.Time, records []statemachine.DataCentreRecord) {
	for _, record := range records {
		before, known := s.recorded.dataCentres[record.Name]
		s.recorded.dataCentres[record.Name] = record
		if known && before == record {
			continue
		}
		if !known && record.Out == s.config.Account.WasOpen(account.DataCentreEvacuated, string(record.Name)) {
			continue // recorded before a restart, or never seen evacuated here
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

// recordDisk records in the account when the local member of the agreement group stops voting because of its disk, and
// when it resumes.
func (s *Service) recordDisk(now time.Time) {
	r := s.replica()
	if r == nil {
		return
	}
	failure := r.Status().Failure
	before := s.recorded.diskFailed
	if !s.recorded.diskChecked {
		before = s.config.Account.WasOpen(account.DiskFailed, string(s.config.Instance))
	}
	s.recorded.diskChecked, s.recorded.diskFailed = true, failure != nil
	switch {
	case failure != nil && !before:
		s.config.Account.Record(account.Entry{Time: now, Kind: account.DiskFailed, Subject: string(s.config.Instance), Reason: failure.Error()})
	case failure == nil && before:
		s.config.Account.Record(account.Entry{Time: now, Kind: account.DiskRecovered, Subject: string(s.config.Instance)})
	}
}

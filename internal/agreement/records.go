package agreement

import (
	"iter"
	"slices"
	"time"

	"github.com/banyanfront/banyanfront/decide/fleet"
	"github.com/banyanfront/banyanfront/decide/release"
	"github.com/banyanfront/banyanfront/decide/statemachine"
)

// maxNotes bounds the accepted notes that a member keeps: two days at the target's 4,300 a day.
const maxNotes = 10000

// ReadUses calls f with the recorded uses and the time since which they have been recorded. It returns false on instances
// without a member of the agreement group, which have no uses. f must not block, as commands wait while it runs.
func (s *Service) ReadUses(f func(uses iter.Seq[release.Use], since time.Time)) bool {
	if s.replica() == nil {
		return false
	}
	m := s.machine
	m.mu.RLock()
	defer m.mu.RUnlock()
	f(m.state.Uses(), m.state.UsesSince())
	return true
}

// Notes returns the accepted release notes, oldest first. ok is false on instances without a member of the group.
func (s *Service) Notes() (notes []statemachine.NoteRecord, ok bool) {
	if s.replica() == nil {
		return nil, false
	}
	m := s.machine
	m.mu.RLock()
	defer m.mu.RUnlock()
	return slices.Clone(m.notes), true
}

// Voters returns the instances that the settings name as voters. They answer requests that need a member of the group.
func (s *Service) Voters() []fleet.InstanceID {
	voters := make([]fleet.InstanceID, 0, len(s.config.Voters))
	for _, v := range s.config.Voters {
		voters = append(voters, v.Instance)
	}
	return voters
}

// appendNote appends the record of an accepted note, and drops the oldest beyond maxNotes. The caller holds the lock.
func (m *machine) appendNote(note statemachine.NoteRecord) {
	m.notes = append(m.notes, note)
	if len(m.notes) > maxNotes {
		m.notes = slices.Delete(m.notes, 0, len(m.notes)-maxNotes)
	}
}

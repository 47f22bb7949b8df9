package consensus

import "slices"

// raftLog holds the entries after prevIndex in memory. Compaction bounds it.
type raftLog struct {
	prevIndex, prevTerm uint64 // entry before the first one held
	entries             []Entry
	stable              uint64 // last entry known to be synced
	commit              uint64
	applied             uint64
}

func (l *raftLog) last() uint64 { return l.prevIndex + uint64(len(l.entries)) }

// term returns the term of an entry, and false if the entry is compacted or beyond the end.
func (l *raftLog) term(index uint64) (uint64, bool) {
	switch {
	case index == l.prevIndex:
		return l.prevTerm, true
	case index < l.prevIndex || index > l.last():
		return 0, false
	}
	return l.entries[index-l.prevIndex-1].Term, true
}

func (l *raftLog) lastTerm() uint64 {
	term, _ := l.term(l.last())
	return term
}

func (l *raftLog) matches(index, term uint64) bool {
	t, ok := l.term(index)
	return ok && t == term
}

// after returns the entries after index, at most limit bytes of them but at least one.
func (l *raftLog) after(index uint64, limit int) []Entry {
	if index < l.prevIndex || index >= l.last() {
		return nil
	}
	entries := l.entries[index-l.prevIndex:]
	size := 0
	for i := range entries {
		size += entries[i].size()
		if i > 0 && size > limit {
			return slices.Clip(entries[:i])
		}
	}
	return slices.Clip(entries)
}

// truncate drops the entries from index on. The remaining slice is clipped, since sent messages share the old one.
func (l *raftLog) truncate(index uint64) {
	l.entries = slices.Clip(l.entries[:index-l.prevIndex-1])
	l.stable = min(l.stable, index-1)
}

// possibleMatch returns the highest index at most index whose term is at most term; entries above it cannot match.
func (l *raftLog) possibleMatch(index, term uint64) uint64 {
	index = min(index, l.last())
	for index > l.prevIndex {
		if t, _ := l.term(index); t <= term {
			break
		}
		index--
	}
	return index
}

// upToDate reports whether a log that ends with the given entry may lead.
func (l *raftLog) upToDate(index, term uint64) bool {
	return term > l.lastTerm() || (term == l.lastTerm() && index >= l.last())
}

// compact drops the entries up to index.
func (l *raftLog) compact(index uint64) {
	term, ok := l.term(index)
	if !ok || index <= l.prevIndex {
		return
	}
	l.entries = slices.Clone(l.entries[index-l.prevIndex:])
	l.prevIndex, l.prevTerm = index, term
}

// reset replaces the whole log by a snapshot.
func (l *raftLog) reset(index, term uint64) {
	l.entries = nil
	l.prevIndex, l.prevTerm = index, term
	l.stable, l.commit = index, index
}

package consensus

import "slices"

// raftLog keeps the entries after prevIndex in memory. Compaction bounds its size.
type raftLog struct {
	prevIndex, prevTerm uint64 // entry before entries[0]
	entries             []Entry
	stable              uint64 // index of the last entry known to be on disk
	commit              uint64
	applied             uint64
}

func (l *raftLog) lastIndex() uint64 { return l.prevIndex + uint64(len(l.entries)) }

// term returns the term of an entry, and false if the entry is compacted or beyond the end.
func (l *raftLog) term(index uint64) (uint64, bool) {
	switch {
	case index == l.prevIndex:
		return l.prevTerm, true
	case index < l.prevIndex || index > l.lastIndex():
		return 0, false
	}
	return l.entries[index-l.prevIndex-1].Term, true
}

func (l *raftLog) lastTerm() uint64 {
	term, _ := l.term(l.lastIndex())
	return term
}

func (l *raftLog) matches(index, term uint64) bool {
	t, ok := l.term(index)
	return ok && t == term
}

// entriesAfter returns the entries after index, at most limit bytes but at least one if there is any.
func (l *raftLog) entriesAfter(index uint64, limit int) []Entry {
	if index < l.prevIndex || index >= l.lastIndex() {
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

// truncate drops the entries from index onwards. The remaining slice is clipped, since sent messages share the array.
func (l *raftLog) truncate(index uint64) {
	l.entries = slices.Clip(l.entries[:index-l.prevIndex-1])
	l.stable = min(l.stable, index-1)
}

// possibleMatch returns the highest index at most index whose term is at most term; entries above it cannot match. An index below
// prevIndex, whose term is unknown, is returned as it is: if the entry at prevIndex cannot match, the one before it.
func (l *raftLog) possibleMatch(index, term uint64) uint64 {
	index = min(index, l.lastIndex())
	for {
		if t, ok := l.term(index); !ok || t <= term {
			return index
		}
		index--
	}
}

// upToDate reports whether a log that ends with the given entry is at least as up to date as this one.
func (l *raftLog) upToDate(index, term uint64) bool {
	return term > l.lastTerm() || (term == l.lastTerm() && index >= l.lastIndex())
}

// compact drops the entries up to and including index.
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

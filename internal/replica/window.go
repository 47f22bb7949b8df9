package replica

// windowEntry is the first result of a proposal.
type windowEntry struct {
	ID     string `cbor:"1,keyasint"`
	Index  uint64 `cbor:"2,keyasint"`
	Result []byte `cbor:"3,keyasint,omitempty"`
}

// dedupWindow stores the results of the last sizeEntries log entries, so that a proposal that was appended to the log
// twice takes effect once. A proposal expires sizeEntries entries after the member first proposed it, so all its copies
// fall into one window.
type dedupWindow struct {
	sizeEntries uint64
	queue       []windowEntry // ascending index
	byID        map[string]windowEntry
}

func newDedupWindow(sizeEntries uint64, entries []windowEntry) *dedupWindow {
	w := &dedupWindow{sizeEntries: sizeEntries, queue: entries, byID: make(map[string]windowEntry, len(entries))}
	for _, e := range entries {
		w.byID[e.ID] = e
	}
	return w
}

func (w *dedupWindow) find(id string) (windowEntry, bool) {
	e, ok := w.byID[id]
	return e, ok
}

func (w *dedupWindow) add(e windowEntry) {
	w.queue = append(w.queue, e)
	w.byID[e.ID] = e
}

// expire removes the results of entries more than sizeEntries entries before index.
func (w *dedupWindow) expire(index uint64) {
	expired := 0
	for expired < len(w.queue) && w.queue[expired].Index+w.sizeEntries < index {
		delete(w.byID, w.queue[expired].ID)
		expired++
	}
	w.queue = w.queue[expired:]
}

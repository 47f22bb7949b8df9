package replica

// windowEntry remembers the first result of a proposal.
type windowEntry struct {
	ID     string `cbor:"1,keyasint"`
	Index  uint64 `cbor:"2,keyasint"`
	Result []byte `cbor:"3,keyasint,omitempty"`
}

// window holds the results of the last size log entries, so that a proposal that entered the log twice takes effect
// once. A proposal expires size entries after the member first proposed it, so all its copies fall into one window.
type window struct {
	size  uint64
	queue []windowEntry // ascending index
	byID  map[string]windowEntry
}

func newWindow(size uint64, entries []windowEntry) *window {
	w := &window{size: size, queue: entries, byID: make(map[string]windowEntry, len(entries))}
	for _, e := range entries {
		w.byID[e.ID] = e
	}
	return w
}

func (w *window) find(id string) (windowEntry, bool) {
	e, ok := w.byID[id]
	return e, ok
}

func (w *window) add(e windowEntry) {
	w.queue = append(w.queue, e)
	w.byID[e.ID] = e
}

// expire forgets the results of entries more than size before index.
func (w *window) expire(index uint64) {
	done := 0
	for done < len(w.queue) && w.queue[done].Index+w.size < index {
		delete(w.byID, w.queue[done].ID)
		done++
	}
	w.queue = w.queue[done:]
}

package release

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
)

// Digest identifies the content of a note.
type Digest [sha256.Size]byte

// String returns the first 12 hexadecimal digits, enough to tell two notes apart in a message.
func (d Digest) String() string { return hex.EncodeToString(d[:6]) }

// Digest returns the digest over all fields of the note. Two notes with the same digest are the same note.
func (n *Note) Digest() Digest {
	w := canonical{buffer: make([]byte, 0, 4096)}
	w.number(n.Number)
	w.text(n.Author)
	w.text(n.Comment)
	each(&w, n.Servers.Add, writeServer)
	each(&w, n.Servers.Change, writeServer)
	each(&w, n.Servers.Withdraw, writeText)
	each(&w, n.Servers.Forget, writeText)
	each(&w, n.Models.Add, writeModel)
	each(&w, n.Models.Change, writeModel)
	each(&w, n.Models.Withdraw, writeText)
	each(&w, n.Adapters.Add, writeAdapter)
	each(&w, n.Adapters.Change, writeAdapter)
	each(&w, n.Adapters.Withdraw, writeAdapter)
	each(&w, n.DataCentres.Add, writeDataCentre)
	each(&w, n.DataCentres.Change, writeDataCentre)
	each(&w, n.DataCentres.Withdraw, writeText)
	each(&w, n.Calls, func(w *canonical, c CallRule) {
		w.text(c.Service)
		w.text(c.Method)
		w.text(c.PathPrefix)
		w.flag(c.Idempotent)
		w.flag(c.Remove)
	})
	each(&w, n.AcceptOutage, func(w *canonical, o Outage) {
		w.text(o.Kind)
		w.text(o.Name)
	})
	return sha256.Sum256(w.buffer)
}

// canonical writes length-prefixed fields, so that no two different notes have the same bytes.
type canonical struct{ buffer []byte }

func (w *canonical) number(n uint64) { w.buffer = binary.AppendUvarint(w.buffer, n) }

func (w *canonical) text(s string) {
	w.number(uint64(len(s)))
	w.buffer = append(w.buffer, s...)
}

func (w *canonical) flag(b bool) {
	if b {
		w.number(1)
	} else {
		w.number(0)
	}
}

func each[T any](w *canonical, list []T, write func(*canonical, T)) {
	w.number(uint64(len(list)))
	for _, item := range list {
		write(w, item)
	}
}

func writeText[S ~string](w *canonical, s S) { w.text(string(s)) }

func writeServer(w *canonical, s Server) {
	w.text(string(s.ID))
	w.text(string(s.DataCentre))
	w.text(s.Kind)
	w.text(s.Service)
	each(w, s.Models, func(w *canonical, m ExpectedModel) {
		w.text(m.Name)
		w.text(m.Version)
		each(w, m.Adapters, writeText)
	})
}

func writeModel(w *canonical, m Model) {
	w.text(m.Name)
	w.text(m.Version)
}

func writeAdapter(w *canonical, a Adapter) {
	w.text(a.Model)
	w.text(a.Name)
	w.text(a.Version)
}

func writeDataCentre(w *canonical, d DataCentre) {
	w.text(string(d.Name))
	w.text(d.Region)
}

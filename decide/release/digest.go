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
	w := canonicalWriter{buffer: make([]byte, 0, 4096)}
	w.number(n.Number)
	w.text(n.Author)
	w.text(n.Comment)
	writeList(&w, n.Servers.Add, writeServer)
	writeList(&w, n.Servers.Change, writeServer)
	writeList(&w, n.Servers.Withdraw, writeText)
	writeList(&w, n.Servers.Forget, writeText)
	writeList(&w, n.Models.Add, writeModel)
	writeList(&w, n.Models.Change, writeModel)
	writeList(&w, n.Models.Withdraw, writeText)
	writeList(&w, n.Adapters.Add, writeAdapter)
	writeList(&w, n.Adapters.Change, writeAdapter)
	writeList(&w, n.Adapters.Withdraw, writeAdapter)
	writeList(&w, n.DataCentres.Add, writeDataCentre)
	writeList(&w, n.DataCentres.Change, writeDataCentre)
	writeList(&w, n.DataCentres.Withdraw, writeText)
	writeList(&w, n.Calls, func(w *canonicalWriter, c CallRule) {
		w.text(c.Service)
		w.text(c.Method)
		w.text(c.PathPrefix)
		w.flag(c.Idempotent)
		w.flag(c.Remove)
	})
	writeList(&w, n.AcceptOutage, func(w *canonicalWriter, o Outage) {
		w.text(o.Kind)
		w.text(o.Name)
	})
	return sha256.Sum256(w.buffer)
}

// canonicalWriter encodes fields with length prefixes, so that no two different notes have the same encoding.
type canonicalWriter struct{ buffer []byte }

func (w *canonicalWriter) number(n uint64) { w.buffer = binary.AppendUvarint(w.buffer, n) }

func (w *canonicalWriter) text(s string) {
	w.number(uint64(len(s)))
	w.buffer = append(w.buffer, s...)
}

func (w *canonicalWriter) flag(b bool) {
	if b {
		w.number(1)
	} else {
		w.number(0)
	}
}

func writeList[T any](w *canonicalWriter, list []T, write func(*canonicalWriter, T)) {
	w.number(uint64(len(list)))
	for _, item := range list {
		write(w, item)
	}
}

func writeText[S ~string](w *canonicalWriter, s S) { w.text(string(s)) }

func writeServer(w *canonicalWriter, s Server) {
	w.text(string(s.ID))
	w.text(string(s.DataCentre))
	w.text(s.Kind)
	w.text(s.Service)
	writeList(w, s.Models, func(w *canonicalWriter, m ExpectedModel) {
		w.text(m.Name)
		w.text(m.Version)
		writeList(w, m.Adapters, writeText)
	})
}

func writeModel(w *canonicalWriter, m Model) {
	w.text(m.Name)
	w.text(m.Version)
}

func writeAdapter(w *canonicalWriter, a Adapter) {
	w.text(a.Model)
	w.text(a.Name)
	w.text(a.Version)
}

func writeDataCentre(w *canonicalWriter, d DataCentre) {
	w.text(string(d.Name))
	w.text(d.Region)
}

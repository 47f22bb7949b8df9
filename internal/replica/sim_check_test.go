package replica

import (
	"encoding/binary"
	"fmt"
	"hash/fnv"
	"math"
	"slices"
	"time"

	"github.com/anishathalye/porcupine"

	"github.com/banyanfront/banyanfront/decide/consensus"
)

// registers is a state machine with a counter for each key; the result of a command is the new count. hash chains all
// applied commands, so that two members with equal hashes applied the same commands in the same order.
type registers struct {
	counts [4]uint64
	hash   uint64
	check  func(index, hash uint64)
}

func (r *registers) Apply(index uint64, command []byte) []byte {
	h := fnv.New64a()
	h.Write(binary.BigEndian.AppendUint64(nil, r.hash))
	h.Write(command)
	r.hash = h.Sum64()
	r.counts[command[0]]++
	r.check(index, r.hash)
	return binary.BigEndian.AppendUint64(nil, r.counts[command[0]])
}

// Snapshot pads the state, so that its transfer takes several chunks.
func (r *registers) Snapshot() []byte {
	b := make([]byte, 1000)
	return must(binary.Append(b, binary.BigEndian, append(r.counts[:], r.hash)))
}

func (r *registers) Restore(b []byte) error {
	r.counts, r.hash = [4]uint64{}, 0
	if b != nil {
		for i := range r.counts {
			r.counts[i] = binary.BigEndian.Uint64(b[1000+8*i:])
		}
		r.hash = binary.BigEndian.Uint64(b[1000+8*len(r.counts):])
	}
	return nil
}

// observe checks the entries that a member is about to write and to apply.
func (s *sim) observe(n *simNode, r *consensus.Ready) {
	for i := range r.Entries {
		e := &r.Entries[i]
		// One entry for each index and term, always after the same entry: logs that agree in one entry agree before it.
		before := consensus.Entry{}
		if i > 0 {
			before = r.Entries[i-1]
		} else if previous, ok := n.driver.node.LogTerm(e.Index - 1); ok {
			before.Term = previous
		}
		key, value := [2]uint64{e.Index, e.Term}, fmt.Sprint(before.Term, e.Kind, e.ID)
		if old, ok := s.entries[key]; ok && old != value {
			s.fail("log matching: entry %d of term %d is both %q and %q", e.Index, e.Term, old, value)
		}
		s.entries[key] = value
	}
	for i := range r.Committed {
		e := r.Committed[i]
		if old, ok := s.committed[e.Index]; ok && (old.Term != e.Term || old.ID != e.ID) {
			s.fail("committed entry %d changed from %s of term %d to %s of term %d", e.Index, old.ID, old.Term, e.ID, e.Term)
		}
		s.committed[e.Index] = e
		if _, ok := s.applied[e.ID]; !ok {
			s.applied[e.ID] = e.Index
		}
	}
}

// checkLeaders checks that each term has at most one leader and that it has all committed entries.
func (s *sim) checkLeaders() {
	for _, n := range s.nodes {
		if n.driver == nil || n.driver.failure != nil {
			continue
		}
		status := n.driver.node.Status()
		if status.Role != consensus.Leader || s.leaders[status.Term] == n.id {
			continue
		}
		if other, ok := s.leaders[status.Term]; ok {
			s.fail("term %d has two leaders, %x and %x", status.Term, other, n.id)
		}
		s.leaders[status.Term] = n.id
		for index, e := range s.committed {
			if term, ok := n.driver.node.LogTerm(index); e.Term < status.Term && index >= status.First && (!ok || term != e.Term) {
				s.fail("leader %x of term %d lacks committed entry %d", n.id, status.Term, index)
			}
		}
	}
}

type simInput struct {
	key  byte
	read bool
}

// propose starts a proposal or a read on a random member and records it in the history.
func (s *sim) propose(done func(err error)) {
	n, in := s.randomNode(), simInput{key: byte(s.rand.IntN(4)), read: s.rand.IntN(4) == 0}
	if n.driver == nil {
		done(errClosed)
		return
	}
	s.proposals++
	id, at, ended := fmt.Sprint("p", s.proposals), len(s.history), false
	call, machine := s.nextOrder(), n.machine
	s.history = append(s.history, porcupine.Operation{ClientId: at, Input: in, Call: call, Output: uint64(math.MaxUint64), Return: math.MaxInt64})
	finish := func(o outcome) {
		if ended {
			return
		}
		ended = true
		switch {
		case o.err == nil:
			s.history[at].Output, s.history[at].Return = binary.BigEndian.Uint64(o.result), s.nextOrder()
			if !in.read {
				s.acked[id] = o.index
				if s.applied[id] != o.index {
					s.fail("%s was acknowledged at index %d, but committed at %d", id, o.index, s.applied[id])
				}
			}
		case CertainlyNotAccepted(o.err):
			s.history[at].ClientId = -1
		}
		done(o.err)
	}
	if in.read {
		n.driver.readBarrier(func(err error) {
			finish(outcome{err: err, result: binary.BigEndian.AppendUint64(nil, machine.counts[in.key])})
		})
		s.after(3*time.Second, func() { finish(outcome{err: &Error{Kind: NoQuorum}}) })
	} else {
		command := append([]byte{in.key}, id...)
		p := n.driver.propose(consensus.Entry{ID: id, Data: command}, finish)
		s.after(3*time.Second, func() {
			if !ended && p != nil {
				finish(outcome{err: p.abandon()})
			}
		})
	}
	n.flush()
}

// nextOrder returns the logical time of a call or return in the history.
func (s *sim) nextOrder() int64 {
	s.order++
	return int64(s.order)
}

// finish checks that all members have the same state, that no acknowledged command is lost and that the history is
// linearizable.
func (s *sim) finish() {
	var first *simNode
	for _, n := range s.nodes {
		switch {
		case n.driver == nil:
			s.fail("member %x does not run at the end", n.id)
		case first == nil:
			first = n
		case n.driver.applied != first.driver.applied || n.machine.hash != first.machine.hash:
			s.fail("members differ at the end: %d and %d applied", n.driver.applied, first.driver.applied)
		}
	}
	if s.violation != nil {
		return
	}
	for id, index := range s.acked {
		if s.committed[index].ID != id {
			s.fail("%s was acknowledged at index %d and is lost", id, index)
		}
	}
	s.history = slices.DeleteFunc(s.history, func(o porcupine.Operation) bool { return o.ClientId < 0 })
	if !porcupine.CheckOperations(registerModel, s.history) {
		s.fail("the history of %d operations is not linearizable", len(s.history))
	}
}

// registerModel counts the commands for each key. An operation without a result may take effect at any time or never.
var registerModel = porcupine.Model{
	Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
		parts := make([][]porcupine.Operation, 4)
		for _, o := range history {
			if in := o.Input.(simInput); !in.read || o.Return != math.MaxInt64 {
				parts[in.key] = append(parts[in.key], o)
			}
		}
		return parts
	},
	Init: func() any { return uint64(0) },
	Step: func(state, input, output any) (bool, any) {
		count, result := state.(uint64), output.(uint64)
		if input.(simInput).read {
			return result == count, count
		}
		return result == math.MaxUint64 || result == count+1, count + 1
	},
}

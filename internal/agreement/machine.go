package agreement

import (
	"slices"
	"sync"

	"github.com/apex/log"

	"github.com/banyanfront/banyanfront/decide/statemachine"
	"github.com/banyanfront/banyanfront/internal/protocol"
	"github.com/banyanfront/banyanfront/internal/replica"
)

// machine is the state machine of the agreed state. Only the replica's goroutine changes it.
type machine struct {
	mu      sync.RWMutex // for reads on other goroutines; the replica's goroutine locks it only to write
	state   *statemachine.State
	notes   []statemachine.NoteRecord // accepted, oldest first
	install func(*statemachine.View, ...*statemachine.Change)
}

var _ replica.StateMachine = (*machine)(nil)

func newMachine(install func(*statemachine.View, ...*statemachine.Change)) *machine {
	return &machine{state: statemachine.New(statemachine.Limits{}), install: install}
}

// Apply implements replica.StateMachine.
func (m *machine) Apply(index uint64, command []byte) []byte {
	decoded, err := protocol.DecodeCommand(command)
	if err != nil {
		// The result is the same on each voter, as all decode the same bytes.
		return encodeResult(&statemachine.Result{Code: statemachine.Refused, Detail: err.Error()})
	}
	m.mu.Lock()
	result := m.state.Apply(index, decoded)
	if result.Change != nil && result.Note != nil {
		m.appendNote(*result.Note)
	}
	m.mu.Unlock()
	if result.Change != nil {
		m.install(m.state.View(), result.Change)
	}
	return encodeResult(&result)
}

// Snapshot implements replica.StateMachine.
func (m *machine) Snapshot() []byte {
	data, err := protocol.EncodeSnapshot(m.state.Export())
	if err != nil {
		log.WithError(err).Error("the agreed state could not be encoded; the log is kept instead")
		return nil
	}
	return data
}

// Restore implements replica.StateMachine.
func (m *machine) Restore(snapshot []byte) error {
	if snapshot == nil {
		m.replace(statemachine.New(statemachine.Limits{}), nil)
		return nil
	}
	decoded, err := protocol.DecodeSnapshot(snapshot)
	if err != nil {
		return err
	}
	state, err := statemachine.Import(decoded, statemachine.Limits{})
	if err != nil {
		return err
	}
	m.replace(state, decoded.Notes)
	m.install(state.View())
	return nil
}

func (m *machine) replace(state *statemachine.State, notes []statemachine.NoteRecord) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.state, m.notes = state, slices.Clone(notes)
}

func encodeResult(result *statemachine.Result) []byte {
	data, err := protocol.EncodeResult(result)
	if err != nil {
		log.WithError(err).Error("the result of a command could not be encoded")
		return nil
	}
	return data
}

package agreement

import (
	"github.com/apex/log"

	"github.com/banyanfront/banyanfront/decide/agreed"
	"github.com/banyanfront/banyanfront/internal/protocol"
	"github.com/banyanfront/banyanfront/internal/replica"
)

// machine applies accepted commands to the agreed state. Only the replica's goroutine touches it.
type machine struct {
	state   *agreed.State
	install func(*agreed.View, ...*agreed.Change)
}

var _ replica.StateMachine = (*machine)(nil)

func newMachine(install func(*agreed.View, ...*agreed.Change)) *machine {
	return &machine{state: agreed.New(agreed.Limits{}), install: install}
}

// Apply implements replica.StateMachine.
func (m *machine) Apply(index uint64, command []byte) []byte {
	decoded, err := protocol.DecodeCommand(command)
	if err != nil {
		// Every voter decodes the same bytes and refuses them alike.
		return encodeResult(&agreed.Result{Code: agreed.Refused, Detail: err.Error()})
	}
	result := m.state.Apply(index, decoded)
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
		m.state = agreed.New(agreed.Limits{})
		return nil
	}
	decoded, err := protocol.DecodeSnapshot(snapshot)
	if err != nil {
		return err
	}
	state, err := agreed.Import(decoded, agreed.Limits{})
	if err != nil {
		return err
	}
	m.state = state
	m.install(state.View())
	return nil
}

func encodeResult(result *agreed.Result) []byte {
	data, err := protocol.EncodeResult(result)
	if err != nil {
		log.WithError(err).Error("the result of a command could not be encoded")
		return nil
	}
	return data
}

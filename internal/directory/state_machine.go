package directory

import (
	"bytes"
	"compress/flate"
	"io"
	"sync/atomic"

	"github.com/apex/log"
	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"

	"github.com/banyanfront/banyanfront/decide/controlstate"
	"github.com/banyanfront/banyanfront/internal/replica"
)

// MaxConfigurationBytes limits an unpacked configuration, and likewise the request body that an operator sends.
const MaxConfigurationBytes = 8 << 20

// maxPackedBytes limits a packed configuration: its command must fit into an entry of the log, and the state with it into a
// message to the entry instances.
const maxPackedBytes = replica.MaxCommandBytes - 4<<10

// stateMachine holds the agreed state. Only the replica's goroutine modifies it.
type stateMachine struct {
	state    atomic.Pointer[controlstate.State]
	onChange func(controlstate.State)
}

var _ replica.StateMachine = (*stateMachine)(nil)

func newStateMachine(changed func(controlstate.State)) *stateMachine {
	m := &stateMachine{onChange: changed}
	m.state.Store(&controlstate.State{})
	return m
}

// overtakenResult is the result of an order that has no effect because another one came first.
var overtakenResult = []byte("overtaken")

// Apply implements replica.StateMachine.
func (m *stateMachine) Apply(index uint64, command []byte) []byte {
	var c controlstate.Command
	if err := decoder.Unmarshal(command, &c); err != nil {
		log.WithError(err).WithField("index", index).Error("an agreed command cannot be read and takes no effect; run the same version on all control instances")
		return nil
	}
	state := m.state.Load()
	if state.Overtaken(c) {
		return overtakenResult
	}
	next, changed := state.Apply(index, c)
	if changed {
		m.state.Store(&next)
		m.onChange(next)
	}
	return nil
}

// Snapshot implements replica.StateMachine.
func (m *stateMachine) Snapshot() []byte {
	data, err := EncodeState(*m.state.Load())
	if err != nil {
		log.WithError(err).Error("the agreed state could not be encoded for a snapshot")
		return nil
	}
	return data
}

// Restore implements replica.StateMachine.
func (m *stateMachine) Restore(snapshot []byte) error {
	state := controlstate.State{}
	if snapshot != nil {
		decoded, err := DecodeState(snapshot)
		if err != nil {
			return err
		}
		state = decoded
	}
	m.state.Store(&state)
	m.onChange(state)
	return nil
}

// decoder accepts all text that the encoder accepts, such as names sent by servers that are not UTF-8.
var decoder = func() cbor.DecMode {
	mode, err := cbor.DecOptions{UTF8: cbor.UTF8DecodeInvalid}.DecMode()
	if err != nil {
		panic(err) // the options are constants
	}
	return mode
}()

func encodeCommand(c controlstate.Command) ([]byte, error) { return cbor.Marshal(c) }

// EncodeState encodes a state for a snapshot or for a message to an entry instance.
func EncodeState(s controlstate.State) ([]byte, error) { return cbor.Marshal(s) }

// DecodeState decodes a state encoded by EncodeState.
func DecodeState(data []byte) (controlstate.State, error) {
	var s controlstate.State
	err := decoder.Unmarshal(data, &s)
	return s, eris.Wrap(err, "agreed state; run the same version on all instances")
}

// PackConfiguration compresses a configuration.
func PackConfiguration(body []byte) ([]byte, error) {
	var out bytes.Buffer
	w, err := flate.NewWriter(&out, flate.BestSpeed)
	if err != nil {
		return nil, err
	}
	if _, err := w.Write(body); err != nil {
		return nil, err
	}
	if err := w.Close(); err != nil {
		return nil, err
	}
	return out.Bytes(), nil
}

// UnpackConfiguration decompresses a configuration, up to MaxConfigurationBytes.
func UnpackConfiguration(packed []byte) ([]byte, error) {
	body, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(packed)), MaxConfigurationBytes))
	return body, eris.Wrap(err, "packed configuration")
}

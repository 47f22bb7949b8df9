package protocol

import (
	"fmt"
	"reflect"

	"github.com/fxamacker/cbor/v2"

	"github.com/banyanfront/banyanfront/decide/release"
	"github.com/banyanfront/banyanfront/decide/statemachine"
)

// Maximum sizes of encoded agreed state.
const (
	// MaxCommandBytes is the maximum size of a command. It leaves room within MaxMessageBytes for the frame and the log
	// entry.
	MaxCommandBytes = MaxMessageBytes - 64<<10
	// MaxViewBytes is the maximum size of a view. It leaves room within MaxMessageBytes for the State message.
	MaxViewBytes = MaxMessageBytes - 64<<10
	// MaxSnapshotBytes is the maximum size of a snapshot, which is sent in parts. A million keys take 71 MB.
	MaxSnapshotBytes = 256 << 20
)

// agreedFormat is the format version in the first byte of every encoded command, result, view and snapshot. The decoder
// rejects other formats instead of misinterpreting them.
const agreedFormat = 1

var agreedEncMode, agreedDecMode = mustAgreedModes()

func mustAgreedModes() (cbor.EncMode, cbor.DecMode) {
	encoding, err := cbor.CoreDetEncOptions().EncMode()
	if err != nil {
		panic(err)
	}
	// Unknown fields are errors: the state of a voter that skipped a field of a command would diverge from the others.
	decoding, err := cbor.DecOptions{
		DupMapKey: cbor.DupMapKeyEnforcedAPF, IndefLength: cbor.IndefLengthForbidden, TagsMd: cbor.TagsForbidden,
		ExtraReturnErrors: cbor.ExtraDecErrorUnknownField, MaxNestedLevels: 16, MaxArrayElements: 1 << 20, MaxMapPairs: 1 << 16,
		UTF8: cbor.UTF8DecodeInvalid, // keys of callers need not be UTF-8
	}.DecMode()
	if err != nil {
		panic(err)
	}
	return encoding, decoding
}

// newCommandByKind contains for each kind a function that returns an empty command.
var newCommandByKind = map[statemachine.Kind]func() statemachine.Command{
	statemachine.KindPublishNote:        func() statemachine.Command { return new(statemachine.PublishNote) },
	statemachine.KindEvacuateDataCentre: func() statemachine.Command { return new(statemachine.EvacuateDataCentre) },
	statemachine.KindRestoreDataCentre:  func() statemachine.Command { return new(statemachine.RestoreDataCentre) },
	statemachine.KindClaimKey:           func() statemachine.Command { return new(statemachine.ClaimKey) },
	statemachine.KindReplaceClaim:       func() statemachine.Command { return new(statemachine.ReplaceClaim) },
	statemachine.KindRecordOutcomes:     func() statemachine.Command { return new(statemachine.RecordOutcomes) },
	statemachine.KindGrantFencing:       func() statemachine.Command { return new(statemachine.GrantFencing) },
	statemachine.KindDecideMap:          func() statemachine.Command { return new(statemachine.DecideMap) },
	statemachine.KindExpireKeys:         func() statemachine.Command { return new(statemachine.ExpireKeys) },
	statemachine.KindRegisterUses:       func() statemachine.Command { return new(statemachine.RegisterUses) },
}

// EncodeCommand encodes a command for the replicated log.
func EncodeCommand(command statemachine.Command) ([]byte, error) {
	if note, ok := command.(*statemachine.PublishNote); ok {
		if data, err := agreedEncMode.Marshal(&note.Note); err != nil || len(data) > release.MaxEncodedBytes {
			return nil, fmt.Errorf("release note of %d bytes exceeds %d: split it", len(data), release.MaxEncodedBytes)
		}
	}
	return encodeAgreed([]byte{agreedFormat, byte(command.Kind())}, command, MaxCommandBytes)
}

// DecodeCommand decodes a command from EncodeCommand.
func DecodeCommand(data []byte) (statemachine.Command, error) {
	if len(data) < 2 {
		return nil, fmt.Errorf("command of %d bytes is truncated", len(data))
	}
	create, ok := newCommandByKind[statemachine.Kind(data[1])]
	if !ok {
		return nil, fmt.Errorf("command kind %d is unknown: update this instance", data[1])
	}
	command := create()
	return command, decodeAgreed(data, 2, command, MaxCommandBytes)
}

// EncodeResult encodes the result of a command for its proposer, without the change of the view.
func EncodeResult(result *statemachine.Result) ([]byte, error) {
	return encodeAgreed([]byte{agreedFormat}, result, MaxCommandBytes)
}

// DecodeResult decodes a result from EncodeResult.
func DecodeResult(data []byte) (*statemachine.Result, error) {
	result := new(statemachine.Result)
	return result, decodeAgreed(data, 1, result, MaxCommandBytes)
}

// EncodeChange encodes one change of the view, for State.Entries.
func EncodeChange(change *statemachine.Change) ([]byte, error) {
	return encodeAgreed([]byte{agreedFormat}, change, MaxCommandBytes)
}

// DecodeChange decodes a change from EncodeChange.
func DecodeChange(data []byte) (*statemachine.Change, error) {
	change := new(statemachine.Change)
	return change, decodeAgreed(data, 1, change, MaxCommandBytes)
}

// EncodeView encodes the view of the agreed state that is replicated to every instance, for State.Snapshot.
func EncodeView(view *statemachine.View) ([]byte, error) {
	return encodeAgreed([]byte{agreedFormat}, view, MaxViewBytes)
}

// DecodeView decodes a view from EncodeView.
func DecodeView(data []byte) (*statemachine.View, error) {
	view := new(statemachine.View)
	if err := decodeAgreed(data, 1, view, MaxViewBytes); err != nil {
		return nil, err
	}
	if view.Config == nil {
		view.Config = new(release.Config)
	}
	return view, nil
}

// EncodeDataCentres encodes data centre records that are gossiped outside the replicated log.
func EncodeDataCentres(records []statemachine.DataCentreRecord) ([]byte, error) {
	return encodeAgreed([]byte{agreedFormat}, records, MaxCommandBytes)
}

// DecodeDataCentres decodes records from EncodeDataCentres.
func DecodeDataCentres(data []byte) ([]statemachine.DataCentreRecord, error) {
	var records []statemachine.DataCentreRecord
	err := decodeAgreed(data, 1, &records, MaxCommandBytes)
	return records, err
}

func encodeAgreed(prefix []byte, value any, maxBytes int) ([]byte, error) {
	body, err := agreedEncMode.Marshal(value)
	if err != nil {
		return nil, fmt.Errorf("cannot encode %s: %w", reflect.TypeOf(value), err)
	}
	if len(prefix)+len(body) > maxBytes {
		return nil, fmt.Errorf("%s of %d bytes exceeds the bound of %d", reflect.TypeOf(value), len(body), maxBytes)
	}
	return append(prefix, body...), nil
}

func decodeAgreed(data []byte, prefixBytes int, value any, maxBytes int) error {
	switch {
	case len(data) < prefixBytes || len(data) > maxBytes:
		return fmt.Errorf("%s of %d bytes is outside the bounds of %d to %d", reflect.TypeOf(value), len(data), prefixBytes, maxBytes)
	case data[0] != agreedFormat:
		return fmt.Errorf("format %d is unknown: update this instance", data[0])
	}
	if err := agreedDecMode.Unmarshal(data[prefixBytes:], value); err != nil {
		return fmt.Errorf("cannot decode %s: %w", reflect.TypeOf(value), err)
	}
	return nil
}

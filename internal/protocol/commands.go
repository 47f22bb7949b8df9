package protocol

import (
	"fmt"
	"reflect"

	"github.com/fxamacker/cbor/v2"

	"github.com/banyanfront/banyanfront/decide/agreed"
	"github.com/banyanfront/banyanfront/decide/release"
)

// Bounds of encoded agreed state.
const (
	// MaxCommandBytes leaves room for the frame and the log entry around a command within MaxMessageBytes.
	MaxCommandBytes = MaxMessageBytes - 64<<10
	// MaxViewBytes leaves room for the State message around a view.
	MaxViewBytes = MaxMessageBytes - 64<<10
	// MaxSnapshotBytes bounds a whole snapshot, which is sent in parts: a million keys take 71 MB.
	MaxSnapshotBytes = 256 << 20
)

// agreedFormat is the first byte of every encoded command, result, view and snapshot. A reader refuses other formats
// instead of misreading them.
const agreedFormat = 1

var agreedEncoding, agreedDecoding = agreedModes()

func agreedModes() (cbor.EncMode, cbor.DecMode) {
	encoding, err := cbor.CoreDetEncOptions().EncMode()
	if err != nil {
		panic(err)
	}
	// Unknown fields are errors: a voter that skipped a field of a command would reach another state than the others.
	decoding, err := cbor.DecOptions{
		DupMapKey: cbor.DupMapKeyEnforcedAPF, IndefLength: cbor.IndefLengthForbidden, TagsMd: cbor.TagsForbidden,
		ExtraReturnErrors: cbor.ExtraDecErrorUnknownField, MaxNestedLevels: 16, MaxArrayElements: 1 << 20, MaxMapPairs: 1 << 16,
	}.DecMode()
	if err != nil {
		panic(err)
	}
	return encoding, decoding
}

// commandTypes creates an empty command of each kind.
var commandTypes = map[agreed.Kind]func() agreed.Command{
	agreed.KindPublishNote:        func() agreed.Command { return new(agreed.PublishNote) },
	agreed.KindEvacuateDataCentre: func() agreed.Command { return new(agreed.EvacuateDataCentre) },
	agreed.KindRestoreDataCentre:  func() agreed.Command { return new(agreed.RestoreDataCentre) },
	agreed.KindClaimKey:           func() agreed.Command { return new(agreed.ClaimKey) },
	agreed.KindReplaceClaim:       func() agreed.Command { return new(agreed.ReplaceClaim) },
	agreed.KindRecordOutcomes:     func() agreed.Command { return new(agreed.RecordOutcomes) },
	agreed.KindGrantFencing:       func() agreed.Command { return new(agreed.GrantFencing) },
	agreed.KindDecideMap:          func() agreed.Command { return new(agreed.DecideMap) },
	agreed.KindExpireKeys:         func() agreed.Command { return new(agreed.ExpireKeys) },
	agreed.KindRegisterUses:       func() agreed.Command { return new(agreed.RegisterUses) },
}

// EncodeCommand encodes a command for the log.
func EncodeCommand(command agreed.Command) ([]byte, error) {
	if note, ok := command.(*agreed.PublishNote); ok {
		if data, err := agreedEncoding.Marshal(&note.Note); err != nil || len(data) > release.MaxEncodedBytes {
			return nil, fmt.Errorf("release note of %d bytes exceeds %d: split it", len(data), release.MaxEncodedBytes)
		}
	}
	return encodeAgreed([]byte{agreedFormat, byte(command.Kind())}, command, MaxCommandBytes)
}

// DecodeCommand decodes what EncodeCommand has encoded.
func DecodeCommand(data []byte) (agreed.Command, error) {
	if len(data) < 2 {
		return nil, fmt.Errorf("command of %d bytes is cut off", len(data))
	}
	create, ok := commandTypes[agreed.Kind(data[1])]
	if !ok {
		return nil, fmt.Errorf("command kind %d is unknown: update this instance", data[1])
	}
	command := create()
	return command, decodeAgreed(data, 2, command, MaxCommandBytes)
}

// EncodeResult encodes the result of a command for its proposer. The change inside is not included.
func EncodeResult(result *agreed.Result) ([]byte, error) {
	return encodeAgreed([]byte{agreedFormat}, result, MaxCommandBytes)
}

// DecodeResult decodes what EncodeResult has encoded.
func DecodeResult(data []byte) (*agreed.Result, error) {
	result := new(agreed.Result)
	return result, decodeAgreed(data, 1, result, MaxCommandBytes)
}

// EncodeChange encodes one change of the view, an entry of State.Entries.
func EncodeChange(change *agreed.Change) ([]byte, error) {
	return encodeAgreed([]byte{agreedFormat}, change, MaxCommandBytes)
}

// DecodeChange decodes what EncodeChange has encoded.
func DecodeChange(data []byte) (*agreed.Change, error) {
	change := new(agreed.Change)
	return change, decodeAgreed(data, 1, change, MaxCommandBytes)
}

// EncodeView encodes the state that every daemon holds, for State.Snapshot.
func EncodeView(view *agreed.View) ([]byte, error) {
	return encodeAgreed([]byte{agreedFormat}, view, MaxViewBytes)
}

// DecodeView decodes what EncodeView has encoded.
func DecodeView(data []byte) (*agreed.View, error) {
	view := new(agreed.View)
	if err := decodeAgreed(data, 1, view, MaxViewBytes); err != nil {
		return nil, err
	}
	if view.Config == nil {
		view.Config = new(release.Config)
	}
	return view, nil
}

// EncodeCentres encodes data centre records for gossip outside the log.
func EncodeCentres(records []agreed.DataCentreRecord) ([]byte, error) {
	return encodeAgreed([]byte{agreedFormat}, records, MaxCommandBytes)
}

// DecodeCentres decodes what EncodeCentres has encoded.
func DecodeCentres(data []byte) ([]agreed.DataCentreRecord, error) {
	var records []agreed.DataCentreRecord
	err := decodeAgreed(data, 1, &records, MaxCommandBytes)
	return records, err
}

func encodeAgreed(prefix []byte, value any, bound int) ([]byte, error) {
	body, err := agreedEncoding.Marshal(value)
	if err != nil {
		return nil, fmt.Errorf("cannot encode %s: %w", reflect.TypeOf(value), err)
	}
	if len(prefix)+len(body) > bound {
		return nil, fmt.Errorf("%s of %d bytes exceeds the bound of %d", reflect.TypeOf(value), len(body), bound)
	}
	return append(prefix, body...), nil
}

func decodeAgreed(data []byte, prefix int, value any, bound int) error {
	switch {
	case len(data) < prefix || len(data) > bound:
		return fmt.Errorf("%s of %d bytes is outside the bounds of %d to %d", reflect.TypeOf(value), len(data), prefix, bound)
	case data[0] != agreedFormat:
		return fmt.Errorf("format %d is unknown: update this instance", data[0])
	}
	if err := agreedDecoding.Unmarshal(data[prefix:], value); err != nil {
		return fmt.Errorf("cannot decode %s: %w", reflect.TypeOf(value), err)
	}
	return nil
}

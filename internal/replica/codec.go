package replica

import (
	"github.com/fxamacker/cbor/v2"

	"github.com/banyanfront/banyanfront/decide/consensus"
)

// Decoding limits. A message contains at most one batch of entries.
const (
	maxArrayElements = 1 << 17
	maxMapPairs      = 64
)

var (
	encoder = must(cbor.CoreDetEncOptions().EncMode())
	// Identifiers of commands may contain text of callers that is not UTF-8. An entry that a member accepted and others
	// cannot decode would stop the log.
	decoder = must(cbor.DecOptions{MaxArrayElements: maxArrayElements, MaxMapPairs: maxMapPairs, UTF8: cbor.UTF8DecodeInvalid}.DecMode())
)

func must[T any](v T, err error) T {
	if err != nil {
		panic(err) // the options are constants
	}
	return v
}

// encode encodes values of this package and of package consensus; encoding them cannot fail.
func encode(v any) []byte { return must(encoder.Marshal(v)) }

// snapshotData is the application part of a snapshot, on disk and in transfer to a member. The deduplication window is
// part of the state, because all members must drop the same duplicates.
type snapshotData struct {
	Window []windowEntry `cbor:"1,keyasint,omitempty"`
	State  []byte        `cbor:"2,keyasint"`
}

// identity is written when the data folder is created and never changes.
type identity struct {
	ID consensus.ID `cbor:"1,keyasint"`
}

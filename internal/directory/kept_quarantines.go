package directory

import (
	"context"
	"errors"
	"maps"
	"os"
	"time"

	"github.com/apex/log"
	"github.com/fxamacker/cbor/v2"

	"github.com/banyanfront/banyanfront/decide/quarantine"
	"github.com/banyanfront/banyanfront/internal/protocol"
	"github.com/banyanfront/banyanfront/internal/storage"
)

// Each control instance keeps the quarantines on its disk: after a loss of power everywhere, the requests and parts of prompts at
// fault would otherwise be found anew, at the price of more servers. Nothing is agreed on, as any one of the files suffices.

// quarantinesFile is the name of the file with the quarantines.
const quarantinesFile = "quarantines"

// keptQuarantines is the content of quarantinesFile.
type keptQuarantines struct {
	SavedAtMillis int64                   `cbor:"1,keyasint"` // Unix time, to which the ages and durations refer
	Parts         []*protocol.PromptParts `cbor:"2,keyasint"`
}

// quarantineState is what makes a quarantine differ from the one in the file.
type quarantineState struct {
	until       time.Time
	quarantines int
	engines     int
	with        int
}

// quarantineKeeper writes quarantinesFile. Only the loop of the control instance calls keep.
type quarantineKeeper struct {
	folder storage.FS
	writes chan keptQuarantines // at most the newest
	failed chan struct{}        // has a value after a failed write
	last   map[quarantine.Key]quarantineState
}

func newQuarantineKeeper(folder storage.FS) *quarantineKeeper {
	return &quarantineKeeper{folder: folder, writes: make(chan keptQuarantines, 1), failed: make(chan struct{}, 1),
		last: map[quarantine.Key]quarantineState{}}
}

// keep schedules a write if the quarantines differ from those last kept, or could not be written.
func (k *quarantineKeeper) keep(now time.Time, suspicions []quarantine.Suspicion) {
	current := make(map[quarantine.Key]quarantineState, len(suspicions))
	for _, s := range suspicions {
		current[s.Key] = quarantineState{s.QuarantinedUntil, s.Quarantines, len(s.Engines), len(s.With)}
	}
	select {
	case <-k.failed:
	default:
		if maps.Equal(current, k.last) {
			return
		}
	}
	k.last = current
	select {
	case <-k.writes:
	default:
	}
	k.writes <- keptQuarantines{now.UnixMilli(), EncodePromptParts(now, suspicions)}
}

// run writes what keep schedules until the context ends. It has a goroutine of its own, as a disk may take long.
func (k *quarantineKeeper) run(ctx context.Context) {
	for failing := false; ; {
		select {
		case <-ctx.Done():
			return
		case content := <-k.writes:
			data, err := cbor.Marshal(content)
			if err == nil {
				err = storage.WriteFile(k.folder, quarantinesFile, data)
			}
			if err != nil && !failing {
				log.WithError(err).Error("quarantines could not be kept on the disk and are lost when all processes stop at once; check the data folder")
			}
			if failing = err != nil; failing {
				select {
				case k.failed <- struct{}{}:
				default:
				}
			}
		}
	}
}

// readQuarantines returns the quarantines kept in a folder, none if they cannot be read.
func readQuarantines(now time.Time, folder storage.FS) (kept []quarantine.Suspicion) {
	data, err := storage.ReadFile(folder, quarantinesFile)
	if errors.Is(err, os.ErrNotExist) {
		return nil
	}
	var content keptQuarantines
	if err == nil {
		err = decoder.Unmarshal(data, &content)
	}
	if err != nil {
		log.WithError(err).Warn("the kept quarantines could not be read; requests that crash servers are found anew")
		return nil
	}
	savedAt := time.UnixMilli(content.SavedAtMillis)
	if savedAt.After(now) { // the clock has been set back
		savedAt = now
	}
	for _, m := range content.Parts {
		for _, s := range m.Suspected {
			kept = append(kept, decodeSuspicion(savedAt, m.Service, s))
		}
	}
	return kept
}

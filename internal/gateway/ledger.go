package gateway

import (
	"context"

	"github.com/banyanfront/banyanfront/decide/fleet"
	"github.com/banyanfront/banyanfront/internal/protocol"
)

// Claim asks to record that an attempt is about to run under an idempotency key.
type Claim struct {
	Organisation fleet.Organisation
	Key          string
	Digest       string // tells a repeated request from another one
	Attempt      string
	Server       fleet.ServerID
	Boot         fleet.Incarnation
	DataCentre   fleet.DataCentre
	Replaces     string // attempt of the same key that is proved not run, empty for the first
}

// Record is the record in force for a key.
type Record struct {
	Digest     string
	Attempt    string
	Server     fleet.ServerID
	Boot       fleet.Incarnation
	DataCentre fleet.DataCentre
	Outcome    protocol.Outcome // OutcomeRunning until an outcome is recorded
	Status     int
}

// Ledger is the agreed record of idempotency keys.
type Ledger interface {
	// Claim returns the record in force, synced on a majority: the new one if the key had none or its attempt was the
	// replaced one. After an error the claim may still be recorded later, so the attempt must never be sent.
	Claim(ctx context.Context, claim Claim) (Record, error)
	// Finish records the outcome of an attempt. It does not wait.
	Finish(claim Claim, outcome protocol.Outcome, status int)
}

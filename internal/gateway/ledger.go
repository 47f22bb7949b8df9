package gateway

import (
	"context"

	"github.com/banyanfront/banyanfront/decide/fleet"
	"github.com/banyanfront/banyanfront/internal/protocol"
)

// Claim is a request to record that an attempt is about to run under an idempotency key.
type Claim struct {
	Organisation fleet.Organisation
	Key          string
	Digest       string // detects a key that is reused for another request
	Attempt      string
	Server       fleet.ServerID
	Boot         fleet.Incarnation
	DataCentre   fleet.DataCentre
	Replaces     string // attempt of the same key that is proved not to have run, empty for the first
}

// ClaimRecord is the current record of a key.
type ClaimRecord struct {
	Digest      string
	Attempt     string
	Server      fleet.ServerID
	Incarnation fleet.Incarnation
	DataCentre  fleet.DataCentre
	Outcome     protocol.Outcome // OutcomeRunning until an outcome is recorded
	Status      int
}

// Ledger stores the claims of idempotency keys, replicated by consensus.
type Ledger interface {
	// Claim returns the current record of the key, synced to disk on a majority: the new one if the key had none or its
	// attempt was claim.Replaces. After an error the claim may still be recorded later, so the attempt must never be sent.
	Claim(ctx context.Context, claim Claim) (ClaimRecord, error)
	// Finish records the outcome of an attempt asynchronously.
	Finish(claim Claim, outcome protocol.Outcome, status int)
}

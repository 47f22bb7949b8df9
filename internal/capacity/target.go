// Package capacity measures the resource use of each role of the system at several sizes, fits a line to the figures and
// extrapolates it to the target size. docs/CAPACITY.md names the benchmark behind each of its figures.
package capacity

import "time"

// The target size of the design page, section 1.
const (
	Instances           = 330
	Engines             = 4200
	DataCentres         = 14
	Regions             = 4
	LocalInstances      = 24  // entry instances of a data centre
	LocalEngines        = 300 // engines of a data centre
	RequestsPerSec      = 4300
	TokensPerSec        = 1_400_000
	Organisations       = 210
	Models              = 6
	ChangesPerDay       = 4300
	ChangeAppliedWithin = 13 * time.Second
	ControlInstances    = 12 // dedicated control instances
	FailuresPerDay      = 26
	RestartsPerDay      = 440
	TokenInterval       = 32 * time.Millisecond
	FirstTokenBound     = 1100 * time.Millisecond
)

// The control budget of an entry instance, from section 1 of the design page.
const (
	BudgetCoreRatio   = 0.026
	BudgetMemoryBytes = 256 << 20
	BudgetBytesPerSec = 28 << 10
	secondsPerDay     = 24 * 60 * 60
)

// targetRate is the request rate per second of one engine at the target size.
const targetRate = float64(RequestsPerSec) / Engines

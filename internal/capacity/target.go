// Package capacity measures what one role of the system costs at several sizes, fits a line through the figures and
// extrapolates it to the target size. docs/CAPACITY.md names the benchmark behind each of its figures.
package capacity

import "time"

// The target size of the design page, section 1.
const (
	Daemons         = 330
	Engines         = 4200
	DataCentres     = 14
	Regions         = 4
	LocalInstances  = 24  // entry instances of a data centre
	LocalEngines    = 300 // engines of a data centre
	RequestsPerSec  = 4300
	TokensPerSec    = 1_400_000
	Organisations   = 210
	Models          = 6
	ChangesPerDay   = 4300
	InForceWithin   = 13 * time.Second
	ControlSet      = 12 // instances set aside for control
	FailuresPerDay  = 26
	RestartsPerDay  = 440
	TokenInterval   = 32 * time.Millisecond
	FirstTokenBound = 1100 * time.Millisecond
)

// The budget of a daemon for control, section 1 of the design page.
const (
	CoreShare     = 0.026
	MemoryBytes   = 256 << 20
	BytesPerSec   = 28 << 10
	secondsPerDay = 24 * 60 * 60
)

// targetRate is the requests a second of one engine at the target.
const targetRate = float64(RequestsPerSec) / Engines

package rank

import "math"

const (
	// ranksPerInterval is the number of ranks of a group that report their demand in one report interval. Their requests
	// show the demand of the whole group well enough, and more reports cost the coordinator its processor time.
	ranksPerInterval = 32
	// windowReports is the time that one reading of the demand covers, in report intervals, for groups of more ranks.
	windowReports = 2
	// maxReadingAge is the age in report intervals of the earlier reading beyond which the difference is not reported: it
	// would show an old demand as the newest.
	maxReadingAge = 4
)

// demandReader turns the engine's counts of expert selections into the demand since the last reading. The ranks of a large
// group take turns, so that a coordinator receives the same number of readings for any size of group.
type demandReader struct {
	startedAtMS int64
	counts      []uint64
	readAt      int // number of the report
}

// due reports whether the counts are read for a report, and whether it is the rank's turn to report the demand. Where the
// time since the last turn is longer than one reading covers, the counts are also read before the turn.
func (d *demandReader) due(report, rank, size int) (read, turn bool) {
	stride := max(1, size/ranksPerInterval)
	switch phase := (report + rank) % stride; phase {
	case 0:
		return true, true
	default:
		return stride > windowReports && phase == stride-windowReports, false
	}
}

// add returns the selections of each expert since the last reading, in units of unit, and nil if there are none. It also
// returns nil for the first reading after a restart of the engine and after a long time without one.
func (d *demandReader) add(report int, startedAtMS int64, counts []uint64) (load []byte, unit uint64) {
	previous, age, restarted := d.counts, report-d.readAt, d.startedAtMS != startedAtMS
	d.startedAtMS, d.counts, d.readAt = startedAtMS, counts, report
	if restarted || len(previous) != len(counts) || age > maxReadingAge {
		return nil, 0
	}
	highest := uint64(0)
	for i, n := range counts {
		if n < previous[i] {
			return nil, 0 // the counts start anew
		}
		highest = max(highest, n-previous[i])
	}
	if highest == 0 {
		return nil, 0
	}
	unit = (highest + math.MaxUint8 - 1) / math.MaxUint8
	load = make([]byte, len(counts))
	for i, n := range counts {
		load[i] = byte((n - previous[i] + unit/2) / unit)
	}
	return load, unit
}

package experts

// leaseShiftBits is the position of the lease in a change number: a coordinator makes far fewer changes under one lease.
const leaseShiftBits = 21

// ChangeNumbers issues the numbers of the map changes of one group under one lease. The coordinator and its deputy share
// the lease: one issues even numbers, the other odd ones. A lease is the log index of an assignment, so that no two
// instances ever issue the same number.
type ChangeNumbers struct {
	Lease  uint64
	Deputy bool
	last   uint64
}

// Next returns a number above all numbers that the group has reported. It reports false if the group has a number of a
// later lease: another coordinator has taken over.
func (n *ChangeNumbers) Next(highestReported uint64) (uint64, bool) {
	if highestReported>>leaseShiftBits > n.Lease {
		return 0, false
	}
	number := max(n.last, highestReported, n.Lease<<leaseShiftBits) + 1
	if odd := number%2 == 1; odd != n.Deputy {
		number++
	}
	if number>>leaseShiftBits != n.Lease {
		return 0, false // all numbers of the lease are used
	}
	n.last = number
	return number, true
}

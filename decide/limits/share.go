package limits

// Share returns the part of a limit that one of several entry instances may use. The parts add up to the limit. The
// remainder of the division goes to different instances in each turn, so that every instance gets a slot in some turns
// even if the limit is smaller than the number of instances. position is the instance's index, from 0.
func Share(limit, instances, position int, turn uint64) int {
	if limit <= 0 || position < 0 {
		return 0
	}
	if instances <= 1 {
		return limit
	}
	position %= instances
	remainder := limit % instances
	// Advances by remainder positions each turn, so that the leftover slots rotate evenly.
	first := int(turn % uint64(instances) * uint64(remainder) % uint64(instances))
	share := limit / instances
	if (position-first+instances)%instances < remainder {
		share++
	}
	return share
}

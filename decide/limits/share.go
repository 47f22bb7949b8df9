package limits

// Share returns the part of a limit that one of several entry instances takes. The parts add up to the limit. What is
// left over by the division goes to other instances with each turn, so that each gets a slot at times even if the limit
// is smaller than the number of instances. position counts from 0.
func Share(limit, instances, position int, turn uint64) int {
	if limit <= 0 || position < 0 {
		return 0
	}
	if instances <= 1 {
		return limit
	}
	position %= instances
	rest := limit % instances
	// Advances by rest positions each turn, so that the leftover slots go around evenly.
	first := int(turn % uint64(instances) * uint64(rest) % uint64(instances))
	share := limit / instances
	if (position-first+instances)%instances < rest {
		share++
	}
	return share
}

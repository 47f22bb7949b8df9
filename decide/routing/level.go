package routing

const (
	loadBuckets   = 32   // of the histogram
	maxBucketLoad = 1.25 // higher loads are counted in the last bucket
)

// loadHistogram holds the sums of the limits and of the used slots of servers by load.
type loadHistogram struct{ limit, used [loadBuckets]float32 }

func (h *loadHistogram) add(e *estimate) {
	b := min(int(e.load*(loadBuckets/maxBucketLoad)), loadBuckets-1)
	h.limit[b] += e.limit
	h.used[b] += e.load * e.limit
}

// fillLevel returns the load up to which the requests expected from all instances before the next reports fill the least
// loaded servers (water-filling). Servers below it share these requests in proportion to their distance from it.
func (h *loadHistogram) fillLevel() float32 {
	var all, limit, used float32
	for b := range h.used {
		all += h.used[b]
	}
	expected := max(all*turnoverRatio, 1)
	for b := range h.used {
		limit += h.limit[b]
		used += h.used[b]
		edge := float32(b+1) * maxBucketLoad / loadBuckets
		if edge*limit-used >= expected {
			break
		}
	}
	return (expected + used) / limit
}

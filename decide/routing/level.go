package routing

const (
	buckets     = 32   // of the histogram
	bucketRange = 1.25 // loads above this share the last bucket
)

// histogram sums the limits and the used slots of servers by load.
type histogram struct{ limit, used [buckets]float32 }

func (h *histogram) add(e *estimate) {
	b := min(int(e.load*(buckets/bucketRange)), buckets-1)
	h.limit[b] += e.limit
	h.used[b] += e.load * e.limit
}

// level returns the load to which the least loaded servers are filled by the requests expected from all instances
// before the next reports. Servers below it share these requests in proportion to their distance from it.
func (h *histogram) level() float32 {
	var all, limit, used float32
	for b := range h.used {
		all += h.used[b]
	}
	expected := max(all*turnover, 1)
	for b := range h.used {
		limit += h.limit[b]
		used += h.used[b]
		edge := float32(b+1) * bucketRange / buckets
		if edge*limit-used >= expected {
			break
		}
	}
	return (expected + used) / limit
}

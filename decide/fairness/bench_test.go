package fairness

import (
	"strconv"
	"testing"
	"time"

	"github.com/banyanfront/banyanfront/decide/fleet"
)

// BenchmarkQueue offers, dispatches and ends one request while 210 organisations have items waiting.
func BenchmarkQueue(b *testing.B) {
	q := New(Config{})
	names := make([]fleet.Organisation, 210)
	for i := range names {
		names[i] = fleet.Organisation("organisation-" + strconv.Itoa(i))
	}
	offer := func(n int) {
		q.Offer(start, Item{ID: strconv.Itoa(n), Organisation: names[n%210], Cost: 1, Deadline: start.Add(time.Hour)})
	}
	n := 0
	for ; n < 210*4; n++ {
		offer(n)
	}
	b.ReportAllocs()
	for b.Loop() {
		offer(n)
		n++
		if item, ok := q.Next(start); ok {
			q.Done(start, item.ID)
		}
	}
}

package grants

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkGrant measures one answer to a request for permits, with servers that all name a limit.
func BenchmarkGrant(b *testing.B) {
	for _, servers := range []int{12, 192, 700} {
		b.Run(fmt.Sprint(servers, "servers"), func(b *testing.B) {
			g, now := New(), start
			var limits []Limit
			for i := range servers {
				limits = append(limits, Limit{fmt.Sprint("i-", i), 1})
			}
			g.Update(now, limits)
			for b.Loop() {
				now = now.Add(2 * time.Millisecond)
				g.Grant(now, 2)
			}
		})
	}
}

package dispatch

import (
	"fmt"
	"testing"
	"time"

	"github.com/banyanfront/banyanfront/decide/registry"
	"github.com/banyanfront/banyanfront/decide/routes"
)

// BenchmarkPickAndEventGaps measures one request with 19 events at one of 72 ranks in three lock-step groups.
func BenchmarkPickAndEventGaps(b *testing.B) {
	d := New(config())
	d.SetTable(routes.Compile(&routes.Configuration{Services: []routes.Service{{Name: "s", ColdRate: 20, Engine: engine()}}}))
	var known []*registry.Record
	for i := range 72 {
		known = append(known, &registry.Record{ReceivedAt: start, Announcement: registry.Announcement{Server: fmt.Sprint("i", i), Service: "s",
			Address: fmt.Sprint("10.0.0.1:", i+1), DataCentre: "near", Slots: 12, Group: registry.Group{Name: fmt.Sprint("g", i%3), Rank: i / 3, Size: 24}}})
	}
	d.SetServers(start, known)
	now := start
	for b.Loop() {
		choice, refusal := d.Pick(now, Request{Service: "s", Objective: 500 * time.Millisecond, MaxEventGap: 150 * time.Millisecond})
		if refusal != nil {
			b.Fatal(refusal)
		}
		for range 19 {
			now = now.Add(100 * time.Microsecond)
			d.RecordEventGap(now, choice, 80*time.Millisecond)
		}
		choice.Release()
	}
}

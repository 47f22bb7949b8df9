package statemachine

import (
	"encoding/binary"
	"fmt"
	"runtime"
	"testing"

	"github.com/banyanfront/banyanfront/decide/fleet"
	"github.com/banyanfront/banyanfront/decide/release"
)

func heap() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// fill adds claims of 210 organisations on 4,200 servers.
func fill(s *State, keys int) {
	for i := range keys {
		c := Claim{Organisation: fleet.Organisation(fmt.Sprintf("organisation-%d", i%210)), Key: fmt.Sprintf("order-%d", i),
			Server: fleet.ServerID(fmt.Sprintf("server-%d", i%4200)), Incarnation: 3}
		binary.LittleEndian.PutUint64(c.Attempt[:], uint64(i+1))
		s.Apply(s.Index()+1, &ClaimKey{c, int64(1000 + i/100)})
	}
}

// BenchmarkKeyRecordMemory reports the heap bytes per key record at a million records.
func BenchmarkKeyRecordMemory(b *testing.B) {
	const keys = 1_000_000
	for b.Loop() {
		before := heap()
		s := New(Limits{})
		fill(s, keys)
		if s.Keys() != keys {
			b.Fatal("keys are missing")
		}
		b.ReportMetric(float64(heap()-before)/keys, "B/key")
		runtime.KeepAlive(s)
	}
}

// BenchmarkUseMemory reports the heap bytes per recorded use at 882,000 uses.
func BenchmarkUseMemory(b *testing.B) {
	for b.Loop() {
		before := heap()
		s := New(Limits{})
		uses := make([]release.Use, 210)
		for server := range 4200 {
			for i := range uses {
				uses[i] = release.Use{Server: fleet.ServerID(fmt.Sprintf("server-%d", server)), DataCentre: "norte", Last: 1000,
					Organisation: fleet.Organisation(fmt.Sprintf("organisation-%d", i)), Name: fmt.Sprintf("model-%d", server%6)}
			}
			s.Apply(s.Index()+1, &RegisterUses{uses, 1000})
		}
		b.ReportMetric(float64(heap()-before)/float64(len(s.uses.lastUsed)), "B/use")
		runtime.KeepAlive(s)
	}
}

// BenchmarkClaim applies a claim and its outcome in a table of a million keys.
func BenchmarkClaim(b *testing.B) {
	s := New(Limits{})
	fill(s, 1_000_000)
	i := 0
	b.ReportAllocs()
	for b.Loop() {
		c := Claim{Organisation: "windows", Key: fmt.Sprintf("order-%d", i), Server: "pedidos-1", Incarnation: 3}
		binary.BigEndian.PutUint64(c.Attempt[:], uint64(i+1))
		s.Apply(s.Index()+1, &ClaimKey{c, 20000})
		s.Apply(s.Index()+1, &RecordOutcomes{[]AttemptOutcome{{c.Organisation, c.Key, c.Attempt, NotRun, 0}}})
		if i++; i == 40000 { // stays below Limits.Keys
			i = 0
		}
	}
}

// BenchmarkExport exports a million keys, as for a snapshot sent to a lagging member.
func BenchmarkExport(b *testing.B) {
	s := New(Limits{})
	fill(s, 1_000_000)
	b.ReportAllocs()
	for b.Loop() {
		s.Export()
	}
}

package release

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/banyanfront/banyanfront/decide/fleet"
)

// BenchmarkImpactAtTargetSize computes the impact of withdrawing the 300 servers of one data centre, with 4,200 listed
// servers that were each used by all 210 organisations.
func BenchmarkImpactAtTargetSize(b *testing.B) {
	add := &Note{Number: 1}
	v := View{Now: time.Unix(1e9, 0), LocalDataCentre: "dc-0"}
	withdraw := &Note{Number: 2}
	var uses []Use
	for i := range 4200 {
		s := engine(fmt.Sprintf("engine-%04d", i), fmt.Sprintf("model-%d", i%6))
		s.DataCentre = fleet.DataCentre(fmt.Sprintf("dc-%d", i/300))
		add.Servers.Add = append(add.Servers.Add, s)
		if i < 300 {
			withdraw.Servers.Withdraw = append(withdraw.Servers.Withdraw, s.ID)
		}
		for o := range 210 {
			uses = append(uses, Use{Server: s.ID, DataCentre: s.DataCentre,
				Organisation: fleet.Organisation(fmt.Sprintf("organisation-%d", o)), Name: s.Models[0].Name, Last: int64(o)})
		}
	}
	v.Uses, v.Config = slices.Values(uses), (&Config{}).Apply(add)
	b.ReportAllocs()
	for b.Loop() {
		if impact := Impact(withdraw, &v); len(impact.Cuts) != 300 || Refused(impact.Findings) {
			b.Fatal("wrong impact")
		}
	}
}

// BenchmarkApplyAtTargetSize applies a note that changes one of 4,200 servers.
func BenchmarkApplyAtTargetSize(b *testing.B) {
	add := &Note{Number: 1}
	for i := range 4200 {
		add.Servers.Add = append(add.Servers.Add, engine(fmt.Sprintf("engine-%04d", i), "m"))
	}
	c := (&Config{}).Apply(add)
	change := &Note{Number: 2, Servers: ServerChanges{Change: []Server{engine("engine-2000", "n")}}}
	b.ReportAllocs()
	for b.Loop() {
		c.Apply(change)
	}
}

package membership

import (
	"cmp"
	"slices"
	"time"

	"github.com/banyanfront/banyanfront/decide/fleet"
)

// SummaryInterval is the time between two summaries sent by a data centre.
const SummaryInterval = time.Second

// SummaryLifetime is the time after which a summary that was not renewed expires. It covers the takeover by the next
// representative, which takes SuspectAfter plus one ping round.
const SummaryLifetime = 6 * time.Second

// Summarise aggregates the servers of one data centre by model and service.
func Summarise(centre fleet.DataCentre, servers []fleet.Server) []fleet.Summary {
	type key struct {
		kind fleet.Kind
		name string
	}
	sums := make(map[key]*fleet.Summary)
	firstTokens := make(map[key][]time.Duration)
	for i := range servers {
		s := &servers[i]
		if s.ExclusionReason != "" || s.Load.Phase > fleet.PhaseServing {
			continue
		}
		for name := range targetNames(&s.Announcement) {
			k := key{s.Kind, name}
			sum := sums[k]
			if sum == nil {
				sum = &fleet.Summary{DataCentre: centre, Kind: s.Kind, Name: name}
				sums[k] = sum
			}
			sum.Servers++
			sum.Free += max(s.Load.Limit-s.Load.Running, 0)
			if s.Load.TimeToFirstToken > 0 {
				firstTokens[k] = append(firstTokens[k], s.Load.TimeToFirstToken)
			}
		}
	}
	result := make([]fleet.Summary, 0, len(sums))
	for k, sum := range sums {
		if list := firstTokens[k]; len(list) > 0 {
			slices.Sort(list)
			sum.FirstToken = list[len(list)/2]
		}
		result = append(result, *sum)
	}
	slices.SortFunc(result, func(a, b fleet.Summary) int {
		return cmp.Or(cmp.Compare(a.Kind, b.Kind), cmp.Compare(a.Name, b.Name))
	})
	return result
}

// targetNames returns the set of models or the service of a server.
func targetNames(a *fleet.Announcement) map[string]bool {
	result := make(map[string]bool)
	if a.Kind == fleet.KindService {
		result[a.Service] = true
		return result
	}
	for i := range a.Models {
		result[a.Models[i].Name] = true
	}
	return result
}

// SummaryReceiver returns the entry instance of another data centre that receives the summary of data centre from and
// distributes it there, or "" without candidates. Each sending data centre selects a different one, so that no instance
// distributes two summaries while there are more candidates than data centres. The lowest candidate, which already sends
// the summary of its own data centre, is selected last.
func SummaryReceiver(from fleet.DataCentre, centres []fleet.DataCentre, candidates []fleet.InstanceID) fleet.InstanceID {
	if len(candidates) == 0 {
		return ""
	}
	rank := 1
	for _, centre := range centres {
		if centre < from {
			rank++
		}
	}
	sorted := slices.Sorted(slices.Values(candidates))
	return sorted[rank%len(sorted)]
}

// Summaries stores the latest summary of every other data centre. The zero value is empty.
type Summaries struct {
	centres map[fleet.DataCentre]*receivedSummary
}

type receivedSummary struct {
	from       fleet.InstanceID
	sequence   uint64
	receivedAt time.Time
	targets    []fleet.Summary
}

// Receive stores a summary if it is new and reports whether it was. An instance that received a new summary from another
// data centre distributes it. A summary from a different sender is accepted only when those of the last sender are
// overdue, so that two representatives do not alternate.
func (s *Summaries) Receive(now time.Time, centre fleet.DataCentre, from fleet.InstanceID, sequence uint64, targets []fleet.Summary) bool {
	if s.centres == nil {
		s.centres = make(map[fleet.DataCentre]*receivedSummary)
	}
	last := s.centres[centre]
	if last != nil {
		late := now.Sub(last.receivedAt) > 2*SummaryInterval
		if (from == last.from && sequence <= last.sequence && !late) || (from != last.from && !late) {
			return false
		}
	}
	s.centres[centre] = &receivedSummary{from, sequence, now, targets}
	return true
}

// Fresh returns the summaries that have not expired, sorted by data centre, except those for which skip returns true.
func (s *Summaries) Fresh(now time.Time, skip func(fleet.DataCentre) bool) []fleet.Summary {
	var names []fleet.DataCentre
	for name, r := range s.centres {
		if now.Sub(r.receivedAt) <= SummaryLifetime && (skip == nil || !skip(name)) {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	var result []fleet.Summary
	for _, name := range names {
		result = append(result, s.centres[name].targets...)
	}
	return result
}

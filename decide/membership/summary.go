package membership

import (
	"cmp"
	"slices"
	"time"

	"github.com/banyanfront/banyanfront/decide/fleet"
)

// SummaryInterval is the time between two summaries of a data centre.
const SummaryInterval = time.Second

// SummaryLifetime is the time after which a summary that was not renewed is no longer used. It spans the takeover by the
// next representative, which takes SuspectAfter and a ping round.
const SummaryLifetime = 6 * time.Second

// Summarise sums up the servers of one data centre by model and service.
func Summarise(centre fleet.DataCentre, servers []fleet.Server) []fleet.Summary {
	type key struct {
		kind fleet.Kind
		name string
	}
	sums := make(map[key]*fleet.Summary)
	firsts := make(map[key][]time.Duration)
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
				firsts[k] = append(firsts[k], s.Load.TimeToFirstToken)
			}
		}
	}
	result := make([]fleet.Summary, 0, len(sums))
	for k, sum := range sums {
		if list := firsts[k]; len(list) > 0 {
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

// targetNames returns the service or the models of a server, each once.
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

// Receiver chooses the entry instance of another data centre that gets this one's summary and passes it on inside. Each
// sending data centre chooses another one, so that no instance passes on two summaries while the receiving data centre
// has more instances than there are data centres. The lowest instance, which sends its own summary, comes last.
func Receiver(from fleet.DataCentre, centres []fleet.DataCentre, candidates []fleet.InstanceID) fleet.InstanceID {
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

// Summaries holds the latest summary of every other data centre.
type Summaries struct {
	centres map[fleet.DataCentre]*received
}

type received struct {
	from     fleet.InstanceID
	sequence uint64
	at       time.Time
	targets  []fleet.Summary
}

// Receive stores a summary and reports whether it is news, which an instance that got it from outside passes on. A
// summary of another sender is news once the last one's are late, so that two representatives do not alternate.
func (s *Summaries) Receive(now time.Time, centre fleet.DataCentre, from fleet.InstanceID, sequence uint64, targets []fleet.Summary) bool {
	if s.centres == nil {
		s.centres = make(map[fleet.DataCentre]*received)
	}
	last := s.centres[centre]
	if last != nil {
		late := now.Sub(last.at) > 2*SummaryInterval
		if (from == last.from && sequence <= last.sequence && !late) || (from != last.from && !late) {
			return false
		}
	}
	s.centres[centre] = &received{from, sequence, now, targets}
	return true
}

// Fresh returns the summaries that are not too old, by data centre, without those for which skip is true.
func (s *Summaries) Fresh(now time.Time, skip func(fleet.DataCentre) bool) []fleet.Summary {
	var names []fleet.DataCentre
	for name, r := range s.centres {
		if now.Sub(r.at) <= SummaryLifetime && (skip == nil || !skip(name)) {
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

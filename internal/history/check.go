package history

import (
	"fmt"
	"time"

	"github.com/banyanfront/banyanfront/decide/fleet"
)

// Bounds of the guarantees.
const (
	newWorkBound     = 3 * time.Second // from which a departing server or an evacuated data centre may receive no new work
	convergenceBound = 5 * time.Second // within which all instances apply an accepted configuration, at the current fleet size
)

func violation(guarantee, format string, args ...any) Violation {
	return Violation{guarantee, fmt.Sprintf(format, args...)}
}

// SameExpertMap checks G1: in each decode step, all ranks of a group use the same expert map.
func SameExpertMap(h *History) (found []Violation) {
	type step struct {
		group  string
		number uint64
	}
	first := make(map[step]Step)
	for _, s := range h.Steps {
		key := step{s.Group, s.Number}
		if other, ok := first[key]; !ok {
			first[key] = s
		} else if other.Version != s.Version {
			found = append(found, violation("G1", "group %s step %d: rank %d uses map %d and rank %d map %d",
				s.Group, s.Number, other.Rank, other.Version, s.Rank, s.Version))
		}
	}
	return found
}

// NoCrashWhileCold checks G2: no server crashes under load while it is cold.
func NoCrashWhileCold(h *History) (found []Violation) {
	for _, s := range h.Starts {
		if s.ColdCrashes > 0 {
			found = append(found, violation("G2", "server %s, started at %v, crashed %d times while cold", s.Server, s.At, s.ColdCrashes))
		}
	}
	return found
}

// NoWorkAfterEvacuation checks G3: an evacuated data centre receives no new work after 3 s.
func NoWorkAfterEvacuation(h *History) (found []Violation) {
	for i, evacuation := range h.DataCentreChanges {
		if !evacuation.Evacuated {
			continue
		}
		until := h.End
		for _, restoration := range h.DataCentreChanges[i+1:] {
			if restoration.DataCentre == evacuation.DataCentre && !restoration.Evacuated {
				until = restoration.AcceptedAt
				break
			}
		}
		from := max(evacuation.AcceptedAt, evacuation.ReachableAt) + newWorkBound
		for _, r := range h.Runs {
			if r.DataCentre == evacuation.DataCentre && r.Begun > from && r.Begun < until {
				found = append(found, violation("G3", "request %s ran in %s at %v, evacuated at %v (instances reachable at %v)",
					r.Request, r.DataCentre, r.Begun, evacuation.AcceptedAt, evacuation.ReachableAt))
			}
		}
	}
	return found
}

// CompleteAnswers checks G4: an answer is complete and belongs to its request.
func CompleteAnswers(h *History) (found []Violation) {
	for _, r := range h.Requests {
		if r.Result == Answered && !r.Complete {
			found = append(found, violation("G4", "request %s at %v got a wrong answer: %s", r.ID, r.Begun, r.Detail))
		}
	}
	return found
}

// NotRunNeverRan checks G5: a request that was refused as not run did not run. A keyed request may be sent several times;
// it is checked only if every try was refused as not run.
func NotRunNeverRan(h *History) (found []Violation) {
	refused := make(map[string]bool)
	for _, r := range h.Requests {
		allNotRun, seen := refused[r.ID]
		refused[r.ID] = r.Result == NotRun && (allNotRun || !seen)
	}
	for _, r := range h.Runs {
		if refused[r.Request] {
			found = append(found, violation("G5", "request %s was refused as not run but ran on %s at %v", r.Request, r.Server, r.Begun))
		}
	}
	return found
}

// AtMostOnce checks G6: a non-idempotent request runs at most once.
func AtMostOnce(h *History) (found []Violation) {
	keyed := make(map[string]bool)
	for _, r := range h.Requests {
		if r.Keyed {
			keyed[r.ID] = true
		}
	}
	first := make(map[string]Run)
	for _, r := range h.Runs {
		if !keyed[r.Request] {
			continue
		}
		if other, ok := first[r.Request]; ok {
			found = append(found, violation("G6", "request %s ran on %s at %v and on %s at %v",
				r.Request, other.Server, other.Begun, r.Server, r.Begun))
			continue
		}
		first[r.Request] = r
	}
	return found
}

// NoWorkAfterDeparture checks G7: a departing backend server receives no new work after 3 s.
func NoWorkAfterDeparture(h *History) (found []Violation) {
	for _, d := range h.Departures {
		for _, r := range h.Runs {
			if r.Server == d.Server && r.Begun > d.At+newWorkBound && (d.Until == 0 || r.Begun < d.Until) {
				found = append(found, violation("G7", "request %s ran on %s at %v, departing since %v", r.Request, r.Server, r.Begun, d.At))
			}
		}
	}
	return found
}

// GracefulStops checks G8: a planned stop aborts no request. A run that was aborted because its caller's instance
// crashed, or because another attempt answered first, does not count.
func GracefulStops(h *History) (found []Violation) {
	excluded := make(map[string]bool)
	for _, r := range h.Requests {
		if r.Crashed || r.Result == Answered {
			excluded[r.ID] = true
		}
	}
	for _, s := range h.Stops {
		for _, r := range h.Requests {
			if s.Instance != "" && r.Instance == s.Instance && r.Result == NoAnswer && !r.Crashed && r.Begun < s.To && r.Ended > s.From {
				found = append(found, violation("G8", "request %s got no answer while %s stopped at %v: %s", r.ID, s.Instance, s.From, r.Detail))
			}
		}
		for _, r := range h.Runs {
			if s.Server != "" && r.Server == s.Server && r.Aborted && !excluded[r.Request] && r.Ended >= s.From && r.Ended <= s.To {
				found = append(found, violation("G8", "request %s on %s was aborted at %v while its agent stopped at %v",
					r.Request, r.Server, r.Ended, s.From))
			}
		}
	}
	return found
}

// ConfigurationConverges checks G9: all instances apply an accepted configuration within the bound, and none reverts to an
// older one.
func ConfigurationConverges(h *History) (found []Violation) {
	highest := make(map[fleet.InstanceID]uint64)
	for _, f := range h.RevisionSamples {
		if f.Revision < highest[f.Instance] {
			found = append(found, violation("G9", "%s reverted from revision %d to %d at %v",
				f.Instance, highest[f.Instance], f.Revision, f.At))
		}
		highest[f.Instance] = max(highest[f.Instance], f.Revision)
		for _, a := range h.ConfigurationChanges {
			if f.Revision < a.Revision && f.At > max(a.At, a.ReachableAt)+convergenceBound {
				found = append(found, violation("G9", "%s uses revision %d at %v although %d was accepted at %v",
					f.Instance, f.Revision, f.At, a.Revision, a.At))
			}
		}
	}
	return found
}

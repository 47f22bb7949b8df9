package quarantine

import "time"

// harmfulRatio is the probability that a request which was open at the end of a server, before its answer began, has caused it. Most
// servers end for other reasons, and several requests are open at each.
const harmfulRatio = 0.02

// WeighEnd puts the whole requests that were open at an end into quarantine if sending one of them once more is expected to cost more
// than it earns: atStake requests with the probability that it is at fault, against one that is served. It returns the parts
// that this puts into quarantine. The parts of the prompt are not concerned: other requests share them.
func (t *Tracker) WeighEnd(at time.Time, service string, parts []string, atStake float64) (quarantined []string) {
	if atStake*harmfulRatio < 1 {
		return nil
	}
	for _, part := range parts {
		s := t.find(Key{service, part})
		if !isRequest(part) || s == nil || s.InForce(at) {
			continue
		}
		s.quarantine(at)
		quarantined = append(quarantined, part)
	}
	return quarantined
}

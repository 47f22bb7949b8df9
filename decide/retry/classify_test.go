package retry

import "testing"

// forEachSituation calls check with every possible situation.
func forEachSituation(check func(Situation)) {
	for end := range endCount {
		for bits := range 1 << 7 {
			bit := func(n int) bool { return bits>>n&1 == 1 }
			check(Situation{End: end, Idempotent: bit(0), Delivered: bit(1), CanResume: bit(2), CanInquire: bit(3),
				MayHaveRun: bit(4), OtherInFlight: bit(5), MayResend: bit(6)})
		}
	}
}

// Checks the guarantees for every situation. G4: no caller receives the beginning of two answers. G5: no request that ran
// is answered not_run. G6: no non-idempotent request is sent twice.
func TestClassifyKeepsGuarantees(t *testing.T) {
	forEachSituation(func(s Situation) {
		step := Classify(s)
		resends := step == StepRetry || step == StepResume
		for _, violation := range []struct {
			broken bool
			text   string
		}{
			{step == StepRefuse && (s.End != EndNotRun || s.MayHaveRun || s.OtherInFlight || s.Delivered), "G5: not_run without proof"},
			{resends && !s.Idempotent && (s.End != EndNotRun || s.MayHaveRun || s.OtherInFlight), "G6: sent again without proof"},
			{step == StepResume && !s.Idempotent, "G6: non-idempotent request resumed as a new attempt"},
			{step == StepRetry && s.Delivered, "G4: restarted although the caller has received a part"},
			{step == StepResume && (!s.CanResume || !s.Delivered), "resumed although no engine can, or with nothing to resume"},
			{resends && !s.MayResend, "sent again without budget"},
			{resends && s.OtherInFlight, "sent again while another attempt is in flight"},
			{step == StepInquire && !s.CanInquire, "inquires although the agent was asked or is unreachable"},
			{step == StepWait && !s.OtherInFlight, "waits without another attempt in flight"},
			{step == StepAnswer && s.End != EndDone, "answers without an answer"},
			{step == StepAttach && s.End != EndRunning, "attaches to an attempt that is not running"},
			{step == StepAlreadyRun && s.End != EndDoneLost, "already_run without proof"},
			{s.End == EndDone && step != StepAnswer, "does not deliver a complete answer"},
			{step == StepUnknown && s.CanInquire && !s.Idempotent && !s.OtherInFlight && s.End >= EndUnknown, "gives up without an inquiry"},
			{step == StepUnknown && s.Idempotent && !s.Delivered && s.MayResend, "gives up on a request that may be retried"},
		} {
			if violation.broken {
				t.Errorf("%s: %+v -> %v", violation.text, s, step)
			}
		}
	})
}

// Guards against a situation that no rule matches, and against a rule that can never apply because of earlier ones.
func TestRulesAreExhaustiveAndReachable(t *testing.T) {
	last := map[End]rule{}
	for _, r := range rules {
		last[r.end] = r
	}
	for end := range endCount {
		if (last[end] != rule{end: end, step: last[end].step}) {
			t.Errorf("the last rule of %v has conditions", end)
		}
	}
	full, reached := rules, map[int]bool{}
	defer func() { rules = full }()
	for i := range full {
		// The rule is reachable if it matches some situation that no earlier rule matches.
		rules = full[:i]
		before := map[Situation]bool{}
		forEachSituation(func(s Situation) { before[s] = anyRuleMatches(s) })
		rules = full[:i+1]
		forEachSituation(func(s Situation) { reached[i] = reached[i] || anyRuleMatches(s) && !before[s] })
		if !reached[i] {
			t.Errorf("rule %d (%v) is unreachable", i, full[i])
		}
	}
}

// anyRuleMatches reports whether any rule matches the situation.
func anyRuleMatches(s Situation) bool { return findRule(s) != nil }

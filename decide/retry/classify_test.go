package retry

import "testing"

// forAll calls check with every combination of facts.
func forAll(check func(Situation)) {
	for end := range ends {
		for bits := range 1 << 7 {
			bit := func(n int) bool { return bits>>n&1 == 1 }
			check(Situation{End: end, Idempotent: bit(0), Seen: bit(1), Resumes: bit(2), CanInquire: bit(3),
				MayHaveRun: bit(4), Racing: bit(5), MayResend: bit(6)})
		}
	}
}

// Guards against a request that is answered not_run although it ran (G5), a non-idempotent request that is sent twice
// (G6), and a caller that sees the beginning of two answers (G4).
func TestClassifyKeepsGuarantees(t *testing.T) {
	forAll(func(s Situation) {
		step := Classify(s)
		resends := step == StepRetry || step == StepResume
		for _, violation := range []struct {
			broken bool
			text   string
		}{
			{step == StepRefuse && (s.End != EndNotRun || s.MayHaveRun || s.Racing || s.Seen), "G5: not_run without proof"},
			{resends && !s.Idempotent && (s.End != EndNotRun || s.MayHaveRun || s.Racing), "G6: sent again without proof"},
			{step == StepResume && !s.Idempotent, "G6: non-idempotent request resumed as a new attempt"},
			{step == StepRetry && s.Seen, "G4: restarted although the caller has seen a part"},
			{step == StepResume && (!s.Resumes || !s.Seen), "resumed although no engine can, or with nothing to resume"},
			{resends && !s.MayResend, "sent again without budget"},
			{resends && s.Racing, "sent again while another attempt is in flight"},
			{step == StepInquire && !s.CanInquire, "inquires without end"},
			{step == StepWait && !s.Racing, "waits for nothing"},
			{step == StepAnswer && s.End != EndDone, "answers without an answer"},
			{step == StepAttach && s.End != EndRunning, "attaches to an attempt that does not run"},
			{step == StepAlreadyRun && s.End != EndDoneLost, "already_run without proof"},
			{s.End == EndDone && step != StepAnswer, "withholds an answer"},
			{step == StepUnknown && s.CanInquire && !s.Idempotent && !s.Racing && s.End >= EndUnknown, "gives up unasked"},
			{step == StepUnknown && s.Idempotent && !s.Seen && s.MayResend, "gives up on a request that may repeat"},
		} {
			if violation.broken {
				t.Errorf("%s: %+v -> %v", violation.text, s, step)
			}
		}
	})
}

// Guards against a situation that no rule covers, and against a rule that an earlier one hides.
func TestRulesAreExhaustiveAndReachable(t *testing.T) {
	last := map[End]rule{}
	for _, r := range rules {
		last[r.end] = r
	}
	for end := range ends {
		if (last[end] != rule{end: end, step: last[end].step}) {
			t.Errorf("the last rule of %v has conditions", end)
		}
	}
	full, reached := rules, map[int]bool{}
	defer func() { rules = full }()
	for i := range full {
		// The rule is reachable if some situation ends elsewhere without the rules before it.
		rules = full[:i]
		before := map[Situation]bool{}
		forAll(func(s Situation) { before[s] = matches(s) })
		rules = full[:i+1]
		forAll(func(s Situation) { reached[i] = reached[i] || matches(s) && !before[s] })
		if !reached[i] {
			t.Errorf("rule %d (%v) is never reached", i, full[i])
		}
	}
}

// matches reports whether any rule covers the situation.
func matches(s Situation) bool { return find(s) != nil }

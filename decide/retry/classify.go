package retry

// End is how an attempt ended, as far as the entry instance knows.
type End uint8

// Ends of an attempt.
const (
	// EndDone: the complete answer is here.
	EndDone End = iota
	// EndDoneLost: it ran to its end, but the answer is no longer kept.
	EndDoneLost
	// EndNotRun: the agent promises that the attempt did not run and never will, or it was never sent.
	EndNotRun
	// EndFailed: it started and broke off.
	EndFailed
	// EndUnknown: nobody who could know it answers, or the agent's boot number has changed.
	EndUnknown
	// EndSessionLost: the session broke, or fell silent, before the end of the attempt arrived.
	EndSessionLost
	// EndRunning: an inquiry found that the attempt is still running.
	EndRunning
	ends // number of ends
)

// Step is what to do next.
type Step uint8

// Next steps.
const (
	// StepAnswer: give the caller the answer.
	StepAnswer Step = iota
	// StepRetry: send a new attempt from the start to another server.
	StepRetry
	// StepResume: send a new attempt that continues with the token after those the caller has.
	StepResume
	// StepInquire: ask the agent over another session what became of the attempt.
	StepInquire
	// StepAttach: the attempt is running; wait for its answer over the new session.
	StepAttach
	// StepWait: another attempt of the same request is in flight; its end decides.
	StepWait
	// StepRefuse: answer not_run.
	StepRefuse
	// StepAlreadyRun: answer already_run.
	StepAlreadyRun
	// StepUnknown: answer outcome_unknown, or break off an answer that the caller has begun to receive.
	StepUnknown
	steps // number of steps
)

// Situation is everything that the next step depends on.
type Situation struct {
	End        End
	Idempotent bool // the request may run more than once
	Seen       bool // the caller has received a part of the answer
	Resumes    bool // the answer is a token stream that an engine in reach resumes at a given token
	CanInquire bool // the agent is in reach and has not been asked about this attempt yet
	MayHaveRun bool // an earlier attempt of the request is not proved not run
	Racing     bool // another attempt of the request is in flight
	MayResend  bool // budget, attempts, time and another server are left
}

// condition is a requirement on one fact of a situation.
type condition uint8

const (
	either condition = iota
	yes
	no
)

func (c condition) holds(fact bool) bool { return c == either || (c == yes) == fact }

// rule maps the situations that meet all its conditions to a step.
type rule struct {
	end                                                                  End
	idempotent, seen, resumes, canInquire, mayHaveRun, racing, mayResend condition
	step                                                                 Step
}

// rules is searched from top to bottom; the last rule of each end has no conditions. Reasons of the order:
// a request that is not idempotent is sent again only if no attempt of it can have run; a caller that has seen a part
// of the answer never gets a second beginning; not_run is answered only if no attempt can have run.
var rules = []rule{
	{end: EndDone, step: StepAnswer},

	{end: EndDoneLost, racing: yes, step: StepWait},
	{end: EndDoneLost, idempotent: yes, seen: no, mayResend: yes, step: StepRetry},
	{end: EndDoneLost, idempotent: yes, seen: yes, resumes: yes, mayResend: yes, step: StepResume},
	{end: EndDoneLost, seen: no, step: StepAlreadyRun},
	{end: EndDoneLost, step: StepUnknown},

	{end: EndNotRun, racing: yes, step: StepWait},
	{end: EndNotRun, idempotent: yes, seen: no, mayResend: yes, step: StepRetry},
	{end: EndNotRun, idempotent: yes, seen: yes, resumes: yes, mayResend: yes, step: StepResume},
	{end: EndNotRun, idempotent: no, seen: no, mayHaveRun: no, mayResend: yes, step: StepRetry},
	{end: EndNotRun, seen: no, mayHaveRun: no, step: StepRefuse},
	{end: EndNotRun, step: StepUnknown},

	{end: EndFailed, racing: yes, step: StepWait},
	{end: EndFailed, idempotent: yes, seen: no, mayResend: yes, step: StepRetry},
	{end: EndFailed, idempotent: yes, seen: yes, resumes: yes, mayResend: yes, step: StepResume},
	{end: EndFailed, step: StepUnknown},

	{end: EndUnknown, racing: yes, step: StepWait},
	{end: EndUnknown, idempotent: yes, seen: no, mayResend: yes, step: StepRetry},
	{end: EndUnknown, idempotent: yes, seen: yes, resumes: yes, mayResend: yes, step: StepResume},
	{end: EndUnknown, idempotent: no, canInquire: yes, step: StepInquire},
	{end: EndUnknown, step: StepUnknown},

	{end: EndSessionLost, racing: yes, idempotent: yes, step: StepWait},
	{end: EndSessionLost, canInquire: yes, step: StepInquire},
	{end: EndSessionLost, racing: yes, step: StepWait},
	{end: EndSessionLost, idempotent: yes, seen: no, mayResend: yes, step: StepRetry},
	{end: EndSessionLost, idempotent: yes, seen: yes, resumes: yes, mayResend: yes, step: StepResume},
	{end: EndSessionLost, step: StepUnknown},

	{end: EndRunning, step: StepAttach},
}

// Classify returns the next step. It covers every situation.
func Classify(s Situation) Step {
	if r := find(s); r != nil {
		return r.step
	}
	return StepUnknown
}

// find returns the first rule that covers the situation.
func find(s Situation) *rule {
	for i := range rules {
		r := &rules[i]
		if r.end == s.End && r.idempotent.holds(s.Idempotent) && r.seen.holds(s.Seen) && r.resumes.holds(s.Resumes) &&
			r.canInquire.holds(s.CanInquire) && r.mayHaveRun.holds(s.MayHaveRun) && r.racing.holds(s.Racing) &&
			r.mayResend.holds(s.MayResend) {
			return r
		}
	}
	return nil
}

// String returns the name of the end.
func (e End) String() string {
	if e >= ends {
		return "invalid"
	}
	return [...]string{"done", "done_lost", "not_run", "failed", "unknown", "session_lost", "running"}[e]
}

// String returns the name of the step.
func (s Step) String() string {
	if s >= steps {
		return "invalid"
	}
	return [...]string{"answer", "retry", "resume", "inquire", "attach", "wait", "refuse", "already_run",
		"outcome_unknown"}[s]
}

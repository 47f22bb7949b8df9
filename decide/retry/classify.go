package retry

// End is the outcome of an attempt as observed by the entry instance.
type End uint8

// Outcomes of an attempt.
const (
	// EndDone: the complete answer has been received.
	EndDone End = iota
	// EndDoneLost: the attempt completed, but its answer is no longer stored.
	EndDoneLost
	// EndNotRun: the agent guarantees that the attempt has not run and never will, or it was never sent.
	EndNotRun
	// EndFailed: the attempt started and was aborted.
	EndFailed
	// EndUnknown: no process that could know the outcome answers, or the agent's incarnation has changed.
	EndUnknown
	// EndSessionLost: the session broke or timed out before the end of the attempt was received.
	EndSessionLost
	// EndRunning: the agent reported on inquiry that the attempt is still running.
	EndRunning
	endCount // number of ends
)

// Step is the next step after the end of an attempt.
type Step uint8

// Next steps.
const (
	// StepAnswer: send the answer to the caller.
	StepAnswer Step = iota
	// StepRetry: send a new attempt, from the beginning, to another server.
	StepRetry
	// StepResume: send a new attempt that continues after the tokens that the caller has.
	StepResume
	// StepInquire: ask the agent for the attempt's outcome over another session.
	StepInquire
	// StepAttach: the attempt is running; wait for its answer over the new session.
	StepAttach
	// StepWait: wait for the end of another in-flight attempt of the request.
	StepWait
	// StepRefuse: answer not_run.
	StepRefuse
	// StepAlreadyRun: answer already_run.
	StepAlreadyRun
	// StepUnknown: answer outcome_unknown, or abort an answer that the caller has begun to receive.
	StepUnknown
	stepCount // number of steps
)

// Situation holds all the facts that the next step depends on.
type Situation struct {
	End           End
	Idempotent    bool // the request may run more than once
	Delivered     bool // the caller has received a part of the answer
	CanResume     bool // the answer is a token stream that a reachable engine can resume at a given token
	CanInquire    bool // the agent is reachable and has not been asked about this attempt yet
	MayHaveRun    bool // an earlier attempt of the request ran or may have run
	OtherInFlight bool // another attempt of the request is in flight
	MayResend     bool // budget, attempts and time are left, and another server is available
}

// condition is a rule's requirement on one fact of a situation.
type condition uint8

const (
	either condition = iota
	yes
	no
)

func (c condition) metBy(fact bool) bool { return c == either || (c == yes) == fact }

// rule maps the situations that meet all its conditions to a step.
type rule struct {
	end                                                                                End
	idempotent, delivered, canResume, canInquire, mayHaveRun, otherInFlight, mayResend condition
	step                                                                               Step
}

// rules is searched in order; the last rule of each End has no conditions. The order ensures that a non-idempotent request
// is sent again only if no attempt of it can have run, that a caller that has received a part of the answer never gets
// its beginning again, and that not_run is answered only if no attempt can have run.
var rules = []rule{
	{end: EndDone, step: StepAnswer},

	{end: EndDoneLost, otherInFlight: yes, step: StepWait},
	{end: EndDoneLost, idempotent: yes, delivered: no, mayResend: yes, step: StepRetry},
	{end: EndDoneLost, idempotent: yes, delivered: yes, canResume: yes, mayResend: yes, step: StepResume},
	{end: EndDoneLost, delivered: no, step: StepAlreadyRun},
	{end: EndDoneLost, step: StepUnknown},

	{end: EndNotRun, otherInFlight: yes, step: StepWait},
	{end: EndNotRun, idempotent: yes, delivered: no, mayResend: yes, step: StepRetry},
	{end: EndNotRun, idempotent: yes, delivered: yes, canResume: yes, mayResend: yes, step: StepResume},
	{end: EndNotRun, idempotent: no, delivered: no, mayHaveRun: no, mayResend: yes, step: StepRetry},
	{end: EndNotRun, delivered: no, mayHaveRun: no, step: StepRefuse},
	{end: EndNotRun, step: StepUnknown},

	{end: EndFailed, otherInFlight: yes, step: StepWait},
	{end: EndFailed, idempotent: yes, delivered: no, mayResend: yes, step: StepRetry},
	{end: EndFailed, idempotent: yes, delivered: yes, canResume: yes, mayResend: yes, step: StepResume},
	{end: EndFailed, step: StepUnknown},

	{end: EndUnknown, otherInFlight: yes, step: StepWait},
	{end: EndUnknown, idempotent: yes, delivered: no, mayResend: yes, step: StepRetry},
	{end: EndUnknown, idempotent: yes, delivered: yes, canResume: yes, mayResend: yes, step: StepResume},
	{end: EndUnknown, idempotent: no, canInquire: yes, step: StepInquire},
	{end: EndUnknown, step: StepUnknown},

	{end: EndSessionLost, otherInFlight: yes, idempotent: yes, step: StepWait},
	{end: EndSessionLost, canInquire: yes, step: StepInquire},
	{end: EndSessionLost, otherInFlight: yes, step: StepWait},
	{end: EndSessionLost, idempotent: yes, delivered: no, mayResend: yes, step: StepRetry},
	{end: EndSessionLost, idempotent: yes, delivered: yes, canResume: yes, mayResend: yes, step: StepResume},
	{end: EndSessionLost, step: StepUnknown},

	{end: EndRunning, step: StepAttach},
}

// Classify returns the next step. It is defined for every situation.
func Classify(s Situation) Step {
	if r := findRule(s); r != nil {
		return r.step
	}
	return StepUnknown
}

// findRule returns the first rule that matches the situation, nil if none does.
func findRule(s Situation) *rule {
	for i := range rules {
		r := &rules[i]
		if r.end == s.End && r.idempotent.metBy(s.Idempotent) && r.delivered.metBy(s.Delivered) &&
			r.canResume.metBy(s.CanResume) && r.canInquire.metBy(s.CanInquire) && r.mayHaveRun.metBy(s.MayHaveRun) &&
			r.otherInFlight.metBy(s.OtherInFlight) && r.mayResend.metBy(s.MayResend) {
			return r
		}
	}
	return nil
}

// String returns the name of the outcome.
func (e End) String() string {
	if e >= endCount {
		return "invalid"
	}
	return [...]string{"done", "done_lost", "not_run", "failed", "unknown", "session_lost", "running"}[e]
}

// String returns the name of the step.
func (s Step) String() string {
	if s >= stepCount {
		return "invalid"
	}
	return [...]string{"answer", "retry", "resume", "inquire", "attach", "wait", "refuse", "already_run",
		"outcome_unknown"}[s]
}

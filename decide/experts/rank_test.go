package experts

import "testing"

// Guards against an unsafe promise of a rank: each of these could let two ranks run a step with different maps or let a
// replaced coordinator act (fencing).
func TestRankRefusesUnsafePromises(t *testing.T) {
	change := func(token, sequence uint64) ChangeID { return ChangeID{Token: token, Sequence: sequence} }
	prepare := func(token, sequence, step uint64) Prepare {
		return Prepare{Change: change(token, sequence), Step: step}
	}
	for _, test := range []struct {
		name   string
		before []Message
		start  uint64 // step that the rank has asked for, 0 for none since its start
		m      Message
		want   Answer
	}{
		{"first prepare", nil, 10, prepare(3, 1, 20), AnswerPrepared},
		{"repeated prepare", []Message{prepare(3, 1, 20)}, 10, prepare(3, 1, 20), AnswerPrepared},
		{"other step", []Message{prepare(3, 1, 20)}, 10, prepare(3, 1, 21), AnswerRefused},
		{"other change under a promise", []Message{prepare(3, 1, 20)}, 10, prepare(4, 1, 20), AnswerRefused},
		{"old token", []Message{Load{Change: change(4, 1)}}, 10, prepare(3, 1, 20), AnswerRefused},
		{"aborted change", []Message{Decided{Change: change(3, 1)}}, 10, prepare(3, 1, 20), AnswerRefused},
		{"next change after an abort", []Message{prepare(3, 1, 20), Decided{Change: change(3, 1)}}, 10, prepare(3, 2, 20),
			AnswerPrepared},
		{"step has started", nil, 10, prepare(3, 1, 10), AnswerRefused},
		{"step before the last change", []Message{Decided{Change: change(3, 1), Committed: true, Step: 30}}, 10,
			prepare(3, 2, 30), AnswerRefused},
		{"weights not loaded", nil, 10, prepare(3, 9, 20), AnswerRefused},
		{"progress unknown after a restart", nil, 0, prepare(3, 1, 20), AnswerRefused},
	} {
		t.Run(test.name, func(t *testing.T) {
			state := NewGroupState(1, ChangeID{})
			state.Join(1, 0, 5)
			r := NewRank(0, 5)
			r.UpdateState(&state)
			for _, c := range []ChangeID{{}, change(3, 1), change(3, 2), change(4, 1)} {
				r.WeightsLoaded(c)
			}
			if test.start > 0 {
				r.StartStep(test.start)
			}
			for _, m := range test.before {
				r.HandleMessage(m)
			}
			if got, _ := r.HandleMessage(test.m); got.Answer != test.want {
				t.Errorf("answer %d, want %d", got.Answer, test.want)
			}
		})
	}
}

// Guards against a decision that the log must not commit: under an old token, after a rank has restarted, at a step not
// after the last change, or after another decision of the same change.
func TestGroupStateCommitsOnlyValidDecisions(t *testing.T) {
	for _, test := range []struct {
		name  string
		after func(*GroupState)
		d     Decision
		want  Outcome
	}{
		{"commit", func(*GroupState) {}, Decision{Change: ChangeID{2, 2}, Commit: true, Step: 11, Epoch: 2}, Committed},
		{"abort", func(*GroupState) {}, Decision{Change: ChangeID{2, 2}, Step: 11, Epoch: 2}, Aborted},
		{"old token", func(*GroupState) {}, Decision{Change: ChangeID{1, 9}, Commit: true, Step: 11, Epoch: 2}, Aborted},
		{"token taken over", func(state *GroupState) { state.Acquire(7, "b") }, Decision{Change: ChangeID{2, 2}, Commit: true, Step: 11,
			Epoch: 2}, Aborted},
		{"rank restarted", func(state *GroupState) { state.Join(7, 0, 6) }, Decision{Change: ChangeID{2, 2}, Commit: true, Step: 11,
			Epoch: 2}, Aborted},
		{"repeated join", func(state *GroupState) { state.Join(7, 0, 5) }, Decision{Change: ChangeID{2, 2}, Commit: true, Step: 11,
			Epoch: 2}, Committed},
		{"step not later", func(*GroupState) {}, Decision{Change: ChangeID{2, 2}, Commit: true, Step: 10, Epoch: 2}, Aborted},
		{"abort after commit", func(*GroupState) {}, Decision{Change: ChangeID{2, 1}}, Committed},
		{"commit after abort", func(state *GroupState) { state.Apply(7, Decision{Change: ChangeID{2, 2}}) }, Decision{Change: ChangeID{2, 2},
			Commit: true, Step: 11, Epoch: 2}, Aborted},
	} {
		state := NewGroupState(2, ChangeID{})
		state.Join(1, 0, 5)
		state.Join(2, 1, 5)
		state.Acquire(3, "a")
		state.Acquire(4, "a")
		if got := state.Apply(5, Decision{Change: ChangeID{2, 1}, Commit: true, Step: 10, Epoch: 2}); got != Committed {
			t.Fatalf("first change: outcome %d", got)
		}
		test.after(&state)
		if got := state.Apply(8, test.d); got != test.want {
			t.Errorf("%s: outcome %d, want %d", test.name, got, test.want)
		}
	}
}

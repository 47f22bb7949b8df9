package experts

import "testing"

// Guards against a promise that a rank must not give: each of these could let two ranks run a step with different maps
// (G1) or let a deposed coordinator act (fencing).
func TestRankRefuses(t *testing.T) {
	change := func(token, sequence uint64) ChangeID { return ChangeID{Token: token, Sequence: sequence} }
	prepare := func(token, sequence, step uint64) Prepare {
		return Prepare{Change: change(token, sequence), Step: step}
	}
	for _, test := range []struct {
		name   string
		before []Message
		start  uint64 // first step asked for; the rank asked for steps 0 to 9 before if 10
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
			l := NewLedger(1, ChangeID{})
			l.Join(1, 0, 5)
			r := NewRank(0, 5)
			r.Agreed(&l)
			for _, c := range []ChangeID{{}, change(3, 1), change(3, 2), change(4, 1)} {
				r.Loaded(c)
			}
			if test.start > 0 {
				r.Start(test.start)
			}
			for _, m := range test.before {
				r.Handle(m)
			}
			if got, _ := r.Handle(test.m); got.Answer != test.want {
				t.Errorf("answer %d, want %d", got.Answer, test.want)
			}
		})
	}
}

// Guards against a decision that the log must not commit: under an old token, after a rank has restarted, at a step not
// after the last change, or after another decision of the same change.
func TestLedgerDecides(t *testing.T) {
	for _, test := range []struct {
		name  string
		after func(*Ledger)
		d     Decide
		want  Outcome
	}{
		{"commit", func(*Ledger) {}, Decide{Change: ChangeID{2, 2}, Commit: true, Step: 11, Epoch: 2}, Committed},
		{"abort", func(*Ledger) {}, Decide{Change: ChangeID{2, 2}, Step: 11, Epoch: 2}, Aborted},
		{"old token", func(*Ledger) {}, Decide{Change: ChangeID{1, 9}, Commit: true, Step: 11, Epoch: 2}, Aborted},
		{"token taken over", func(l *Ledger) { l.Acquire(7, "b") }, Decide{Change: ChangeID{2, 2}, Commit: true, Step: 11,
			Epoch: 2}, Aborted},
		{"rank restarted", func(l *Ledger) { l.Join(7, 0, 6) }, Decide{Change: ChangeID{2, 2}, Commit: true, Step: 11,
			Epoch: 2}, Aborted},
		{"repeated join", func(l *Ledger) { l.Join(7, 0, 5) }, Decide{Change: ChangeID{2, 2}, Commit: true, Step: 11,
			Epoch: 2}, Committed},
		{"step not later", func(*Ledger) {}, Decide{Change: ChangeID{2, 2}, Commit: true, Step: 10, Epoch: 2}, Aborted},
		{"abort after commit", func(*Ledger) {}, Decide{Change: ChangeID{2, 1}}, Committed},
		{"commit after abort", func(l *Ledger) { l.Apply(7, Decide{Change: ChangeID{2, 2}}) }, Decide{Change: ChangeID{2, 2},
			Commit: true, Step: 11, Epoch: 2}, Aborted},
	} {
		l := NewLedger(2, ChangeID{})
		l.Join(1, 0, 5)
		l.Join(2, 1, 5)
		l.Acquire(3, "a")
		l.Acquire(4, "a")
		if got := l.Apply(5, Decide{Change: ChangeID{2, 1}, Commit: true, Step: 10, Epoch: 2}); got != Committed {
			t.Fatalf("first change: outcome %d", got)
		}
		test.after(&l)
		if got := l.Apply(8, test.d); got != test.want {
			t.Errorf("%s: outcome %d, want %d", test.name, got, test.want)
		}
	}
}

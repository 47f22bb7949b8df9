package statemachine

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/matryer/is"

	"github.com/banyanfront/banyanfront/decide/fleet"
	"github.com/banyanfront/banyanfront/decide/release"
)

func attempt(n int) AttemptID { return AttemptID{byte(n), byte(n >> 8), byte(n >> 16), 1} }

func claim(key string, n int) Claim {
	return Claim{Organisation: "windows", Key: key, Digest: RequestDigest{1}, Attempt: attempt(n), Server: "pedidos-1", Incarnation: 7}
}

func addNote(number uint64, author, server string) *PublishNote {
	return &PublishNote{At: 1e9, Note: release.Note{Number: number, Author: author, Servers: release.ServerChanges{
		Add: []release.Server{{ID: fleet.ServerID(server), DataCentre: "norte", Kind: release.KindService, Service: "pedidos"}}}}}
}

// Guards against two notes accepted with one number, a resent note that gets a different result, and an older note that
// overrides a newer one.
func TestNotesWithEqualNumbers(t *testing.T) {
	is := is.New(t)
	s := New(Limits{})
	first := s.Apply(1, addNote(5, "marta", "a"))
	is.Equal(first.Code, OK)
	other := s.Apply(2, addNote(5, "juan", "b"))
	is.Equal(other.Code, Conflict)
	is.Equal(other.Note.Author, "marta")
	is.Equal(other.Note.Digest, first.Note.Digest)
	again := s.Apply(3, addNote(5, "marta", "a"))
	is.Equal(again.Code, Repeated)
	is.Equal(again.Index, uint64(1))
	is.Equal(again.Note, first.Note)
	is.Equal(s.Apply(4, addNote(4, "juan", "b")).Code, Stale)
	is.Equal(s.Apply(5, addNote(6, "juan", "a")).Code, Refused) // already listed
	is.Equal(s.Apply(6, addNote(6, "juan", "b")).Code, OK)      // a refused note does not use up its number
	is.Equal(s.Apply(6, addNote(7, "juan", "c")).Code, OutOfOrder)
	is.Equal(len(s.View().Config.Servers), 2)
}

// Guards against an accepted withdrawal that leaves a used service without servers.
func TestGroupRefusesOutage(t *testing.T) {
	is := is.New(t)
	s := New(Limits{})
	s.Apply(1, addNote(1, "marta", "a"))
	s.Apply(2, &RegisterUses{At: 5, Uses: []release.Use{{Server: "a", DataCentre: "norte", Organisation: "windows", Kind: fleet.KindService, Name: "pedidos", Last: 5}}})
	withdraw := &PublishNote{Note: release.Note{Number: 2, Author: "juan", Servers: release.ServerChanges{Withdraw: []fleet.ServerID{"a"}}}}
	refused := s.Apply(3, withdraw)
	is.Equal(refused.Code, Refused)
	is.Equal(refused.Findings[0].Code, release.OutageRefused)
	withdraw.Observed = []release.ObservedTarget{{Kind: fleet.KindService, Name: "pedidos", Servers: 1}}
	is.Equal(s.Apply(4, withdraw).Code, OK)
	is.Equal(s.View().Config.WithdrawnBy("a"), uint64(2))
}

// Guards against a request that runs twice under one key, and against a claim that is replaced without proof that its
// attempt did not run.
func TestClaims(t *testing.T) {
	outcome := func(n int, o Outcome) *RecordOutcomes {
		return &RecordOutcomes{[]AttemptOutcome{{"windows", "k", attempt(n), o, 201}}}
	}
	otherDigest := claim("k", 2)
	otherDigest.Digest = RequestDigest{2}
	first := &ClaimKey{claim("k", 1), 100}
	cases := []struct {
		name     string
		commands []Command
		want     []Code
		attempt  int // of the claim at the end
		outcome  Outcome
	}{
		{"second claim", []Command{first, &ClaimKey{claim("k", 2), 101}}, []Code{OK, Existing}, 1, Pending},
		{"resent claim", []Command{first, first}, []Code{OK, Repeated}, 1, Pending},
		{"other request", []Command{first, &ClaimKey{otherDigest, 101}}, []Code{OK, KeyReused}, 1, Pending},
		{"after done", []Command{first, outcome(1, Done), &ClaimKey{claim("k", 2), 101}}, []Code{OK, OK, Existing}, 1, Done},
		{"after not run", []Command{first, outcome(1, NotRun), &ClaimKey{claim("k", 2), 101}}, []Code{OK, OK, OK}, 2, Pending},
		{"after unknown", []Command{first, outcome(1, Unknown), &ClaimKey{claim("k", 2), 101}}, []Code{OK, OK, Existing}, 1, Unknown},
		{"proof replaces unknown", []Command{first, outcome(1, Unknown), outcome(1, Done)}, []Code{OK, OK, OK}, 1, Done},
		{"done stays", []Command{first, outcome(1, Done), outcome(1, NotRun)}, []Code{OK, OK, OK}, 1, Done},
		{"done replaces not run", []Command{first, outcome(1, NotRun), outcome(1, Done)}, []Code{OK, OK, OK}, 1, Done},
		{"not run stays", []Command{first, outcome(1, NotRun), outcome(1, Unknown)}, []Code{OK, OK, OK}, 1, NotRun},
		{"replaced", []Command{first, &ReplaceClaim{attempt(1), claim("k", 2), 101}}, []Code{OK, OK}, 2, Pending},
		{"replaced twice", []Command{first, &ReplaceClaim{attempt(1), claim("k", 2), 101}, &ReplaceClaim{attempt(1), claim("k", 3), 101}},
			[]Code{OK, OK, Existing}, 2, Pending},
		{"replaced after done", []Command{first, outcome(1, Done), &ReplaceClaim{attempt(1), claim("k", 2), 101}}, []Code{OK, OK, Existing}, 1, Done},
		{"late outcome of a replaced attempt", []Command{first, &ReplaceClaim{attempt(1), claim("k", 2), 101}, outcome(1, Done)},
			[]Code{OK, OK, OK}, 2, Pending},
		{"without a server", []Command{first, &ClaimKey{Claim{Organisation: "o", Key: "x", Attempt: attempt(3)}, 1}}, []Code{OK, Refused}, 1, Pending},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			s := New(Limits{})
			for i, command := range c.commands {
				is.Equal(s.Apply(uint64(i+1), command).Code, c.want[i])
			}
			record := s.Lookup("windows", "k")
			is.Equal(record.Attempt, attempt(c.attempt))
			is.Equal(record.Outcome, c.outcome)
		})
	}
}

// Guards against expiry of a claim without a proven outcome, against finished claims that never expire, and against one
// organisation that fills the table.
func TestExpiryAndBounds(t *testing.T) {
	is := is.New(t)
	s := New(Limits{Keys: 4, KeysPerOrganisation: 3})
	const day = 24 * 3600
	index := uint64(0)
	apply := func(c Command) Result { index++; return s.Apply(index, c) }
	for i := range 3 {
		is.Equal(apply(&ClaimKey{claim(fmt.Sprint(i), i), 1000}).Code, OK)
	}
	is.Equal(apply(&ClaimKey{claim("3", 3), 1000}).Code, Full) // limit per organisation
	other := claim("x", 9)
	other.Organisation = "facades"
	is.Equal(apply(&ClaimKey{other, 1000}).Code, OK)
	other.Key, other.Attempt = "y", attempt(10)
	is.Equal(apply(&ClaimKey{other, 1000}).Code, Full) // total limit
	apply(&RecordOutcomes{[]AttemptOutcome{{"windows", "0", attempt(0), Done, 200}}})
	is.Equal(apply(&ExpireKeys{1000 + day}).Count, 0) // a single fast clock expires nothing
	is.Equal(apply(&ClaimKey{claim("3", 3), 1000 + day}).Code, Full)
	is.Equal(apply(&ExpireKeys{999 + day}).Count, 0)
	is.Equal(apply(&ExpireKeys{1000 + day}).Count, 1) // only the finished one
	is.Equal(s.Keys(), 3)
	is.Equal(apply(&ClaimKey{claim("1", 11), 1000 + day}).Code, Existing) // an unresolved claim is still valid
	is.Equal(apply(&RecordOutcomes{[]AttemptOutcome{{"windows", "1", attempt(1), Done, 200}}}).Count, 1)
	is.Equal(apply(&ExpireKeys{1000 + day}).Count, 1)
	is.Equal(apply(&ReplaceClaim{attempt(2), claim("2", 12), 1000 + day}).Code, OK)
	apply(&ClaimKey{claim("4", 4), 1001 + 7*day})
	is.Equal(apply(&ExpireKeys{1001 + 7*day}).Count, 1) // "x", a week old; "2" moves to unresolved
	is.True(s.Lookup("windows", "2") != nil)
}

// Guards against records that refer to wrong names, and wrong counts per organisation, after unused names are dropped.
func TestNamesAreDroppedWithTheirRecords(t *testing.T) {
	is := is.New(t)
	s := New(Limits{Keys: 10000, KeysPerOrganisation: 10})
	for i := range 5000 {
		c := claim("k", i)
		c.Organisation, c.Server = fleet.Organisation(fmt.Sprint("o", i)), fleet.ServerID(fmt.Sprint("s", i))
		is.Equal(s.Apply(uint64(2*i+1), &ClaimKey{c, int64(i)}).Code, OK)
		s.Apply(uint64(2*i+2), &RecordOutcomes{[]AttemptOutcome{{c.Organisation, c.Key, c.Attempt, Done, 200}}})
	}
	s.Apply(20000, &ClaimKey{claim("k", 1), 24*3600 + 3999})
	is.Equal(s.Apply(20001, &ExpireKeys{24*3600 + 3999}).Count, 4000)
	is.Equal(len(s.keys.servers.names), 1001)
	is.Equal(len(s.keys.organisations.names), 1001)
	is.Equal(s.Lookup("o4500", "k").Server, fleet.ServerID("s4500"))
	is.Equal(s.Lookup("windows", "k").Server, fleet.ServerID("pedidos-1"))
	for _, count := range s.keys.perOrganisation {
		is.Equal(count, 1)
	}
}

// Guards against recorded uses whose time decreases, that never expire, or that evict others when the table is full.
func TestUses(t *testing.T) {
	is := is.New(t)
	s := New(Limits{Uses: 2})
	const day = 24 * 3600
	index := uint64(0)
	register := func(server string, last, at int64) Result {
		index++
		return s.Apply(index, &RegisterUses{At: at, Uses: []release.Use{{Server: fleet.ServerID(server), Organisation: "o", Name: "m", Last: last}}})
	}
	is.Equal(register("a", 50, 100).Count, 1)
	is.Equal(register("a", 40, 100).Count, 0)
	is.Equal(register("b", 100*day, 100*day).Count, 1)
	is.Equal(register("c", 100*day, 100*day).UsesDropped, 1)
	is.Equal(register("c", 102*day, 102*day).Count, 1) // "a" was dropped after 100 days
	for use := range s.Uses() {
		is.True(use.Server != "a")
	}
	is.Equal(s.UsesSince().Unix(), int64(100))
	index++
	s.Apply(index, &PublishNote{Note: release.Note{Number: 1, Author: "m", Servers: release.ServerChanges{Withdraw: []fleet.ServerID{"b"}}, AcceptOutage: []release.Outage{{Kind: release.KindModel, Name: "m"}}}})
	index++
	is.Equal(s.Apply(index, &PublishNote{Note: release.Note{Number: 2, Author: "m", Servers: release.ServerChanges{Forget: []fleet.ServerID{"b"}}}}).Code, OK)
	is.Equal(register("d", 102*day, 102*day).Count, 1)
}

// Guards against two coordinators with the same token, a stale coordinator's decision and a second decision on a version.
func TestFencingAndMapDecisions(t *testing.T) {
	is := is.New(t)
	s := New(Limits{})
	scope := ExpertScope("g")
	grant := &GrantFencing{Scope: scope, Holder: "a", Incarnation: 1}
	is.Equal(s.Apply(1, grant).Fencing.Token, uint64(1))
	is.Equal(s.Apply(2, grant).Code, Repeated)
	is.Equal(s.Apply(3, &GrantFencing{Scope: scope, Holder: "b", Incarnation: 1}).Code, Conflict)
	decide := func(version, step, token uint64, abort bool) Command {
		return &DecideMap{MapDecision{Group: "g", Version: version, FromStep: step, Abort: abort}, token}
	}
	is.Equal(s.Apply(4, decide(1, 10, 1, false)).Code, OK)
	is.Equal(s.Apply(5, decide(1, 10, 1, false)).Code, Repeated)
	is.Equal(s.Apply(6, decide(1, 0, 1, true)).Code, Conflict)
	is.Equal(s.Apply(7, &GrantFencing{Scope: scope, Holder: "b", Incarnation: 1, Replaces: 1}).Fencing.Token, uint64(2))
	is.Equal(s.Apply(8, decide(2, 20, 1, false)).Code, Stale) // the old coordinator's token
	is.Equal(s.Apply(9, decide(2, 10, 2, false)).Code, Refused)
	is.Equal(s.Apply(10, decide(2, 20, 2, false)).Code, OK)
	for version := uint64(3); version < 20; version++ {
		s.Apply(8+version, decide(version, 0, 2, true))
	}
	is.Equal(s.Apply(40, decide(2, 99, 2, false)).Code, Conflict) // the committed map is kept after many aborts
	is.Equal(s.View().Decision("g", 2).FromStep, uint64(20))
	is.True(len(s.maps[0].Decisions) <= maxDecisionsPerGroup)
}

func randomCommand(r *rand.Rand, i int) Command {
	key := fmt.Sprint(r.IntN(300))
	c := claim(key, 1+r.IntN(5))
	c.Organisation = fleet.Organisation(fmt.Sprintf("o%d", r.IntN(4)))
	c.Server = fleet.ServerID(fmt.Sprintf("s%d", r.IntN(40)))
	now := int64(i) * 400
	switch r.IntN(9) {
	case 0:
		n := addNote(uint64(i/10), []string{"m", "j"}[r.IntN(2)], fmt.Sprint("s", r.IntN(40)))
		if r.IntN(2) == 0 {
			n.Note.Servers = release.ServerChanges{Withdraw: []fleet.ServerID{c.Server}}
		}
		return n
	case 1:
		return &EvacuateDataCentre{DataCentreRecord{Name: "norte", Term: uint64(1 + i/200), Out: true, At: now}}
	case 2:
		return &RestoreDataCentre{Name: "norte", ObservedTerm: uint64(i / 200)}
	case 3:
		return &ReplaceClaim{attempt(1 + r.IntN(5)), c, now}
	case 4:
		return &RecordOutcomes{[]AttemptOutcome{{c.Organisation, key, c.Attempt, Outcome(r.IntN(4)), 200}}}
	case 5:
		return &GrantFencing{Scope: ExpertScope("g"), Holder: "a", Incarnation: fleet.Incarnation(r.IntN(3)), Replaces: r.Uint64N(10)}
	case 6:
		return &DecideMap{MapDecision{Group: "g", Version: uint64(1 + i/50), FromStep: uint64(i)}, r.Uint64N(10)}
	case 7:
		if r.IntN(4) == 0 {
			return &ExpireKeys{now}
		}
		return &RegisterUses{[]release.Use{{Server: c.Server, DataCentre: "norte", Organisation: c.Organisation, Kind: fleet.KindService, Name: "pedidos", Last: now}}, now}
	}
	return &ClaimKey{c, now}
}

// Guards against members whose results differ after one of them was restored from a snapshot, and against a daemon's view
// that differs from the state after applying single changes.
func TestReplayFromSnapshotsAndChanges(t *testing.T) {
	for seed := range uint64(8) {
		is := is.New(t)
		r := rand.New(rand.NewPCG(seed, 1))
		limits := Limits{Keys: 400, KeysPerOrganisation: 150, Uses: 100}
		a, b, view := New(limits), New(limits), EmptyView()
		accepted := 0
		for i := range 6000 {
			command := randomCommand(r, i)
			x, y := a.Apply(uint64(i+1), command), b.Apply(uint64(i+1), command)
			is.Equal(x, y)
			if x.Change != nil {
				accepted++
				var err error
				view, err = view.Apply(x.Change)
				is.NoErr(err)
			}
			if r.IntN(200) == 0 {
				var err error
				b, err = Import(b.Export(), limits)
				is.NoErr(err)
			}
		}
		is.Equal(a.Export(), b.Export())
		is.Equal(view, a.View())
		is.True(accepted > 100)
		_, err := view.Apply(&Change{Previous: view.Revision + 1, Index: view.Revision + 2})
		is.True(err != nil) // a gap is detected
	}
}

// Guards against a key table that loses, duplicates or reorders records, by comparison with a plain map.
func TestKeyTableMatchesMap(t *testing.T) {
	is := is.New(t)
	r := rand.New(rand.NewPCG(3, 4))
	var table keyTable
	model := make(map[keyID]uint32)
	for i := range 200000 {
		id := keyID{byte(r.IntN(256)), byte(r.IntN(40)), 0, 0, byte(r.IntN(2))} // long probe sequences
		switch {
		case model[id] == 0 && (r.IntN(3) > 0 || i < 20000):
			table.add(KeyRecord{ID: id, At: uint32(i + 1)})
			model[id] = uint32(i + 1)
		case r.IntN(2) == 0 && table.count > 0:
			oldest := table.oldest()
			delete(model, oldest.ID)
			table.remove(oldest.ID)
		case model[id] != 0:
			is.Equal(table.get(id).At, model[id])
			table.remove(id)
			delete(model, id)
		}
		is.Equal(table.count, len(model))
	}
	last := uint32(0)
	for record := range table.all {
		is.Equal(model[record.ID], record.At)
		is.True(record.At > last)
		last = record.At
	}
}

package protocol

import (
	"bytes"
	"fmt"
	"testing"

	"github.com/matryer/is"

	"github.com/banyanfront/banyanfront/decide/fleet"
	"github.com/banyanfront/banyanfront/decide/release"
	"github.com/banyanfront/banyanfront/decide/statemachine"
)

func sampleCommands() []statemachine.Command {
	claim := statemachine.Claim{Organisation: "windows", Key: "k", Digest: statemachine.RequestDigest{1, 2}, Attempt: statemachine.AttemptID{3}, Server: "a", Incarnation: 7}
	note := release.Note{Number: 3, Author: "marta", Comment: "c", Servers: release.ServerChanges{
		Add:      []release.Server{{ID: "a", DataCentre: "norte", Kind: release.KindEngine, Models: []release.ExpectedModel{{Name: "m", Version: "1", Adapters: []string{"x"}}}}},
		Withdraw: []fleet.ServerID{"b"}}, Calls: []release.CallRule{{Service: "s", Method: "POST", PathPrefix: "/x", Idempotent: true}},
		AcceptOutage: []release.Outage{{Kind: release.KindModel, Name: "m"}}}
	return []statemachine.Command{
		&statemachine.PublishNote{Note: note, Observed: []release.ObservedTarget{{Name: "m", Servers: 2}}, At: 5},
		&statemachine.EvacuateDataCentre{Record: statemachine.DataCentreRecord{Name: "norte", Term: 4, Out: true, Author: "a", Reason: "r", At: 6}},
		&statemachine.RestoreDataCentre{Name: "norte", ObservedTerm: 4, Author: "a", At: 7},
		&statemachine.ClaimKey{Claim: claim, At: 8},
		&statemachine.ReplaceClaim{NotRun: statemachine.AttemptID{1}, Claim: claim, At: 9},
		&statemachine.RecordOutcomes{Outcomes: []statemachine.AttemptOutcome{{Organisation: "windows", Key: "k", Attempt: claim.Attempt, Outcome: statemachine.Done, Status: 201}}},
		&statemachine.GrantFencing{Scope: "experts/g", Holder: "h", Incarnation: 2},
		&statemachine.DecideMap{Decision: statemachine.MapDecision{Group: "g", Version: 1, FromStep: 10, Digest: []byte{1}}, Fencing: 1},
		&statemachine.ExpireKeys{Now: 9},
		&statemachine.RegisterUses{Uses: []release.Use{{Server: "a", DataCentre: "norte", Organisation: "windows", Name: "m", Last: 4}}, At: 10},
	}
}

// Guards against a command, result, change, view or snapshot that loses a field in its encoding.
func TestAgreedStateEncodingRoundTrip(t *testing.T) {
	is := is.New(t)
	commands := sampleCommands()
	is.Equal(len(commands), len(newCommandByKind))
	state := statemachine.New(statemachine.Limits{})
	for i, command := range commands {
		data, err := EncodeCommand(command)
		is.NoErr(err)
		decoded, err := DecodeCommand(data)
		is.NoErr(err)
		is.Equal(decoded, command)
		result := state.Apply(uint64(i+1), decoded)
		if result.Change != nil {
			data, err = EncodeChange(result.Change)
			is.NoErr(err)
			change, err := DecodeChange(data)
			is.NoErr(err)
			is.Equal(change, result.Change)
			result.Change = nil
		}
		data, err = EncodeResult(&result)
		is.NoErr(err)
		decodedResult, err := DecodeResult(data)
		is.NoErr(err)
		is.Equal(decodedResult, &result)
	}
	data, err := EncodeSnapshot(state.Export())
	is.NoErr(err)
	snapshot, err := DecodeSnapshot(data)
	is.NoErr(err)
	restored, err := statemachine.Import(snapshot, statemachine.Limits{})
	is.NoErr(err)
	is.Equal(restored.Lookup("windows", "k"), state.Lookup("windows", "k"))
	again, err := EncodeSnapshot(restored.Export())
	is.NoErr(err)
	is.True(bytes.Equal(data, again))
	data, err = EncodeView(state.View())
	is.NoErr(err)
	view, err := DecodeView(data)
	is.NoErr(err)
	is.Equal(view, state.View())
	data, err = EncodeDataCentres(view.DataCentres)
	is.NoErr(err)
	centres, err := DecodeDataCentres(data)
	is.NoErr(err)
	is.Equal(centres, view.DataCentres)
}

// Guards against a view or release note of the target size, 4,200 servers, that does not fit in one message.
func TestViewAndNoteOf4200ServersFitInOneMessage(t *testing.T) {
	is := is.New(t)
	note := release.Note{Number: 1, Author: "marta"}
	for i := range 4200 {
		note.Servers.Add = append(note.Servers.Add, release.Server{ID: fleet.ServerID(fmt.Sprintf("ub-north-engine-%04d", i)), DataCentre: "ub-north",
			Kind: release.KindEngine, Models: []release.ExpectedModel{{Name: "sutra-model", Version: "2026-11-30", Adapters: []string{"mongolian", "english"}}}})
	}
	data, err := EncodeCommand(&statemachine.PublishNote{Note: note})
	is.NoErr(err)
	state := statemachine.New(statemachine.Limits{})
	is.Equal(state.Apply(1, &statemachine.PublishNote{Note: note}).Code, statemachine.OK)
	view, err := EncodeView(state.View())
	is.NoErr(err)
	small := release.Note{Number: 2, Author: "marta", Servers: release.ServerChanges{Withdraw: []fleet.ServerID{"ub-north-engine-0007"}}}
	change, err := EncodeChange(&statemachine.Change{Previous: 1, Index: 2, Note: &small})
	is.NoErr(err)
	t.Logf("note with 4,200 servers: %d bytes, view: %d bytes, change by a note of one server: %d bytes", len(data), len(view), len(change))
	note.Servers.Add = append(note.Servers.Add, note.Servers.Add...)
	note.Servers.Add = append(note.Servers.Add, note.Servers.Add...)
	_, err = EncodeCommand(&statemachine.PublishNote{Note: note})
	is.True(err != nil)
}

// Guards against malformed state that is accepted or makes a voter panic.
func TestMalformedStateIsRefused(t *testing.T) {
	is := is.New(t)
	good, err := EncodeCommand(&statemachine.ExpireKeys{Now: 9})
	is.NoErr(err)
	for _, bad := range [][]byte{nil, {1}, {2, good[1], 0xa0}, {1, 99, 0xa0}, good[:len(good)-1], append(bytes.Clone(good), 0),
		{1, byte(statemachine.KindExpireKeys), 0xa1, 0x18, 77, 0}} { // the last one has an unknown field
		_, err := DecodeCommand(bad)
		is.True(err != nil)
	}
	_, err = statemachine.Import(&statemachine.Snapshot{Keys: make([]statemachine.KeyRecord, 1)}, statemachine.Limits{})
	is.True(err != nil)
}

// Guards against panics on hostile input and against commands that change when they are encoded again.
func FuzzDecodeAgreed(f *testing.F) {
	state := statemachine.New(statemachine.Limits{})
	for i, command := range sampleCommands() {
		data, _ := EncodeCommand(command)
		f.Add(data)
		result := state.Apply(uint64(i+1), command)
		data, _ = EncodeResult(&result)
		f.Add(data)
	}
	data, _ := EncodeSnapshot(state.Export())
	f.Add(data)
	data, _ = EncodeView(state.View())
	f.Add(data)
	f.Fuzz(func(t *testing.T, data []byte) {
		if command, err := DecodeCommand(data); err == nil {
			first, err := EncodeCommand(command)
			if err != nil {
				t.Fatal(err)
			}
			second, err := DecodeCommand(first)
			if err != nil {
				t.Fatal(err)
			}
			if again, err := EncodeCommand(second); err != nil || !bytes.Equal(first, again) {
				t.Fatalf("command %v changed when it was encoded again: %v", command, err)
			}
			state := statemachine.New(statemachine.Limits{Keys: 10, Uses: 10})
			state.Apply(1, command)
			state.Export()
		}
		if snapshot, err := DecodeSnapshot(data); err == nil {
			if state, err := statemachine.Import(snapshot, statemachine.Limits{}); err == nil {
				state.Export()
			}
		}
		_, _ = DecodeView(data)
		_, _ = DecodeResult(data)
		_, _ = DecodeChange(data)
		_, _ = DecodeDataCentres(data)
	})
}

// BenchmarkSnapshot encodes and decodes a snapshot with a million keys.
func BenchmarkSnapshot(b *testing.B) {
	state := statemachine.New(statemachine.Limits{})
	for i := range 1_000_000 {
		state.Apply(uint64(i+1), &statemachine.ClaimKey{Claim: statemachine.Claim{Organisation: fleet.Organisation(fmt.Sprintf("o%d", i%210)),
			Key: fmt.Sprint(i), Attempt: statemachine.AttemptID{byte(i), byte(i >> 8), byte(i >> 16), 1}, Server: "a"}})
	}
	for b.Loop() {
		data, err := EncodeSnapshot(state.Export())
		if err != nil {
			b.Fatal(err)
		}
		b.ReportMetric(float64(len(data)), "B")
		if _, err := DecodeSnapshot(data); err != nil {
			b.Fatal(err)
		}
	}
}

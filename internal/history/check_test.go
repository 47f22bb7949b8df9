package history

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against checkers that cannot fail: each must find the violation in a history that breaks its guarantee, and none
// in a similar history that keeps it.
func TestEachCheckerFindsItsViolation(t *testing.T) {
	keyed := Request{ID: "a", Keyed: true, Instance: "i", Result: Answered, Complete: true, Ended: time.Second}
	run := Run{Request: "a", Server: "s", DataCentre: "dc", Begun: 10 * time.Second}
	evacuated := DataCentreChange{DataCentre: "dc", Evacuated: true, AcceptedAt: 2 * time.Second}
	for _, c := range []struct {
		guarantee string
		bad, good History
	}{
		{
			"G1",
			History{Steps: []Step{{"g", 0, 7, 1}, {"g", 1, 7, 2}}},
			History{Steps: []Step{{"g", 0, 7, 1}, {"g", 1, 7, 1}, {"g", 1, 8, 2}}},
		},
		{"G2", History{Starts: []Start{{Server: "s", ColdCrashes: 1}}}, History{Starts: []Start{{Server: "s"}}}},
		{
			"G3",
			History{DataCentreChanges: []DataCentreChange{evacuated}, Runs: []Run{run}, End: time.Minute},
			History{DataCentreChanges: []DataCentreChange{evacuated, {DataCentre: "dc", AcceptedAt: 9 * time.Second}}, Runs: []Run{run}, End: time.Minute},
		},
		{"G4", History{Requests: []Request{{ID: "a", Result: Answered}}}, History{Requests: []Request{keyed}}},
		{
			"G5",
			History{Requests: []Request{{ID: "a", Result: NotRun}}, Runs: []Run{run}},
			History{Requests: []Request{{ID: "a", Result: NotRun}, keyed}, Runs: []Run{run}},
		},
		{
			"G6",
			History{Requests: []Request{keyed}, Runs: []Run{run, run}},
			History{Requests: []Request{{ID: "a", Result: Answered, Complete: true}}, Runs: []Run{run, run}},
		},
		{
			"G7",
			History{Departures: []Departure{{Server: "s", At: 6 * time.Second}}, Runs: []Run{run}},
			History{Departures: []Departure{{Server: "s", At: 6 * time.Second, Until: 9 * time.Second}}, Runs: []Run{run}},
		},
		{
			"G8",
			History{Stops: []Stop{{Instance: "i", To: time.Second}}, Requests: []Request{{ID: "a", Instance: "i", Result: NoAnswer, Ended: 1}}},
			History{Stops: []Stop{{Instance: "i", To: time.Second}}, Requests: []Request{keyed}},
		},
		{
			"G8",
			History{Stops: []Stop{{Server: "s", From: 9 * time.Second, To: 11 * time.Second}}, Runs: []Run{{Server: "s", Begun: 8 * time.Second, Ended: 10 * time.Second, Aborted: true}}},
			History{Stops: []Stop{{Server: "s", From: 9 * time.Second, To: 11 * time.Second}}, Runs: []Run{run}},
		},
		{
			"G9",
			History{RevisionSamples: []RevisionSample{{"i", 5, 1}, {"i", 4, 2}}},
			History{RevisionSamples: []RevisionSample{{"i", 4, 1}, {"i", 5, 2}}},
		},
		{
			"G9",
			History{ConfigurationChanges: []ConfigurationChange{{Revision: 5}}, RevisionSamples: []RevisionSample{{"i", 4, 6 * time.Second}}},
			History{ConfigurationChanges: []ConfigurationChange{{Revision: 5, ReachableAt: 2 * time.Second}}, RevisionSamples: []RevisionSample{{"i", 4, 6 * time.Second}}},
		},
	} {
		t.Run(c.guarantee, func(t *testing.T) {
			is := is.New(t)
			found := Check(&c.bad)
			is.Equal(len(found), 1)
			is.Equal(found[0].Guarantee, c.guarantee)
			is.Equal(Check(&c.good), nil)
		})
	}
}

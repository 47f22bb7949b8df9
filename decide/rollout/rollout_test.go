package rollout

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/banyanfront/banyanfront/decide/fleet"
	"github.com/banyanfront/banyanfront/decide/release"
)

func engine(id fleet.ServerID, models ...fleet.Model) fleet.Server {
	return fleet.Server{Announcement: fleet.Announcement{Server: id, Incarnation: 1, Models: models}, Load: fleet.Load{Sequence: 1}}
}

func expect(id fleet.ServerID, models ...release.ExpectedModel) release.Server {
	return release.Server{ID: id, Kind: release.KindEngine, Models: models}
}

func actions(commands []Command) []string {
	var list []string
	for _, c := range commands {
		list = append(list, string(c.Server)+" "+c.Action+" "+c.Model+" "+c.Version)
	}
	return list
}

// Guards against commands to servers that no note names, against a mass load that overruns the weight store, and against
// a rare model that waits behind a common one.
func TestPlanLoadsLittleAtATimeAndTheRarestFirst(t *testing.T) {
	is := is.New(t)
	common, rare := release.ExpectedModel{Name: "common", Version: "1"}, release.ExpectedModel{Name: "rare", Version: "1"}
	notes := &release.Config{Number: 3, Servers: []release.Server{expect("a", common), expect("b", common), expect("c", rare), expect("d", common)}}
	servers := []fleet.Server{
		engine("a"), engine("b"), engine("c"), engine("d", fleet.Model{Name: "common", Version: "1"}), engine("unknown"),
	}
	p := NewPlanner(Config{})
	now := time.Unix(0, 0)
	first := p.Plan(now, servers, notes)
	is.Equal(actions(first), []string{"c load rare 1", "a load common 1"})
	is.Equal(len(p.Plan(now, servers, notes)), 0) // two load at a time
	p.Done(now, first[0].ID, "")
	servers[2] = engine("c", fleet.Model{Name: "rare", Version: "1"})
	is.Equal(actions(p.Plan(now, servers, notes)), []string{"b load common 1"})
}

// Guards against a lost answer: the command is sent again with the same identifier, and a refusal is not repeated at once.
func TestLostAnswerAndRefusal(t *testing.T) {
	is := is.New(t)
	notes := &release.Config{Number: 3, Servers: []release.Server{expect("a", release.ExpectedModel{Name: "m"})}}
	servers := []fleet.Server{engine("a")}
	p := NewPlanner(Config{})
	now := time.Unix(0, 0)
	first := p.Plan(now, servers, notes)
	is.Equal(len(first), 1)
	now = now.Add(31 * time.Second)
	is.Equal(p.Plan(now, servers, notes), first)
	p.Done(now, first[0].ID, "no such weights")
	is.Equal(len(p.Plan(now.Add(59*time.Second), servers, notes)), 0)
	is.Equal(len(p.Plan(now.Add(61*time.Second), servers, notes)), 1)
}

// Guards against a model that is dropped under running requests, or that no note has withdrawn by name.
func TestUnloadOnlyWithdrawnModelsOfIdleEngines(t *testing.T) {
	is := is.New(t)
	notes := &release.Config{Number: 3, WithdrawnModels: []string{"old"}}
	busy := engine("a", fleet.Model{Name: "old"}, fleet.Model{Name: "other"})
	busy.Load.Running = 1
	p := NewPlanner(Config{})
	is.Equal(len(p.Plan(time.Unix(0, 0), []fleet.Server{busy}, notes)), 0)
	busy.Load.Running = 0
	is.Equal(actions(p.Plan(time.Unix(0, 0), []fleet.Server{busy}, notes)), []string{"a unload old "})
}

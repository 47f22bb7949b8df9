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

func expectedServer(id fleet.ServerID, models ...release.ExpectedModel) release.Server {
	return release.Server{ID: id, Kind: release.KindEngine, Models: models}
}

func commandTexts(commands []Command) []string {
	var list []string
	for _, c := range commands {
		list = append(list, string(c.Server)+" "+c.Action+" "+c.Model+" "+c.Version)
	}
	return list
}

// Guards against commands to servers that no release note lists, against many concurrent loads that overload the weight
// store, and against loading a common model before a rare one.
func TestPlanLimitsLoadsAndStartsWithTheRarestModel(t *testing.T) {
	is := is.New(t)
	common, rare := release.ExpectedModel{Name: "common", Version: "1"}, release.ExpectedModel{Name: "rare", Version: "1"}
	notes := &release.Config{Number: 3, Servers: []release.Server{
		expectedServer("a", common), expectedServer("b", common), expectedServer("c", rare), expectedServer("d", common)}}
	servers := []fleet.Server{
		engine("a"), engine("b"), engine("c"), engine("d", fleet.Model{Name: "common", Version: "1"}), engine("unknown"),
	}
	p := NewPlanner(Config{})
	now := time.Unix(0, 0)
	first := p.Plan(now, servers, notes)
	is.Equal(commandTexts(first), []string{"c load rare 1", "a load common 1"})
	is.Equal(len(p.Plan(now, servers, notes)), 0) // two engines load concurrently
	p.CommandDone(now, first[0].ID, "")
	servers[2] = engine("c", fleet.Model{Name: "rare", Version: "1"})
	is.Equal(commandTexts(p.Plan(now, servers, notes)), []string{"b load common 1"})
}

// Guards against a lost answer that blocks the rollout: the command must be sent again with the same ID. Also guards against
// repeating a refused command without backoff.
func TestLostAnswerAndRefusal(t *testing.T) {
	is := is.New(t)
	notes := &release.Config{Number: 3, Servers: []release.Server{expectedServer("a", release.ExpectedModel{Name: "m"})}}
	servers := []fleet.Server{engine("a")}
	p := NewPlanner(Config{})
	now := time.Unix(0, 0)
	first := p.Plan(now, servers, notes)
	is.Equal(len(first), 1)
	now = now.Add(31 * time.Second)
	is.Equal(p.Plan(now, servers, notes), first)
	p.CommandDone(now, first[0].ID, "no such weights")
	is.Equal(len(p.Plan(now.Add(59*time.Second), servers, notes)), 0)
	is.Equal(len(p.Plan(now.Add(61*time.Second), servers, notes)), 1)
}

// Guards against unloading a model while requests are running, or one that no release note withdraws by name.
func TestUnloadOnlyWithdrawnModelsOfIdleEngines(t *testing.T) {
	is := is.New(t)
	notes := &release.Config{Number: 3, WithdrawnModels: []string{"old"}}
	server := engine("a", fleet.Model{Name: "old"}, fleet.Model{Name: "other"})
	server.Load.Running = 1
	p := NewPlanner(Config{})
	is.Equal(len(p.Plan(time.Unix(0, 0), []fleet.Server{server}, notes)), 0)
	server.Load.Running = 0
	is.Equal(commandTexts(p.Plan(time.Unix(0, 0), []fleet.Server{server}, notes)), []string{"a unload old "})
}

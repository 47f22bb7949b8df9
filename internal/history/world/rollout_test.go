package world

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/matryer/is"

	"github.com/banyanfront/banyanfront/decide/fleet"
	"github.com/banyanfront/banyanfront/decide/release"
	"github.com/banyanfront/banyanfront/decide/statemachine"
	"github.com/banyanfront/banyanfront/internal/history"
)

// Guards against release notes that are accepted but change nothing at the engines, and against an order that is executed
// twice: a note that lists another model for an engine makes it load the model, with the fencing token of the agreed state,
// and a note that withdraws the model makes it unload it. The instance that sends the orders crashes in between.
func TestReleaseNotesReachTheEngines(t *testing.T) {
	log.SetHandler(discard.Default)
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := New(11)
		s := w.servers[0]
		added := fleet.Target{Kind: fleet.KindEngine, Name: "modelo-nuevo"}
		publish := func(note release.Note) {
			ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
			defer cancel()
			result, err := w.instances[2].core.Agreement.Propose(ctx, note.Digest().String(), &statemachine.PublishNote{Note: note, At: time.Now().Unix()})
			is.NoErr(err)
			is.True(result.Accepted())
		}
		listed := release.Server{ID: s.id, DataCentre: s.dataCentre, Kind: release.KindEngine,
			Models: []release.ExpectedModel{{Name: modelName}, {Name: added.Name}}}
		w.onReady = func() {
			publish(release.Note{
				Number: 1, Author: "marta",
				Models:      release.ModelChanges{Add: []release.Model{{Name: added.Name}, {Name: modelName}}},
				DataCentres: release.DataCentreChanges{Add: []release.DataCentre{{Name: s.dataCentre}}},
				Servers:     release.ServerChanges{Add: []release.Server{listed}},
			})
			time.Sleep(5 * time.Second)
			is.Equal(len(w.instances[1].core.Loop.View().Candidates(added)), 1)
			w.crash(w.instances[0]) // the representative of the data centre, which sends the orders
			is.NoErr(w.startInstance(w.instances[0]))
			listed.Models = listed.Models[:1]
			publish(release.Note{
				Number: 2, Author: "marta",
				Models:       release.ModelChanges{Withdraw: []string{added.Name}},
				AcceptOutage: []release.Outage{{Kind: release.KindModel, Name: added.Name}},
				Servers:      release.ServerChanges{Change: []release.Server{listed}},
			})
			time.Sleep(40 * time.Second)
		}
		h, err := w.Run(0)
		is.NoErr(err)
		var executed []string
		fencing := uint64(0)
		for _, order := range s.engine.Orders() {
			is.Equal(order.Refused, "")
			is.True(order.Fencing >= fencing) // a later sender has a higher token
			fencing = order.Fencing
			executed = append(executed, order.Action+" "+order.Model)
		}
		is.Equal(executed, []string{"load modelo-nuevo", "unload modelo-nuevo"})
		for _, other := range w.servers[1:] {
			if other.engine != nil {
				is.Equal(len(other.engine.Orders()), 0) // no note changes them
			}
		}
		for _, v := range history.Check(h) {
			t.Errorf("%s broken: %s", v.Guarantee, v.Detail)
		}
	})
}

package world

import (
	"context"
	"math/rand/v2"
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

// Guards against a voter with a new data folder that is admitted but never votes, so that the loss of a second voter right
// after the repair leaves no majority. It happened with four processes: the new member had no addresses of the others, and
// its answers to the leader were not delivered.
func TestSecondVoterIsLostRightAfterARepair(t *testing.T) {
	log.SetHandler(discard.Default)
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := New(5)
		publish := func(number uint64) {
			ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
			defer cancel()
			note := release.Note{Number: number, Author: "marta", Calls: []release.CallRule{{Service: serviceName, PathPrefix: "/prices", Idempotent: true}}}
			result, err := w.instances[1].core.Agreement.Propose(ctx, note.Digest().String(), &statemachine.PublishNote{Note: note, At: time.Now().Unix()})
			is.NoErr(err)
			is.True(result.Accepted())
		}
		w.onReady = func() {
			publish(1)
			first, second := w.instances[0], w.instances[2]
			w.crash(first)
			first.disk = newDisk(rand.New(rand.NewPCG(99, 0))) // the old disk is lost
			is.NoErr(w.startInstance(first))
			time.Sleep(5 * time.Second)
			group := w.instances[4].core.Agreement.Group()
			is.Equal(group.Voters, 3)
			is.Equal(len(group.Members), 3) // the new member has replaced the old one
			w.crash(second)
			time.Sleep(3 * time.Second) // the time of an election
			publish(2)
			is.NoErr(w.startInstance(second))
		}
		h, err := w.Run(0)
		is.NoErr(err)
		for _, v := range history.Check(h) {
			t.Errorf("%s broken: %s", v.Guarantee, v.Detail)
		}
	})
}

// Guards against an instance that reverts to an older configuration: it starts after a crash and can reach only a voter
// that was partitioned and has an old state. The agents of its data centre report a newer revision (history run, seed
// 1063).
func TestStartNextToStaleVoterDoesNotRevert(t *testing.T) {
	log.SetHandler(discard.Default)
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := New(9)
		publish := func(number uint64) {
			ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
			defer cancel()
			note := release.Note{Number: number, Author: "marta", Calls: []release.CallRule{{Service: serviceName, PathPrefix: "/prices", Idempotent: number%2 == 0}}}
			result, err := w.instances[4].core.Agreement.Propose(ctx, note.Digest().String(), &statemachine.PublishNote{Note: note, At: time.Now().Unix()})
			is.NoErr(err)
			is.True(result.Accepted())
		}
		partition := func(x, y fleet.DataCentre) {
			w.network.setBlocked(x, y, true)
			w.network.setBlocked(y, x, true)
		}
		w.onReady = func() {
			publish(1)
			partition("sur", "norte")
			partition("sur", "santa-fe")
			time.Sleep(6 * time.Second)
			publish(2)
			time.Sleep(time.Second)
			voter, nonVoter := w.instances[0], w.instances[1]
			w.crash(voter)
			w.crash(nonVoter)
			partition("norte", "santa-fe")
			w.network.setBlocked("sur", "norte", false) // only the stale voter of sur is reachable
			w.network.setBlocked("norte", "sur", false)
			is.NoErr(w.startInstance(nonVoter))
			time.Sleep(6 * time.Second)
			is.True(nonVoter.core.NotReady() != "")
			w.network.heal()
			is.NoErr(w.startInstance(voter))
			time.Sleep(6 * time.Second)
			is.Equal(nonVoter.core.NotReady(), "")
		}
		h, err := w.Run(0)
		is.NoErr(err)
		for _, v := range history.Check(h) {
			t.Errorf("%s broken: %s", v.Guarantee, v.Detail)
		}
	})
}

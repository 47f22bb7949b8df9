package agreement

import (
	"context"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/matryer/is"

	"github.com/banyanfront/banyanfront/internal/control"
	"github.com/banyanfront/banyanfront/internal/storage/faultfs"
	"github.com/banyanfront/banyanfront/internal/transport"
)

// noSessions is a network without reachable instances.
type noSessions struct{}

func (noSessions) Session(string) transport.Session { return nil }

// startService runs a service on a folder until the returned function is called.
func startService(t *testing.T, folder *faultfs.FS, voters ...Voter) (*Service, func()) {
	loop := control.New(control.Config{Instance: "a", DataCentre: "norte", Address: "10.0.0.1:1"})
	service, err := New(Config{Instance: "a", DataCentre: "norte", Address: "10.0.0.1:1", Voters: voters}, folder, noSessions{}, loop)
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{}, 2)
	go func() { loop.Run(ctx); done <- struct{}{} }()
	go func() { service.Run(ctx); done <- struct{}{} }()
	return service, func() {
		service.Close()
		cancel()
		<-done
		<-done
	}
}

// Guards against serving with an old state: the log of a restarted instance lacks the commands that the group accepted
// meanwhile, so the instance must first confirm its state with the group (history run, seed 208).
func TestRestartedMemberIsNotReadyWithoutTheGroup(t *testing.T) {
	log.SetHandler(discard.Default)
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		folder := faultfs.New(rand.New(rand.NewPCG(1, 1)))
		onlyVoter := Voter{Instance: "a", Address: "10.0.0.1:1"}
		service, stop := startService(t, folder, onlyVoter)
		is.True(service.NotReady() != "")
		time.Sleep(10 * time.Second)
		is.Equal(service.NotReady(), "") // a group of one is its own quorum
		_, logged := service.Evacuate(context.Background(), "sur", "operator", "", time.Now())
		is.True(logged)
		stop()

		folder.Restart()
		service, stop = startService(t, folder, onlyVoter)
		is.True(service.NotReady() != "") // not confirmed at the start, whatever the log contains
		time.Sleep(10 * time.Second)
		is.Equal(service.NotReady(), "")
		is.True(service.DataCentres()[0].Out) // the state survived the restart
		stop()
	})
}

// Guards against reporting an evacuation as logged that only one instance has applied.
func TestEvacuationWithoutQuorumIsLocalAndNotLogged(t *testing.T) {
	log.SetHandler(discard.Default)
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		service, stop := startService(t, faultfs.New(rand.New(rand.NewPCG(1, 1))),
			Voter{Instance: "a", Address: "10.0.0.1:1"}, Voter{Instance: "b", Address: "10.0.0.2:1"}, Voter{Instance: "c", Address: "10.0.0.3:1"})
		ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
		defer cancel()
		record, logged := service.Evacuate(ctx, "sur", "operator", "", time.Now())
		is.True(!logged)
		is.True(record.Out)
		is.True(service.DataCentres()[0].Out)
		_, err := service.Restore(ctx, "sur", "operator", "", time.Now())
		is.True(err != nil) // a restore needs a quorum
		stop()
	})
}

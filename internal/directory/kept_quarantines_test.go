package directory

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/banyanfront/banyanfront/decide/quarantine"
	"github.com/banyanfront/banyanfront/internal/protocol"
	"github.com/banyanfront/banyanfront/internal/storage/faultfs"
)

// Guards against a harmful request that is found anew, at the price of more servers, each time all processes were without power at
// once: quarantines are kept by the control instances, also by the last one with its disk, and end at the same time.
func TestQuarantinesSurviveLossOfPowerEverywhere(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newControlFleet(t, 3)
		defer f.stopAll()
		addresses := []string{"10.0.0.1:1", "10.0.0.2:1", "10.0.0.3:1"}
		f.startFounders(addresses...)
		time.Sleep(3 * time.Second)
		sender := f.connectEntry(f.nodes[addresses[0]], "a", &partsReceiver{tracker: quarantine.New()})
		part := quarantine.RequestPart("d")
		for n := range 3 {
			is.NoErr(sender.Send(&protocol.PromptParts{Service: "s", Ended: &protocol.EndedEngine{Server: fmt.Sprint("i-", n), StartedAtMillis: 1, Parts: []string{part}}}))
			time.Sleep(100 * time.Millisecond)
		}
		began := time.Now()
		disk := f.nodes[addresses[0]].disk
		for _, address := range addresses {
			f.crash(f.nodes[address])
		}
		time.Sleep(5 * time.Second)
		for n, address := range addresses {
			if n > 0 {
				disk = emptyDisk(uint64(10 + n))
			} else {
				disk.Restart()
			}
			f.start(address, disk, false, addresses...)
		}
		time.Sleep(time.Second)
		r := &partsReceiver{tracker: quarantine.New()}
		f.connectEntry(f.nodes[addresses[0]], "b", r)
		time.Sleep(time.Second)
		s, known := r.get(part)
		is.True(known)
		is.True(s.InForce(time.Now()))
		is.True(!s.InForce(began.Add(time.Minute + time.Second)))
		is.Equal(len(s.Engines), 3)
	})
}

// Guards against a kept quarantine that outlives its end, and against one that is put into force again by an old file.
func TestLiftedQuarantinesAreNotKept(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f, d := startOneControl(t)
		defer f.stopAll()
		sender := f.connectEntry(d, "a", &partsReceiver{tracker: quarantine.New()})
		is.NoErr(sender.Send(&protocol.PromptParts{Service: "s", Suspected: []protocol.PartSuspicion{{Part: "p", Ends: 2, RemainingMS: 60_000,
			Quarantines: 1, Engines: []quarantine.Engine{{Server: "i-1", StartedAtMillis: 1}}}}}))
		time.Sleep(time.Second)
		is.NoErr(sender.Send(&protocol.PromptParts{Service: "s", Answered: []string{"p"}}))
		time.Sleep(time.Second)
		f.crash(d)
		d.disk.Restart()
		d = f.start(d.address, d.disk, false, d.address)
		r := &partsReceiver{tracker: quarantine.New()}
		f.connectEntry(d, "b", r)
		time.Sleep(time.Second)
		_, known := r.get("p")
		is.True(!known)
	})
}

// Guards against a control instance that does not start, or does not keep quarantines any more, because its file of quarantines is
// damaged or could not be written once.
func TestDamagedFileOfQuarantinesIsIgnored(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f, d := startOneControl(t)
		defer f.stopAll()
		f.crash(d)
		d.disk.Restart()
		d.disk.Write(quarantinesFile, []byte("no quarantines"))
		d = f.start(d.address, d.disk, false, d.address)
		time.Sleep(time.Second)
		d.disk.FailAt(3, faultfs.FailedSync) // the file is created, written and synced
		sender := f.connectEntry(d, "a", &partsReceiver{tracker: quarantine.New()})
		is.NoErr(sender.Send(&protocol.PromptParts{Service: "s", Suspected: []protocol.PartSuspicion{{Part: "p", Ends: 2, RemainingMS: 60_000,
			Quarantines: 1, Engines: []quarantine.Engine{{Server: "i-1", StartedAtMillis: 1}}}}}))
		time.Sleep(2 * upkeepInterval)
		kept := readQuarantines(time.Now(), d.disk)
		is.Equal(len(kept), 1)
		is.Equal(kept[0].Part, "p")
	})
}

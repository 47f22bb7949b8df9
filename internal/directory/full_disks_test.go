package directory

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/banyanfront/banyanfront/decide/controlstate"
	"github.com/banyanfront/banyanfront/internal/storage/faultfs"
)

// Guards against changes that are refused or stay without an answer once disks that were full have room again: one after the other,
// never two at once, for a few seconds each, with as many control instances as voters and with more, which replace a silent voter.
func TestChangesAreAcknowledgedAfterDisksWereFullInTurn(t *testing.T) {
	for _, size := range []struct{ instances, voters int }{{3, 3}, {4, 3}, {6, 3}, {5, 5}, {7, 5}} {
		for seed := range uint64(fullDiskSeeds) {
			synctest.Test(t, func(t *testing.T) {
				disksFullInTurn(t, rand.New(rand.NewPCG(seed, uint64(size.instances))), size.instances, size.voters, fmt.Sprint(size, " seed ", seed))
			})
		}
	}
}

// fullDiskSeeds is the number of runs of each size.
const fullDiskSeeds = 4

func disksFullInTurn(t *testing.T, random *rand.Rand, instances, voters int, run string) {
	f := newControlFleet(t, voters)
	defer f.stopAll()
	var founders []string
	for i := range voters {
		founders = append(founders, fmt.Sprint("founder-", i))
	}
	f.startFounders(founders...)
	time.Sleep(5 * time.Second)
	for i := voters; i < instances; i++ {
		f.start(fmt.Sprint("more-", i), emptyDisk(uint64(100+i)), false, founders...)
	}
	time.Sleep(5 * time.Second)
	version := uint64(1)
	if err := f.commit(version); err != nil {
		t.Fatalf("%s: before any disk is full: %v", run, err)
	}
	var all []*controlNode
	for _, address := range slices.Sorted(maps.Keys(f.nodes)) {
		all = append(all, f.nodes[address])
	}
	for range 8 {
		n := all[random.IntN(len(all))]
		if random.IntN(2) == 0 {
			for _, other := range all {
				if _, leads := other.member.Leads(); leads {
					n = other
				}
			}
		}
		fault := []faultfs.Fault{faultfs.NoSpace, faultfs.NoDataSpace, faultfs.ShortWrite, faultfs.FailedSync}[random.IntN(4)]
		n.disk.FailFrom(1+random.IntN(6), fault)
		for end := time.Now().Add(time.Duration(500+random.IntN(5000)) * time.Millisecond); time.Now().Before(end); {
			version++
			_ = f.commit(version) // another instance may be asked, which takes no part in this
			time.Sleep(time.Duration(random.IntN(600)) * time.Millisecond)
		}
		n.disk.Repair()
		if random.IntN(2) == 0 { // else the next disk fills up at once
			time.Sleep(time.Duration(random.IntN(4000)) * time.Millisecond)
		}
	}
	time.Sleep(settleTime)
	body, err := PackConfiguration([]byte("body"))
	if err != nil {
		t.Fatal(err)
	}
	for _, n := range all {
		if err := n.readBarrier(t.Context()); err != nil {
			t.Fatalf("%s: %s reads nothing though all disks have room: %v", run, n.address, err)
		}
		version++
		command := controlstate.Command{Configure: &controlstate.Configure{Version: version, Body: body}}
		if err := n.Propose(t.Context(), fmt.Sprint("configuration/", version), command); err != nil {
			t.Fatalf("%s: %s acknowledges no change though all disks have room: %v", run, n.address, err)
		}
	}
}

// settleTime is how long after its last disruption the platform counts the group as unsettled.
const settleTime = 4 * time.Second

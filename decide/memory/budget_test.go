package memory

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

var start = time.Unix(1_000_000, 0)

func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

func newBudget() *Budget { return New(Config{Total: 1000, Patience: time.Second}) }

func mustHold(t *testing.T, b *Budget, now time.Time, owner string, n int64) *Holder {
	t.Helper()
	h := b.Open(now, owner)
	if answer, _ := b.Request(now, h, n); answer != Granted {
		t.Fatalf("%d bytes for %s were not granted", n, owner)
	}
	return h
}

// Guards against bodies that stop short of their end and hold the budget for good: the one that wastes most is given up.
func TestStalledTransfersAreGivenUpFirst(t *testing.T) {
	is := is.New(t)
	b := newBudget()
	small := mustHold(t, b, at(0), "a", 100)
	large := mustHold(t, b, at(0), "b", 800)
	moving := mustHold(t, b, at(1200), "b", 100)
	late := b.Open(at(1500), "c")
	answer, givenUp := b.Request(at(1500), late, 100)
	is.Equal(answer, Wait)
	is.Equal(givenUp, []*Holder{large})
	is.Equal(b.Close(large), []*Holder{late})
	is.Equal(late.Held(), int64(100))
	is.True(!small.givenUp && !moving.givenUp)
}

// Guards against giving up a transfer twice, or more of them than the request needs, before the first has returned its bytes.
func TestNoMoreIsGivenUpThanNeeded(t *testing.T) {
	is := is.New(t)
	b := newBudget()
	for range 10 {
		mustHold(t, b, at(0), "a", 100)
	}
	_, first := b.Request(at(2000), b.Open(at(2000), "b"), 100)
	_, second := b.Request(at(2001), b.Open(at(2001), "c"), 50)
	is.Equal(len(first), 1)
	is.Equal(len(second), 0) // the bytes on their way back are enough
}

// Guards against giving up whole bodies, which only wait for their backend server.
func TestArrivedTransfersAreKept(t *testing.T) {
	is := is.New(t)
	b := newBudget()
	h := mustHold(t, b, at(0), "a", 900)
	b.Arrived(h)
	answer, givenUp := b.Request(at(60_000), b.Open(at(60_000), "b"), 200)
	is.Equal(answer, Wait)
	is.Equal(len(givenUp), 0)
}

// Guards against one organisation that holds the whole budget: it is refused at once, others wait and come first.
func TestOneOwnerDoesNotHoldItAll(t *testing.T) {
	is := is.New(t)
	b := newBudget()
	var crowd []*Holder
	for range 10 {
		crowd = append(crowd, mustHold(t, b, at(0), "crowd", 100))
	}
	answer, _ := b.Request(at(100), b.Open(at(100), "crowd"), 100)
	is.Equal(answer, Refused)
	other := b.Open(at(200), "other")
	answer, _ = b.Request(at(200), other, 100)
	is.Equal(answer, Wait)
	is.Equal(b.Close(crowd[0]), []*Holder{other})
}

// Guards against bodies that each hold a part and wait for the rest of each other: the one that is nearest to its end goes on.
func TestTransferThatHoldsMostGoesOn(t *testing.T) {
	is := is.New(t)
	b := newBudget()
	x := mustHold(t, b, at(0), "a", 200)
	y := mustHold(t, b, at(0), "a", 150)
	z := mustHold(t, b, at(0), "b", 650)
	for _, h := range []*Holder{y, x} {
		answer, _ := b.Request(at(1), h, 100)
		is.Equal(answer, Wait)
	}
	is.Equal(b.Shrink(z, 100), []*Holder{x})
	is.True(b.Withdraw(y)) // still waiting
}

// Guards against a transfer of one owner that overtakes one who waits and holds less.
func TestRoomIsForThoseWhoWait(t *testing.T) {
	is := is.New(t)
	b := newBudget()
	big := mustHold(t, b, at(0), "a", 400)
	mustHold(t, b, at(0), "c", 500)
	waiting := b.Open(at(1), "b")
	answer, _ := b.Request(at(1), waiting, 300)
	is.Equal(answer, Wait)
	granted, _ := b.RequestNow(at(2), big, 50)
	is.True(!granted)
}

// Guards against bytes that are never returned, or returned twice.
func TestAllBytesComeBack(t *testing.T) {
	is := is.New(t)
	b := newBudget()
	h := mustHold(t, b, at(0), "a", 600)
	w := b.Open(at(1), "b")
	answer, _ := b.Request(at(1), w, 500)
	is.Equal(answer, Wait)
	is.Equal(b.Close(w), nil)
	is.Equal(b.Close(h), nil)
	is.Equal(b.Close(h), nil)
	is.Equal(b.Held(), int64(0))
	is.Equal(len(b.owners)+len(b.holders)+len(b.queue), 0)
}

// Guards against limits that leave a machine of the users' deployments without connections or over its descriptors.
func TestLimitsOfMachines(t *testing.T) {
	is := is.New(t)
	is.Equal(TransferBytes(184<<20)>>20, int64(61)) // 60 bodies of 1 MiB at once
	is.Equal(Connections(184<<20, 4100, 0.5), 1472) // by memory
	is.Equal(Connections(464<<20, 4100, 0.5), 1950) // by descriptors
	is.Equal(Connections(8<<20, 100, 0.5), minConnections)
}

package quarantine

import (
	"strconv"
	"testing"

	"github.com/matryer/is"
)

// Guards against requests that are refused for a minute because a data centre that was cut off, or lost power, has ended all of its servers:
// the servers ended together, so that no request is at fault. One server that ends by itself afterwards is weighed again.
func TestEndsWithACommonCauseAreNotWeighed(t *testing.T) {
	is := is.New(t)
	tracker := New()
	name := func(engine int) string { return RequestPart(strconv.Itoa(engine)) }
	for engine := range 8 {
		seconds := float64(engine) * 0.05
		endOf(tracker, seconds, 0.05, engine, strconv.Itoa(engine))
		tracker.WeighEnd(at(seconds), "s", []string{name(engine)}, 400)
	}
	for engine := range 8 {
		is.Equal(quarantined(tracker, 1, name(engine)), "")
	}
	late := New()
	endOf(late, 0, 0.05, 0, "0")
	late.WeighEnd(at(0), "s", []string{name(0)}, 400)
	told, _ := late.Get("s", name(0))
	tracker.Merge(at(1), told)
	is.Equal(quarantined(tracker, 1.1, name(0)), "") // by an instance that has not heard of the other ends

	endOf(tracker, 10, 0.05, 9, "9")
	is.Equal(tracker.WeighEnd(at(10), "s", []string{name(9)}, 400), []string{name(9)})
}

// Guards against a request that ends a whole lock-step group a second time before it is suspected enough, and against one that
// is refused although its server's end cost little.
func TestFirstEndSufficesIfMuchIsAtStake(t *testing.T) {
	is := is.New(t)
	bad, part := RequestPart("bad"), "91bd3f06"
	weigh := func(atStake float64) (*Tracker, []string) {
		tracker := New()
		is.True(!endOf(tracker, 0, 0.05, 1, "bad"))
		return tracker, tracker.WeighEnd(at(0), "s", []string{part, bad}, atStake)
	}
	tracker, held := weigh(5)
	is.Equal(len(held), 0)
	is.Equal(quarantined(tracker, 1, bad), "")

	tracker, held = weigh(400)
	is.Equal(held, []string{bad})
	is.Equal(quarantined(tracker, 1, bad), bad)
	is.Equal(quarantined(tracker, 1, part), "")                               // shared by other requests
	is.Equal(tracker.WeighEnd(at(0), "s", []string{bad}, 400), []string(nil)) // told by several instances
	end := firstRequestQuarantine.Seconds()
	is.Equal(quarantined(tracker, end+1, bad), "") // for a bound time
	_, _ = endOf(tracker, end+2, 0.05, 2, "bad"), tracker.WeighEnd(at(end+2), "s", []string{bad}, 400)
	is.Equal(quarantined(tracker, 2*end+3, bad), bad) // longer the second time

	tracker, _ = weigh(400)
	answered(tracker, 0.5, bad) // a copy that was open elsewhere is answered
	is.Equal(quarantined(tracker, 1, bad), "")
	is.Equal(tracker.WeighEnd(at(2), "s", []string{bad}, 400), []string(nil)) // not suspected any more
}

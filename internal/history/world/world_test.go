package world

import (
	"os"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"

	"github.com/banyanfront/banyanfront/internal/history"
)

// seeds returns the first seed and the number of seeds to run: a fixed set, or those set by HISTORY_FIRST and HISTORY_SEEDS.
func seeds() (first, count uint64) {
	first, count = 1, 4
	if n, err := strconv.ParseUint(os.Getenv("HISTORY_SEEDS"), 10, 64); err == nil {
		count = n
	}
	if n, err := strconv.ParseUint(os.Getenv("HISTORY_FIRST"), 10, 64); err == nil {
		first = n
	}
	return first, count
}

// Guards against broken guarantees under random faults: entry instances, agents and the agreement group run over an
// in-memory network and disk, and the records of callers and servers are checked afterwards.
func TestGuaranteesHoldUnderFaults(t *testing.T) {
	log.SetHandler(discard.Default)
	first, count := seeds()
	for seed := first; seed < first+count; seed++ {
		t.Run(strconv.FormatUint(seed, 10), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				h, err := New(seed).Run(8)
				if err != nil {
					t.Fatal(err)
				}
				summarise(t, h)
				violations := history.Check(h)
				for _, v := range violations[:min(len(violations), 5)] {
					t.Errorf("%s broken: %s", v.Guarantee, v.Detail)
				}
				if len(violations) > 0 {
					t.Logf("%d violations; faults:\n%s", len(violations), strings.Join(h.Faults, "\n"))
				}
			})
		})
	}
}

// summarise logs the results of the requests, and fails if the run proves nothing because too few were answered.
func summarise(t *testing.T, h *history.History) {
	counts := make(map[history.Result]int)
	for _, r := range h.Requests {
		counts[r.Result]++
	}
	t.Logf("%d requests: %v, %d runs, %v", len(h.Requests), counts, len(h.Runs), h.End)
	if counts[history.Answered]*2 < len(h.Requests) {
		t.Errorf("fewer than half of the requests were answered: %v", counts)
	}
}

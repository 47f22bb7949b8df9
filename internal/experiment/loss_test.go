package experiment

import (
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/banyanfront/banyanfront/platform"
)

// dayOutput is the output of a day that was played with its logs, cut short.
const dayOutput = `built in 0.0 s
  -1.0000 entry-1 {"level":"info","message":"request ended","fields":{"outcome":"refused:full","ms":1}}
   0.5000 entry-1 {"level":"info","message":"request ended","fields":{"outcome":"answered","ms":90}}
   2.2000 entry-1 {"level":"warn","message":"engine ended before an answer to the request began; it is suspected","fields":{}}
   2.4000 entry-1 {"level":"info","message":"request ended","fields":{"outcome":"refused:group_closed","ms":0}}
   2.5000 entry-2 {"level":"info","message":"request ended","fields":{"outcome":"refused:group_closed","ms":0}}
   2.6000 entry-2 {"level":"info","message":"request ended","fields":{"outcome":"refused:full","ms":2}}
   4.1000 entry-2 {"level":"info","message":"request ended","fields":{"outcome":"timeout","ms":1100}}
   2.7000 entry-2 {"level":"info","message":"request ended","fields":{"outcome":"no_route","ms":1}}
day                  own/srv  score

from second          asked  in aim   late refused failed not owed  worth   p50 ms   p99 ms
0                       10       9      0       0      1        0  0.900    178.9    282.8
2                       12       4      2       3      1        2  0.500    229.7    882.1
4                       10      10      0       0      0        0  1.000    229.7    882.1

how tries ended: 200: 23
9.0 entry-1 {"level":"info","message":"request ended","fields":{"outcome":"refused:full","ms":1}}
`

// Guards against a loss that is put down to the wrong cause or second, or that does not add up.
func TestLossIsSplitByCauseAndSecond(t *testing.T) {
	is := is.New(t)
	windows, lines := platform.ParseDay(dayOutput)
	is.Equal(len(windows), 3)
	is.Equal(len(lines), 9)
	split := SplitLoss(windows, lines)
	is.Equal(split[0].Causes, map[string]float64{causeUnexplained: 1})
	is.Equal(split[1].Owed, 10)
	is.Equal(split[1].Lost, 5.0)
	is.Equal(split[1].Causes, map[string]float64{"group_closed": 2, "full": 1, "timeout": 1, causeLate: 1}) // the timeout began in this window
	is.Equal(split[1].Events, []string{"engine ended before an answer (1)"})
	is.Equal(len(split[2].Causes), 0) // the last line is of a time after the day
	var table strings.Builder
	is.NoErr(WriteLoss(&table, split))
	is.True(strings.Contains(table.String(), "all    30   6.0           2.0"))
	is.True(strings.Contains(table.String(), "2 s: engine ended before an answer (1)"))
}

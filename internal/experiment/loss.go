package experiment

import (
	"cmp"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/banyanfront/banyanfront/platform"
)

// LossWindow is what callers lost in a part of a day, in requests' worth, by cause.
type LossWindow struct {
	From   time.Duration
	Owed   int
	Lost   float64
	Causes map[string]float64
	Events []string // what happened, with the number of instances that logged it
}

// Causes of lost worth that are not outcomes of requests in the log of an entry instance.
const (
	causeLate        = "late"
	causeUnexplained = "unexplained" // refused or failed without a line of an entry instance, as by a closed connection
)

// lossEvents are the log messages that explain a loss, by the beginning of the message.
var lossEvents = []string{"engine ended before an answer", "lock-step group has a new epoch", "part of prompts quarantined", "data centre lost",
	"data centre is reachable again", "cut off from most data centres", "the agreement group runs without full redundancy", "agreed state is in force",
	"entry instance serves", "session with a control instance lost", "coordinator of a lock-step group assigned", "the server says that it leaves"}

// SplitLoss splits the worth lost in each window of a day by cause. What was refused or failed is divided by the outcomes that the
// entry instances logged in the window; late answers lose what remains of the loss.
func SplitLoss(windows []platform.DayWindow, lines []platform.DayLogLine) []LossWindow {
	split := make([]LossWindow, len(windows))
	refusals, failures, events := make([]map[string]int, len(windows)), make([]map[string]int, len(windows)), make([]map[string]int, len(windows))
	for i, w := range windows {
		owed := w.Asked - w.NotOwed
		split[i] = LossWindow{From: w.From, Owed: owed, Lost: float64(owed) * (1 - w.Worth), Causes: map[string]float64{}}
		refusals[i], failures[i], events[i] = map[string]int{}, map[string]int{}, map[string]int{}
	}
	for _, line := range lines {
		i := windowAt(windows, line.At-requestTime(line))
		if i < 0 {
			continue
		}
		outcome, _ := line.Fields["outcome"].(string)
		reason, refused := strings.CutPrefix(outcome, "refused:")
		switch {
		case line.Message != "request ended":
			for _, event := range lossEvents {
				if strings.HasPrefix(line.Message, event) {
					events[i][event]++
				}
			}
		case refused:
			refusals[i][reason]++
		case outcome != "answered" && outcome != "no_route" && outcome != "unknown_key" && outcome != "no_configuration":
			failures[i][outcome]++
		}
	}
	for i, w := range windows {
		s := &split[i]
		s.divide(refusals[i], float64(w.Refused))
		s.divide(failures[i], float64(w.Failed))
		if rest := s.Lost - float64(w.Refused+w.Failed); rest > 0 {
			s.Causes[causeLate] = rest
		}
		for _, event := range slices.Sorted(maps.Keys(events[i])) {
			s.Events = append(s.Events, fmt.Sprintf("%s (%d)", event, events[i][event]))
		}
	}
	return split
}

// divide divides a loss among causes by how often each was logged.
func (s *LossWindow) divide(logged map[string]int, lost float64) {
	if lost == 0 {
		return
	}
	total := 0
	for _, n := range logged {
		total += n
	}
	if total == 0 {
		s.Causes[causeUnexplained] += lost
		return
	}
	for cause, n := range logged {
		s.Causes[cause] += lost * float64(n) / float64(total)
	}
}

// requestTime returns how long before its end the request of a log line arrived, 0 for other lines.
func requestTime(line platform.DayLogLine) time.Duration {
	ms, _ := line.Fields["ms"].(float64)
	if line.Message != "request ended" {
		return 0
	}
	return time.Duration(ms * float64(time.Millisecond))
}

// windowAt returns the index of the window that a time is in, -1 if there is none. The last window is as long as the one before.
func windowAt(windows []platform.DayWindow, at time.Duration) int {
	i, found := slices.BinarySearchFunc(windows, at, func(w platform.DayWindow, at time.Duration) int { return cmp.Compare(w.From, at) })
	if !found {
		i--
	}
	if n := len(windows); i == n-1 && n > 1 && at >= 2*windows[n-1].From-windows[n-2].From {
		return -1
	}
	return i
}

// WriteLoss writes a table of the loss by window and cause, the largest cause first, then the events of each window.
func WriteLoss(w io.Writer, split []LossWindow) error {
	total, owed, lost := map[string]float64{}, 0, 0.0
	for _, s := range split {
		owed, lost = owed+s.Owed, lost+s.Lost
		for cause, n := range s.Causes {
			total[cause] += n
		}
	}
	causes := slices.SortedFunc(maps.Keys(total), func(a, b string) int { return cmp.Or(cmp.Compare(total[b], total[a]), cmp.Compare(a, b)) })
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprint(table, "from second\towed\tlost\t")
	for _, cause := range causes {
		fmt.Fprint(table, cause, "\t")
	}
	fmt.Fprintln(table)
	row := func(name string, owed int, lost float64, by map[string]float64) {
		fmt.Fprintf(table, "%s\t%d\t%.1f\t", name, owed, lost)
		for _, cause := range causes {
			fmt.Fprintf(table, "%.1f\t", by[cause])
		}
		fmt.Fprintln(table)
	}
	for _, s := range split {
		row(fmt.Sprintf("%g", s.From.Seconds()), s.Owed, s.Lost, s.Causes)
	}
	row("all", owed, lost, total)
	if err := table.Flush(); err != nil {
		return err
	}
	for _, s := range split {
		if len(s.Events) == 0 {
			continue
		}
		if _, err := fmt.Fprintf(w, "%g s: %s\n", s.From.Seconds(), strings.Join(s.Events, ", ")); err != nil {
			return err
		}
	}
	return nil
}

package account

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"
)

// group is all entries of one kind and reason.
type group struct {
	kind        Kind
	reason      string
	first, last time.Time
	count       int
	subjects    []string
	figures     map[string]float64
}

// shownSubjects bounds the subjects on one line of the page.
const shownSubjects = 5

// Report returns the page for the time from since to now: what happened, what the system did, what is still not right
// and the next step. Conditions that began before since are shown while they last.
func (j *Journal) Report(since, now time.Time) string {
	j.Flush(now)
	j.mutex.Lock()
	defer j.mutex.Unlock()
	var b strings.Builder
	fmt.Fprintf(&b, "Account of %s from %s to %s (UTC)\n", j.name, clock(since, "2006-01-02 15:04"), clock(now, "2006-01-02 15:04"))
	open := slices.SortedFunc(maps.Values(j.open), func(a, b Entry) int {
		return cmp.Or(a.Time.Compare(b.Time), cmp.Compare(a.Kind, b.Kind), cmp.Compare(a.Subject, b.Subject))
	})
	switch len(open) {
	case 0:
		b.WriteString("Everything is right.\n")
	case 1:
		b.WriteString("One thing is still not right.\n")
	default:
		fmt.Fprintf(&b, "%d things are still not right.\n", len(open))
	}
	if len(j.entries) > 0 && j.dropped > 0 && j.entries[0].Time.After(since) {
		fmt.Fprintf(&b, "Entries before %s are no longer in memory.\n", clock(j.entries[0].Time, "2006-01-02 15:04"))
	}
	events, actions := j.groups(since, now)
	section(&b, "What happened", events)
	section(&b, "What the system did", actions)
	b.WriteString("\nStill not right, and the next step\n")
	for _, entry := range open {
		fmt.Fprintf(&b, "  since %s (%s)  %s: %s%s%s\n      next: %s\n", clock(entry.Time, "Jan 02 15:04"),
			duration(now.Sub(entry.Time)), descriptions[entry.Kind].title, entry.Subject, dash(entry.Reason),
			figures(entry.Figures), descriptions[entry.Kind].next)
	}
	if len(open) == 0 {
		b.WriteString("  nothing\n")
	}
	return b.String()
}

func (j *Journal) groups(since, now time.Time) (events, actions []*group) {
	type key struct {
		kind   Kind
		reason string
	}
	all := make(map[key]*group)
	for i := range j.entries {
		entry := &j.entries[i]
		if entry.Time.Before(since) || entry.Time.After(now) {
			continue
		}
		k := key{entry.Kind, entry.Reason}
		g := all[k]
		if g == nil {
			g = &group{kind: entry.Kind, reason: entry.Reason, first: entry.Time, figures: make(map[string]float64)}
			all[k] = g
			if descriptions[entry.Kind].class == action {
				actions = append(actions, g)
			} else {
				events = append(events, g)
			}
		}
		g.last = entry.Time
		g.count += max(entry.Count, 1)
		if !slices.Contains(g.subjects, entry.Subject) && len(g.subjects) <= shownSubjects {
			g.subjects = append(g.subjects, entry.Subject)
		}
		for name, value := range entry.Figures {
			g.figures[name] += value
		}
	}
	return events, actions
}

func section(b *strings.Builder, title string, groups []*group) {
	b.WriteString("\n" + title + "\n")
	if len(groups) == 0 {
		b.WriteString("  nothing\n")
	}
	for _, g := range groups {
		when := clock(g.first, "Jan 02 15:04")
		if last := clock(g.last, "Jan 02 15:04"); last != when {
			when += " to " + last
		}
		name := descriptions[g.kind].title
		if name == "" {
			name = string(g.kind)
		}
		if g.count > 1 {
			name += fmt.Sprintf(", %d times", g.count)
		}
		subjects := strings.Join(g.subjects[:min(len(g.subjects), shownSubjects)], ", ")
		if len(g.subjects) > shownSubjects {
			subjects += " and others"
		}
		fmt.Fprintf(b, "  %s  %s: %s%s%s\n", when, name, subjects, dash(g.reason), figures(g.figures))
	}
}

func clock(t time.Time, layout string) string { return t.UTC().Format(layout) }

// duration returns a time span as an operator says it.
func duration(d time.Duration) string {
	switch {
	case d < time.Minute:
		return fmt.Sprintf("%d s", int(d.Seconds()))
	case d < time.Hour:
		return fmt.Sprintf("%d min", int(d.Minutes()))
	case d < 48*time.Hour:
		return fmt.Sprintf("%d h %d min", int(d.Hours()), int(d.Minutes())%60)
	default:
		return fmt.Sprintf("%d days", int(d.Hours())/24)
	}
}

func dash(reason string) string {
	if reason == "" {
		return ""
	}
	return " - " + reason
}

func figures(all map[string]float64) string {
	var parts []string
	for _, name := range slices.Sorted(maps.Keys(all)) {
		parts = append(parts, name+" "+strconv.FormatFloat(all[name], 'f', -1, 64))
	}
	if len(parts) == 0 {
		return ""
	}
	return " (" + strings.Join(parts, ", ") + ")"
}

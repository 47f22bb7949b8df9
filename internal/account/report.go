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

// group summarises the entries of one kind and reason.
type group struct {
	kind        Kind
	reason      string
	first, last time.Time
	count       int
	subjects    []string
	figures     map[string]float64
}

// maxShownSubjects bounds the subjects listed on one line of the page.
const maxShownSubjects = 5

// Report returns the account page for the time from since to now: events, actions of the system, and open conditions with
// the next step for each. Open conditions that began before since are included.
func (j *Journal) Report(since, now time.Time) string {
	j.Flush(now)
	j.mutex.Lock()
	defer j.mutex.Unlock()
	var b strings.Builder
	fmt.Fprintf(&b, "Account of %s from %s to %s (UTC)\n", j.name, formatTime(since, "2006-01-02 15:04"), formatTime(now, "2006-01-02 15:04"))
	open := slices.SortedFunc(maps.Values(j.openConditions), func(a, b Entry) int {
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
		fmt.Fprintf(&b, "Entries before %s are no longer in memory.\n", formatTime(j.entries[0].Time, "2006-01-02 15:04"))
	}
	events, actions := j.groupEntries(since, now)
	writeSection(&b, "What happened", events)
	writeSection(&b, "What the system did", actions)
	b.WriteString("\nStill not right, and the next step\n")
	for _, entry := range open {
		fmt.Fprintf(&b, "  since %s (%s)  %s: %s%s%s\n      next: %s\n", formatTime(entry.Time, "Jan 02 15:04"),
			formatDuration(now.Sub(entry.Time)), descriptions[entry.Kind].title, entry.Subject, formatReason(entry.Reason),
			formatFigures(entry.Figures), descriptions[entry.Kind].nextStep)
	}
	if len(open) == 0 {
		b.WriteString("  nothing\n")
	}
	return b.String()
}

// groupEntries groups the entries from since to now, in the order of the first entry of each group.
func (j *Journal) groupEntries(since, now time.Time) (events, actions []*group) {
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
		if !slices.Contains(g.subjects, entry.Subject) && len(g.subjects) <= maxShownSubjects {
			g.subjects = append(g.subjects, entry.Subject)
		}
		for name, value := range entry.Figures {
			g.figures[name] += value
		}
	}
	return events, actions
}

func writeSection(b *strings.Builder, title string, groups []*group) {
	b.WriteString("\n" + title + "\n")
	if len(groups) == 0 {
		b.WriteString("  nothing\n")
	}
	for _, g := range groups {
		when := formatTime(g.first, "Jan 02 15:04")
		if last := formatTime(g.last, "Jan 02 15:04"); last != when {
			when += " to " + last
		}
		name := descriptions[g.kind].title
		if name == "" {
			name = string(g.kind)
		}
		if g.count > 1 {
			name += fmt.Sprintf(", %d times", g.count)
		}
		subjects := strings.Join(g.subjects[:min(len(g.subjects), maxShownSubjects)], ", ")
		if len(g.subjects) > maxShownSubjects {
			subjects += " and others"
		}
		fmt.Fprintf(b, "  %s  %s: %s%s%s\n", when, name, subjects, formatReason(g.reason), formatFigures(g.figures))
	}
}

func formatTime(t time.Time, layout string) string { return t.UTC().Format(layout) }

// formatDuration formats a duration in seconds, minutes, hours and minutes, or days, depending on its length.
func formatDuration(d time.Duration) string {
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

func formatReason(reason string) string {
	if reason == "" {
		return ""
	}
	return " - " + reason
}

func formatFigures(all map[string]float64) string {
	var parts []string
	for _, name := range slices.Sorted(maps.Keys(all)) {
		parts = append(parts, name+" "+strconv.FormatFloat(all[name], 'f', -1, 64))
	}
	if len(parts) == 0 {
		return ""
	}
	return " (" + strings.Join(parts, ", ") + ")"
}

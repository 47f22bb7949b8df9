// Package account keeps the account (audit log): what happened, what the system decided and why. It is a bounded journal
// in memory and, on instances with a data folder, in a rotated file of JSON lines. Its report is the page that the day
// shift reads in the morning.
package account

import (
	"bytes"
	"cmp"
	"encoding/json"
	"maps"
	"slices"
	"sync"
	"time"
	"unicode/utf8"
)

// Entry is one decision or event.
type Entry struct {
	Time    time.Time          `json:"time"`
	Kind    Kind               `json:"kind"`
	Subject string             `json:"subject"`           // server, instance, data centre, note or order concerned
	Reason  string             `json:"reason,omitempty"`  // why, in plain words
	Figures map[string]float64 `json:"figures,omitempty"` // counts and measurements that explain the decision
	Count   int                `json:"count,omitempty"`   // occurrences that the entry stands for, 0 for one
}

// Bounds of a journal.
const (
	DefaultEntries   = 20000   // in memory, about 5 MB
	DefaultFileBytes = 8 << 20 // of one file
	keptFiles        = 4       // current file and three older ones
	maxSubjectBytes  = 200
	maxReasonBytes   = 500
	maxFigures       = 8
	maxOpen          = 2000 // open conditions
	// repeatInterval is the time within which equal entries are counted instead of listed, so that a flapping server does
	// not push out everything else.
	repeatInterval = time.Minute
	maxRepeats     = 1000 // different entries that are counted at a time
)

// Journal is a bounded account. It may be used by several goroutines.
type Journal struct {
	mutex   sync.Mutex
	name    string
	entries []Entry // oldest first
	bound   int
	dropped int
	open    map[condition]Entry // conditions that are still not right, by the entry that opened them
	repeats map[repeat]*Entry
	file    *rotatedFile // nil without a data folder
}

type condition struct {
	kind    Kind
	subject string
}

type repeat struct {
	kind            Kind
	subject, reason string
}

// New returns a journal in memory. The name of the instance heads its reports. A bound of 0 stands for DefaultEntries.
func New(name string, bound int) *Journal {
	if bound <= 0 {
		bound = DefaultEntries
	}
	return &Journal{name: name, bound: bound, open: make(map[condition]Entry), repeats: make(map[repeat]*Entry)}
}

// Open returns a journal that also writes to files, and continues the account that they hold. Lines that cannot be read,
// such as one that was cut off by a crash, are skipped and counted.
func Open(name string, bound int, files Files, maxFileBytes int) (j *Journal, skipped int, err error) {
	j = New(name, bound)
	if maxFileBytes <= 0 {
		maxFileBytes = DefaultFileBytes
	}
	file := &rotatedFile{files: files, bound: maxFileBytes}
	data, err := file.readAll()
	if err != nil {
		return nil, 0, err
	}
	for line := range bytes.Lines(data) {
		var entry Entry
		if json.Unmarshal(line, &entry) != nil || entry.Kind == "" {
			skipped++
			continue
		}
		j.add(entry)
	}
	if file.torn { // the next entry must start on its own line; if this fails, its write fails too
		_ = file.write([]byte("\n"))
	}
	j.file = file
	return j, skipped, nil
}

// Record adds an entry. Equal entries within a minute are counted and added once more at its end.
func (j *Journal) Record(entry Entry) {
	entry.Subject, entry.Reason = cut(entry.Subject, maxSubjectBytes), cut(entry.Reason, maxReasonBytes)
	entry.Figures = boundFigures(entry.Figures)
	j.mutex.Lock()
	defer j.mutex.Unlock()
	j.flush(entry.Time.Add(-repeatInterval))
	key := repeat{entry.Kind, entry.Subject, entry.Reason}
	if counted := j.repeats[key]; counted != nil {
		counted.Count += max(entry.Count, 1)
		for name, value := range entry.Figures {
			if counted.Figures == nil {
				counted.Figures = make(map[string]float64)
			}
			counted.Figures[name] += value
		}
		j.condition(entry)
		return
	}
	if len(j.repeats) < maxRepeats {
		j.repeats[key] = &Entry{Time: entry.Time, Kind: entry.Kind, Subject: entry.Subject, Reason: entry.Reason}
	}
	j.add(entry)
	j.write(entry)
}

// Flush adds the counts of repeated entries and writes them.
func (j *Journal) Flush(now time.Time) {
	j.mutex.Lock()
	defer j.mutex.Unlock()
	j.flush(now)
}

// flush ends the counting of entries whose first occurrence was at or before the given time.
func (j *Journal) flush(before time.Time) {
	var ended []Entry
	for key, counted := range j.repeats {
		if !counted.Time.After(before) {
			delete(j.repeats, key)
			if counted.Count > 0 {
				ended = append(ended, *counted)
			}
		}
	}
	slices.SortFunc(ended, func(a, b Entry) int {
		return cmp.Or(a.Time.Compare(b.Time), cmp.Compare(a.Kind, b.Kind), cmp.Compare(a.Subject, b.Subject), cmp.Compare(a.Reason, b.Reason))
	})
	for _, entry := range ended {
		j.keep(entry)
		j.write(entry)
	}
}

func (j *Journal) add(entry Entry) {
	j.keep(entry)
	j.condition(entry)
}

func (j *Journal) keep(entry Entry) {
	j.entries = append(j.entries, entry)
	if len(j.entries) > j.bound+j.bound/4 { // moves the list once in a while instead of at every entry
		excess := len(j.entries) - j.bound
		j.dropped += excess
		j.entries = slices.Clone(j.entries[excess:])
	}
}

// condition opens or ends what the entry's kind says about its subject.
func (j *Journal) condition(entry Entry) {
	d := descriptions[entry.Kind]
	if d.closes != "" {
		delete(j.open, condition{d.closes, entry.Subject})
	}
	if d.next == "" {
		return
	}
	key := condition{entry.Kind, entry.Subject}
	if _, known := j.open[key]; !known && len(j.open) < maxOpen {
		j.open[key] = entry
	}
}

// write appends the entry to the file. A failure is an entry of its own in memory, and the next success ends it.
func (j *Journal) write(entry Entry) {
	if j.file == nil {
		return
	}
	line, err := json.Marshal(entry)
	if err == nil {
		err = j.file.write(append(line, '\n'))
	}
	key := condition{AccountNotWritten, j.name}
	_, failing := j.open[key]
	switch {
	case err != nil && !failing:
		j.add(Entry{Time: entry.Time, Kind: AccountNotWritten, Subject: j.name, Reason: cut(err.Error(), maxReasonBytes)})
	case err == nil && failing:
		j.add(Entry{Time: entry.Time, Kind: AccountWritten, Subject: j.name})
	}
}

// Entries returns the entries from a time on, oldest first.
func (j *Journal) Entries(since time.Time) []Entry {
	j.mutex.Lock()
	defer j.mutex.Unlock()
	var result []Entry
	for _, entry := range j.entries {
		if !entry.Time.Before(since) {
			entry.Figures = maps.Clone(entry.Figures)
			result = append(result, entry)
		}
	}
	return result
}

// Close writes what is counted and closes the file.
func (j *Journal) Close(now time.Time) error {
	j.Flush(now)
	j.mutex.Lock()
	defer j.mutex.Unlock()
	if j.file == nil {
		return nil
	}
	return j.file.files.Close()
}

// cut shortens a text to a number of bytes without splitting a character.
func cut(text string, bound int) string {
	if len(text) <= bound {
		return text
	}
	for bound > 0 && !utf8.RuneStart(text[bound]) {
		bound--
	}
	return text[:bound]
}

func boundFigures(figures map[string]float64) map[string]float64 {
	if len(figures) == 0 {
		return nil
	}
	result := make(map[string]float64, len(figures))
	for _, name := range slices.Sorted(maps.Keys(figures))[:min(len(figures), maxFigures)] {
		if value := figures[name]; value == value && value-value == 0 { // JSON has no NaN and no infinity
			result[cut(name, maxSubjectBytes)] = value
		}
	}
	return result
}

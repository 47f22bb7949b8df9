// Package account keeps the account (audit log) of an instance: events, decisions of the system and their reasons. It is a
// bounded journal in memory and, on instances with a data folder, in rotated files of JSON lines. Its report is the account
// page, which lets operators review an unattended period.
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
	Reason  string             `json:"reason,omitempty"`  // cause, in plain words
	Figures map[string]float64 `json:"figures,omitempty"` // counts and measurements that explain the decision
	Count   int                `json:"count,omitempty"`   // occurrences that the entry represents, 0 means one
}

// Limits of a journal.
const (
	DefaultEntries    = 20000   // kept in memory, about 5 MB
	DefaultFileBytes  = 8 << 20 // maximum size of one file
	maxFiles          = 4       // the current file and three older ones
	maxSubjectBytes   = 200
	maxReasonBytes    = 500
	maxFigures        = 8
	maxOpenConditions = 2000 // in memory
	// repeatInterval is the time within which equal entries are counted instead of listed, so that a flapping server does
	// not evict all other entries.
	repeatInterval = time.Minute
	maxRepeatKeys  = 1000 // different entries whose repeats are counted concurrently
)

// Journal is a bounded account. It is safe for concurrent use.
type Journal struct {
	mutex          sync.Mutex
	name           string
	entries        []Entry // oldest first
	maxEntries     int
	dropped        int
	openConditions map[condition]Entry // unresolved conditions, with the entry that opened each
	repeats        map[repeatKey]*Entry
	file           *rotatingFile // nil without a data folder
}

// condition identifies a problem that remains open until an entry of another kind closes it.
type condition struct {
	kind    Kind
	subject string
}

// repeatKey is what equal entries have in common.
type repeatKey struct {
	kind            Kind
	subject, reason string
}

// New returns a journal in memory. name, that of the instance, is in the heading of its reports. maxEntries 0 means
// DefaultEntries.
func New(name string, maxEntries int) *Journal {
	if maxEntries <= 0 {
		maxEntries = DefaultEntries
	}
	return &Journal{name: name, maxEntries: maxEntries, openConditions: make(map[condition]Entry), repeats: make(map[repeatKey]*Entry)}
}

// Open returns a journal that also writes to files and is initialised with the entries in them. Lines that cannot be
// parsed, such as one truncated by a crash, are skipped and counted. maxFileBytes 0 means DefaultFileBytes.
func Open(name string, maxEntries int, files Files, maxFileBytes int) (j *Journal, skipped int, err error) {
	j = New(name, maxEntries)
	if maxFileBytes <= 0 {
		maxFileBytes = DefaultFileBytes
	}
	file := &rotatingFile{files: files, maxBytes: maxFileBytes}
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
	if file.lastLineTorn { // the next entry must start on its own line; if this write fails, that of the entry fails too
		_ = file.write([]byte("\n"))
	}
	j.file = file
	return j, skipped, nil
}

// Record adds an entry. Equal entries within repeatInterval of it are counted and added as one entry after that time.
func (j *Journal) Record(entry Entry) {
	entry.Subject, entry.Reason = truncate(entry.Subject, maxSubjectBytes), truncate(entry.Reason, maxReasonBytes)
	entry.Figures = limitFigures(entry.Figures)
	j.mutex.Lock()
	defer j.mutex.Unlock()
	j.flush(entry.Time.Add(-repeatInterval))
	key := repeatKey{entry.Kind, entry.Subject, entry.Reason}
	if counted := j.repeats[key]; counted != nil {
		counted.Count += max(entry.Count, 1)
		for name, value := range entry.Figures {
			if counted.Figures == nil {
				counted.Figures = make(map[string]float64)
			}
			counted.Figures[name] += value
		}
		j.updateCondition(entry)
		return
	}
	if len(j.repeats) < maxRepeatKeys {
		j.repeats[key] = &Entry{Time: entry.Time, Kind: entry.Kind, Subject: entry.Subject, Reason: entry.Reason}
	}
	j.add(entry)
	j.write(entry)
}

// Flush adds and writes an entry for each repeated entry, with the number of its repeats.
func (j *Journal) Flush(now time.Time) {
	j.mutex.Lock()
	defer j.mutex.Unlock()
	j.flush(now)
}

// flush stops counting the repeats of entries that first occurred at or before the given time, and adds the counts.
func (j *Journal) flush(before time.Time) {
	var expired []Entry
	for key, counted := range j.repeats {
		if !counted.Time.After(before) {
			delete(j.repeats, key)
			if counted.Count > 0 {
				expired = append(expired, *counted)
			}
		}
	}
	slices.SortFunc(expired, func(a, b Entry) int {
		return cmp.Or(a.Time.Compare(b.Time), cmp.Compare(a.Kind, b.Kind), cmp.Compare(a.Subject, b.Subject), cmp.Compare(a.Reason, b.Reason))
	})
	for _, entry := range expired {
		j.appendEntry(entry)
		j.write(entry)
	}
}

func (j *Journal) add(entry Entry) {
	j.appendEntry(entry)
	j.updateCondition(entry)
}

func (j *Journal) appendEntry(entry Entry) {
	j.entries = append(j.entries, entry)
	if len(j.entries) > j.maxEntries+j.maxEntries/4 { // copies the list rarely instead of for each entry
		excess := len(j.entries) - j.maxEntries
		j.dropped += excess
		j.entries = slices.Clone(j.entries[excess:])
	}
}

// updateCondition opens or closes the condition of the entry's subject, according to the entry's kind.
func (j *Journal) updateCondition(entry Entry) {
	d := descriptions[entry.Kind]
	if d.closes != "" {
		delete(j.openConditions, condition{d.closes, entry.Subject})
	}
	if d.nextStep == "" {
		return
	}
	key := condition{entry.Kind, entry.Subject}
	if _, known := j.openConditions[key]; !known && len(j.openConditions) < maxOpenConditions {
		j.openConditions[key] = entry
	}
}

// write appends the entry to the file. A failure adds an entry in memory, and the next success closes its condition.
func (j *Journal) write(entry Entry) {
	if j.file == nil {
		return
	}
	line, err := json.Marshal(entry)
	if err == nil {
		err = j.file.write(append(line, '\n'))
	}
	key := condition{AccountNotWritten, j.name}
	_, failing := j.openConditions[key]
	switch {
	case err != nil && !failing:
		j.add(Entry{Time: entry.Time, Kind: AccountNotWritten, Subject: j.name, Reason: truncate(err.Error(), maxReasonBytes)})
	case err == nil && failing:
		j.add(Entry{Time: entry.Time, Kind: AccountWritten, Subject: j.name})
	}
}

// Entries returns the entries at or after the given time, oldest first.
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

// Close writes the counts of repeated entries and closes the file.
func (j *Journal) Close(now time.Time) error {
	j.Flush(now)
	j.mutex.Lock()
	defer j.mutex.Unlock()
	if j.file == nil {
		return nil
	}
	return j.file.files.Close()
}

// truncate shortens a text to at most maxBytes without splitting a UTF-8 character.
func truncate(text string, maxBytes int) string {
	if len(text) <= maxBytes {
		return text
	}
	for maxBytes > 0 && !utf8.RuneStart(text[maxBytes]) {
		maxBytes--
	}
	return text[:maxBytes]
}

func limitFigures(figures map[string]float64) map[string]float64 {
	if len(figures) == 0 {
		return nil
	}
	result := make(map[string]float64, len(figures))
	for _, name := range slices.Sorted(maps.Keys(figures))[:min(len(figures), maxFigures)] {
		if value := figures[name]; value == value && value-value == 0 { // excludes NaN and infinity, which JSON cannot encode
			result[truncate(name, maxSubjectBytes)] = value
		}
	}
	return result
}

package trace

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/url"
	"slices"
	"strings"
)

// Limits of a trace that Read accepts.
const (
	maxLineBytes      = 4096
	maxLines          = 1 << 20
	maxAtMS           = 48 * 3600 * 1000 // two days
	maxNameBytes      = 256
	maxDataCentres    = 16      // the target size has 14
	maxProcesses      = 512     // of one kind in a data centre
	maxPromptOrTokens = 1 << 20 // bytes of a prompt, or tokens of an answer
)

// ErrorKind is a kind of error in a trace.
type ErrorKind string

// Kinds of errors in a trace.
const (
	ErrSyntax  ErrorKind = "syntax"   // not a JSON object of a known type
	ErrVersion ErrorKind = "version"  // no header, or an unsupported version
	ErrTooLong ErrorKind = "too long" // the line or the file exceeds its limit
	ErrOrder   ErrorKind = "order"    // requests and events are not sorted by time
	ErrValue   ErrorKind = "value"    // a field is missing, out of range or names nothing in the fleet
)

// Error is an error in a line of a trace.
type Error struct {
	Line   int
	Kind   ErrorKind
	Detail string
}

// Error implements error.
func (e *Error) Error() string { return fmt.Sprintf("line %d: %s: %s", e.Line, e.Kind, e.Detail) }

// line is the field that all lines of a trace have.
type line struct {
	Type string `json:"type"`
}

// Read reads a trace. An error in the trace is returned as an *Error.
func Read(r io.Reader) (*Trace, error) {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(make([]byte, maxLineBytes), maxLineBytes)
	t := &Trace{}
	lineNumber, previousMS := 0, int64(0)
	for scanner.Scan() {
		lineNumber++
		if lineNumber > maxLines {
			return nil, &Error{lineNumber, ErrTooLong, fmt.Sprintf("a trace has at most %d lines: split it", maxLines)}
		}
		kind, err := t.parseLine(lineNumber, scanner.Bytes(), &previousMS)
		if err != nil {
			return nil, &Error{lineNumber, kind, err.Error()}
		}
	}
	if errors.Is(scanner.Err(), bufio.ErrTooLong) {
		return nil, &Error{lineNumber + 1, ErrTooLong, fmt.Sprintf("a line has at most %d bytes", maxLineBytes)}
	}
	if err := scanner.Err(); err != nil {
		return nil, err
	}
	if lineNumber == 0 {
		return nil, &Error{1, ErrVersion, "the file is empty: its first line must be the header"}
	}
	return t, nil
}

// parseLine parses one line and adds it to the trace. previousMS is the time of the latest request or event.
func (t *Trace) parseLine(lineNumber int, data []byte, previousMS *int64) (ErrorKind, error) {
	if lineNumber == 1 {
		var typed line
		if err := decode(data, &struct {
			*line
			*Header
		}{&typed, &t.Header}); err != nil {
			return ErrSyntax, err
		}
		if typed.Type != "trace" {
			return ErrVersion, fmt.Errorf("type %q of the first line is not \"trace\"", truncate(typed.Type))
		}
		if t.Header.Version != Version {
			return ErrVersion, fmt.Errorf("version %d is not known: use a trace of version %d", t.Header.Version, Version)
		}
		if err := t.Header.check(); err != nil {
			return ErrValue, err
		}
		return "", nil
	}
	var typed line
	if err := json.Unmarshal(data, &typed); err != nil {
		return ErrSyntax, err
	}
	atMS := *previousMS
	switch typed.Type {
	case "request":
		var v Request
		if err := decode(data, &struct {
			*line
			*Request
		}{&typed, &v}); err != nil {
			return ErrSyntax, err
		}
		if err := v.check(); err != nil {
			return ErrValue, err
		}
		t.Requests = append(t.Requests, v)
		atMS = v.AtMS
	case "event":
		var v Event
		if err := decode(data, &struct {
			*line
			*Event
		}{&typed, &v}); err != nil {
			return ErrSyntax, err
		}
		if err := v.check(&t.Header); err != nil {
			return ErrValue, err
		}
		t.Events = append(t.Events, v)
		atMS = v.AtMS
	case "outcome":
		var v Outcome
		if err := decode(data, &struct {
			*line
			*Outcome
		}{&typed, &v}); err != nil {
			return ErrSyntax, err
		}
		if err := v.check(); err != nil {
			return ErrValue, err
		}
		t.Outcomes = append(t.Outcomes, v)
	default:
		return ErrSyntax, fmt.Errorf("type %q is not known: use request, event or outcome", truncate(typed.Type))
	}
	if atMS < *previousMS {
		return ErrOrder, fmt.Errorf("time %d ms is before that of an earlier line, %d ms", atMS, *previousMS)
	}
	*previousMS = atMS
	return "", nil
}

// decode decodes one JSON object and rejects unknown fields.
func decode(data []byte, into any) error {
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(into); err != nil {
		return err
	}
	if decoder.More() {
		return errors.New("more than one object")
	}
	return nil
}

func truncate(s string) string { return s[:min(len(s), 32)] }

func checkName(field, value string) error {
	if value == "" || len(value) > maxNameBytes {
		return fmt.Errorf("%s must have 1 to %d bytes", field, maxNameBytes)
	}
	return nil
}

func (h *Header) check() error {
	if len(h.Fleet) == 0 {
		h.Fleet = nil // so that an empty list equals a missing field
	}
	if len(h.Fleet) > maxDataCentres {
		return fmt.Errorf("the fleet has %d data centres: use at most %d", len(h.Fleet), maxDataCentres)
	}
	for _, d := range h.Fleet {
		if err := checkName("name of a data centre", d.Name); err != nil {
			return err
		}
		if d.EntryInstances < 1 || max(d.EntryInstances, d.Engines, d.Services) > maxProcesses || min(d.Engines, d.Services) < 0 {
			return fmt.Errorf("data centre %s must have 1 to %d entry instances and at most as many servers", truncate(d.Name), maxProcesses)
		}
		if (d.Engines > 0 && d.Model == "") || (d.Services > 0 && d.Service == "") {
			return fmt.Errorf("data centre %s has servers without a model or service", truncate(d.Name))
		}
	}
	return nil
}

// toPlainService reports whether the request is for a plain service.
func (r *Request) toPlainService() bool { return strings.HasPrefix(r.Path, "/services/") }

func (r *Request) check() error {
	for _, f := range []struct{ field, value string }{
		{"org", r.Organisation}, {"target", r.Target}, {"method", r.Method}, {"path", r.Path}, {"dc", r.DataCentre},
	} {
		if err := checkName(f.field, f.value); err != nil {
			return err
		}
	}
	// A replay puts the path into a request line.
	if u, err := url.ParseRequestURI(r.Path); err != nil || !strings.HasPrefix(r.Path, "/") || strings.ContainsAny(r.Path, " ?#\r\n") || u.Host != "" {
		return errors.New("path must be a URL path without a query")
	}
	if strings.IndexFunc(r.Method, func(c rune) bool { return c < 'A' || c > 'Z' }) >= 0 {
		return errors.New("method must be in capital letters")
	}
	if len(r.Key) > maxNameBytes {
		return fmt.Errorf("key must have at most %d bytes", maxNameBytes)
	}
	if r.AtMS < 0 || r.AtMS > maxAtMS || r.DeadlineMS < 0 || r.DeadlineMS > maxAtMS {
		return fmt.Errorf("at and deadline must be from 0 to %d ms", maxAtMS)
	}
	if min(r.PromptBytes, r.MaxTokens) < 0 || max(r.PromptBytes, r.MaxTokens) > maxPromptOrTokens {
		return fmt.Errorf("prompt and tokens must be from 0 to %d", maxPromptOrTokens)
	}
	return nil
}

func (e *Event) check(h *Header) error {
	if e.AtMS < 0 || e.AtMS > maxAtMS {
		return fmt.Errorf("at must be from 0 to %d ms", maxAtMS)
	}
	var needsDataCentre, needsServer, needsInstance bool
	switch e.Kind {
	case Evacuate, Restore, Partition:
		needsDataCentre = true
	case Drain, Down, Up, Cold, Slow:
		needsServer = true
	case Crash, Restart:
		needsInstance = true
	case Silent:
		needsServer, needsInstance = true, true
	case Heal:
	default:
		return fmt.Errorf("event %q is not known", truncate(string(e.Kind)))
	}
	if needsDataCentre && !slices.ContainsFunc(h.Fleet, func(d DataCentre) bool { return d.Name == e.DataCentre }) {
		return fmt.Errorf("data centre %q is not in the fleet", truncate(e.DataCentre))
	}
	if needsServer && !slices.ContainsFunc(h.Fleet, func(d DataCentre) bool { return slices.Contains(d.Servers(), e.Server) }) {
		return fmt.Errorf("server %q is not in the fleet", truncate(e.Server))
	}
	if needsInstance && !slices.ContainsFunc(h.Fleet, func(d DataCentre) bool { return slices.Contains(d.Instances(), e.Instance) }) {
		return fmt.Errorf("entry instance %q is not in the fleet", truncate(e.Instance))
	}
	if e.Kind == Slow && (e.Factor < 1 || e.Factor > 1000) {
		return errors.New("factor must be from 1 to 1000")
	}
	return nil
}

// Servers returns the names of the backend servers of a data centre.
func (d *DataCentre) Servers() []string {
	return append(numberedNames(d.Name+"-"+d.Model, d.Engines), numberedNames(d.Name+"-"+d.Service, d.Services)...)
}

// Instances returns the names of the entry instances of a data centre.
func (d *DataCentre) Instances() []string { return numberedNames(d.Name+"-entry", d.EntryInstances) }

func numberedNames(prefix string, count int) []string {
	names := make([]string, count)
	for n := range names {
		names[n] = fmt.Sprintf("%s-%d", prefix, n+1)
	}
	return names
}

func (o *Outcome) check() error {
	var needsTarget, needsShare, needsWithin bool
	switch o.Kind {
	case NoLostRequests, NoDuplicateRuns:
		needsTarget = true
	case AnsweredWithin:
		needsTarget, needsShare = true, true
	case TimeToFirstToken, InterTokenLatency:
		needsTarget, needsShare, needsWithin = true, true, true
	case NoNewRequests:
		if o.DataCentre == "" {
			return errors.New("the outcome needs a data centre")
		}
	default:
		return fmt.Errorf("outcome %q is not known", truncate(string(o.Kind)))
	}
	if needsTarget && o.Target == "" {
		return errors.New("the outcome needs a target")
	}
	if needsShare && !(o.Share > 0 && o.Share <= 1) {
		return errors.New("share must be above 0 and at most 1")
	}
	if len(o.Except) == 0 {
		o.Except = nil // so that an empty list equals a missing field
	}
	if o.WithinMS < 0 || o.WithinMS > maxAtMS || (needsWithin && o.WithinMS == 0) {
		return fmt.Errorf("within must be from 1 to %d ms", maxAtMS)
	}
	return nil
}

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

// Bounds of a trace that is read.
const (
	maxLineBytes = 4096
	maxLines     = 1 << 20
	maxAtMS      = 48 * 3600 * 1000 // two days
	maxNameBytes = 256
	maxFleet     = 16  // data centres; the target size has 14
	maxProcesses = 512 // of one kind in a data centre
	maxSize      = 1 << 20
)

// ErrorKind tells what is wrong with a line.
type ErrorKind string

// Kinds of faults in a trace.
const (
	ErrSyntax  ErrorKind = "syntax"   // not a JSON object of a known type
	ErrVersion ErrorKind = "version"  // no header, or one of another version
	ErrTooLong ErrorKind = "too long" // the line or the file exceeds its bound
	ErrOrder   ErrorKind = "order"    // requests and events must be in order of time
	ErrValue   ErrorKind = "value"    // a field is missing, out of bounds or names nothing in the fleet
)

// Error is a fault in a line of a trace.
type Error struct {
	Line   int
	Kind   ErrorKind
	Detail string
}

// Error implements error.
func (e *Error) Error() string { return fmt.Sprintf("line %d: %s: %s", e.Line, e.Kind, e.Detail) }

// line is any line of a trace after the first.
type line struct {
	Type string `json:"type"`
}

// Read reads a trace. A fault is an *Error.
func Read(r io.Reader) (*Trace, error) {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(make([]byte, maxLineBytes), maxLineBytes)
	t := &Trace{}
	number, last := 0, int64(0)
	for scanner.Scan() {
		number++
		if number > maxLines {
			return nil, &Error{number, ErrTooLong, fmt.Sprintf("a trace has at most %d lines: split it", maxLines)}
		}
		kind, err := t.add(number, scanner.Bytes(), &last)
		if err != nil {
			return nil, &Error{number, kind, err.Error()}
		}
	}
	if errors.Is(scanner.Err(), bufio.ErrTooLong) {
		return nil, &Error{number + 1, ErrTooLong, fmt.Sprintf("a line has at most %d bytes", maxLineBytes)}
	}
	if err := scanner.Err(); err != nil {
		return nil, err
	}
	if number == 0 {
		return nil, &Error{1, ErrVersion, "the file is empty: its first line must be the header"}
	}
	return t, nil
}

// add adds one line.
func (t *Trace) add(number int, data []byte, last *int64) (ErrorKind, error) {
	if number == 1 {
		var l line
		if err := decode(data, &struct {
			*line
			*Header
		}{&l, &t.Header}); err != nil {
			return ErrSyntax, err
		}
		if l.Type != "trace" {
			return ErrVersion, fmt.Errorf("type %q of the first line is not \"trace\"", clip(l.Type))
		}
		if t.Header.Version != Version {
			return ErrVersion, fmt.Errorf("version %d is not known: use a trace of version %d", t.Header.Version, Version)
		}
		if err := t.Header.check(); err != nil {
			return ErrValue, err
		}
		return "", nil
	}
	var l line
	if err := json.Unmarshal(data, &l); err != nil {
		return ErrSyntax, err
	}
	at := *last
	switch l.Type {
	case "request":
		var v Request
		if err := decode(data, &struct {
			*line
			*Request
		}{&l, &v}); err != nil {
			return ErrSyntax, err
		}
		if err := v.check(); err != nil {
			return ErrValue, err
		}
		t.Requests = append(t.Requests, v)
		at = v.AtMS
	case "event":
		var v Event
		if err := decode(data, &struct {
			*line
			*Event
		}{&l, &v}); err != nil {
			return ErrSyntax, err
		}
		if err := v.check(&t.Header); err != nil {
			return ErrValue, err
		}
		t.Events = append(t.Events, v)
		at = v.AtMS
	case "outcome":
		var v Outcome
		if err := decode(data, &struct {
			*line
			*Outcome
		}{&l, &v}); err != nil {
			return ErrSyntax, err
		}
		if err := v.check(); err != nil {
			return ErrValue, err
		}
		t.Outcomes = append(t.Outcomes, v)
	default:
		return ErrSyntax, fmt.Errorf("type %q is not known: use request, event or outcome", clip(l.Type))
	}
	if at < *last {
		return ErrOrder, fmt.Errorf("%d ms lies before the line above, at %d ms", at, *last)
	}
	*last = at
	return "", nil
}

// decode reads one object without unknown fields.
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

func clip(s string) string { return s[:min(len(s), 32)] }

func checkName(field, value string) error {
	if value == "" || len(value) > maxNameBytes {
		return fmt.Errorf("%s must have 1 to %d bytes", field, maxNameBytes)
	}
	return nil
}

func (h *Header) check() error {
	if len(h.Fleet) == 0 {
		h.Fleet = nil // the same as a missing field
	}
	if len(h.Fleet) > maxFleet {
		return fmt.Errorf("the fleet has %d data centres: use at most %d", len(h.Fleet), maxFleet)
	}
	for _, d := range h.Fleet {
		if err := checkName("name of a data centre", d.Name); err != nil {
			return err
		}
		if d.Entries < 1 || max(d.Entries, d.Engines, d.Services) > maxProcesses || min(d.Engines, d.Services) < 0 {
			return fmt.Errorf("data centre %s must have 1 to %d entry instances and at most as many servers", clip(d.Name), maxProcesses)
		}
		if (d.Engines > 0 && d.Model == "") || (d.Services > 0 && d.Service == "") {
			return fmt.Errorf("data centre %s has servers without a model or service", clip(d.Name))
		}
	}
	return nil
}

// service reports whether the request goes to a plain service.
func (r *Request) service() bool { return strings.HasPrefix(r.Path, "/services/") }

func (r *Request) check() error {
	for _, f := range []struct{ field, value string }{
		{"org", r.Organisation}, {"target", r.Target}, {"method", r.Method}, {"path", r.Path}, {"dc", r.DataCentre},
	} {
		if err := checkName(f.field, f.value); err != nil {
			return err
		}
	}
	// The path becomes part of a request line in a replay.
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
	if min(r.Prompt, r.Tokens) < 0 || max(r.Prompt, r.Tokens) > maxSize {
		return fmt.Errorf("prompt and tokens must be from 0 to %d", maxSize)
	}
	return nil
}

func (e *Event) check(h *Header) error {
	if e.AtMS < 0 || e.AtMS > maxAtMS {
		return fmt.Errorf("at must be from 0 to %d ms", maxAtMS)
	}
	var dataCentre, server, instance bool
	switch e.Kind {
	case Out, In, Partition:
		dataCentre = true
	case Drain, Down, Up, Cold, Slow:
		server = true
	case Crash, Restart:
		instance = true
	case Silent:
		server, instance = true, true
	case Heal:
	default:
		return fmt.Errorf("event %q is not known", clip(string(e.Kind)))
	}
	if dataCentre && !slices.ContainsFunc(h.Fleet, func(d DataCentre) bool { return d.Name == e.DataCentre }) {
		return fmt.Errorf("data centre %q is not in the fleet", clip(e.DataCentre))
	}
	if server && !slices.ContainsFunc(h.Fleet, func(d DataCentre) bool { return slices.Contains(d.Servers(), e.Server) }) {
		return fmt.Errorf("server %q is not in the fleet", clip(e.Server))
	}
	if instance && !slices.ContainsFunc(h.Fleet, func(d DataCentre) bool { return slices.Contains(d.Instances(), e.Instance) }) {
		return fmt.Errorf("entry instance %q is not in the fleet", clip(e.Instance))
	}
	if e.Kind == Slow && (e.Factor < 1 || e.Factor > 1000) {
		return errors.New("factor must be from 1 to 1000")
	}
	return nil
}

// Servers returns the names of the backend servers of a data centre.
func (d *DataCentre) Servers() []string {
	return append(numbered(d.Name+"-"+d.Model, d.Engines), numbered(d.Name+"-"+d.Service, d.Services)...)
}

// Instances returns the names of the entry instances of a data centre.
func (d *DataCentre) Instances() []string { return numbered(d.Name+"-entry", d.Entries) }

func numbered(prefix string, count int) []string {
	names := make([]string, count)
	for n := range names {
		names[n] = fmt.Sprintf("%s-%d", prefix, n+1)
	}
	return names
}

func (o *Outcome) check() error {
	var target, share, within bool
	switch o.Kind {
	case NoneLost, NoneTwice:
		target = true
	case AnsweredWithin:
		target, share = true, true
	case FirstToken, TokenInterval:
		target, share, within = true, true, true
	case NothingNew:
		if o.DataCentre == "" {
			return errors.New("the outcome needs a data centre")
		}
	default:
		return fmt.Errorf("outcome %q is not known", clip(string(o.Kind)))
	}
	if target && o.Target == "" {
		return errors.New("the outcome needs a target")
	}
	if share && !(o.Share > 0 && o.Share <= 1) {
		return errors.New("share must be above 0 and at most 1")
	}
	if len(o.Except) == 0 {
		o.Except = nil // the same as a missing field
	}
	if o.WithinMS < 0 || o.WithinMS > maxAtMS || (within && o.WithinMS == 0) {
		return fmt.Errorf("within must be from 1 to %d ms", maxAtMS)
	}
	return nil
}

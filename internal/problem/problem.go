// Package problem defines the typed errors of the system. Each has a kind, which is kept when the error is encoded, and a
// message that names the remedy. Callers receive it as a problem document (RFC 9457).
package problem

import (
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"net/http"
	"strconv"
	"time"
)

// Kind identifies a type of error for callers, metrics and tests.
type Kind string

// Kinds of error. NotRun and OverShare guarantee that the request did not run.
const (
	NotRun           Kind = "not_run"
	OutcomeUnknown   Kind = "outcome_unknown"
	BadRequest       Kind = "bad_request"
	Unauthorized     Kind = "unauthorized"
	UnknownModel     Kind = "unknown_model"
	OverShare        Kind = "over_share"
	DeadlineExceeded Kind = "deadline_exceeded"
	AlreadyRun       Kind = "already_run"
	TooLarge         Kind = "too_large"
	Conflict         Kind = "conflict"
	Internal         Kind = "internal"
)

// ContentType is the media type of a problem document.
const ContentType = "application/problem+json"

var statuses = map[Kind]int{
	NotRun:           http.StatusServiceUnavailable,
	OutcomeUnknown:   http.StatusBadGateway,
	BadRequest:       http.StatusBadRequest,
	Unauthorized:     http.StatusUnauthorized,
	UnknownModel:     http.StatusNotFound,
	OverShare:        http.StatusTooManyRequests,
	DeadlineExceeded: http.StatusGatewayTimeout,
	AlreadyRun:       http.StatusConflict,
	TooLarge:         http.StatusRequestEntityTooLarge,
	Conflict:         http.StatusConflict,
	Internal:         http.StatusInternalServerError,
}

// Error is an error with a kind and a remedy.
type Error struct {
	Kind       Kind
	Detail     string        // what happened and what to do about it
	RetryAfter time.Duration // delay after which a retry makes sense, 0 if it does not
	Ran        *bool         // whether the request ran, nil if unknown or not applicable
}

// New returns an error of the kind with a formatted detail.
func New(kind Kind, format string, args ...any) *Error {
	return &Error{Kind: kind, Detail: fmt.Sprintf(format, args...)}
}

// WithRetryAfter sets the delay after which a retry makes sense.
func (e *Error) WithRetryAfter(delay time.Duration) *Error {
	e.RetryAfter = delay
	return e
}

// WithRan sets whether the request ran.
func (e *Error) WithRan(ran bool) *Error {
	e.Ran = &ran
	return e
}

// Error implements error.
func (e *Error) Error() string { return string(e.Kind) + ": " + e.Detail }

// Status returns the HTTP status of the kind.
func (e *Error) Status() int {
	if status, ok := statuses[e.Kind]; ok {
		return status
	}
	return http.StatusInternalServerError
}

// KindOf returns the kind of err, or Internal if it has none.
func KindOf(err error) Kind {
	var e *Error
	if errors.As(err, &e) {
		return e.Kind
	}
	return Internal
}

// document is the JSON form of an error.
type document struct {
	Type         string `json:"type"`
	Kind         Kind   `json:"kind"`
	Title        string `json:"title"`
	Status       int    `json:"status"`
	Detail       string `json:"detail"`
	RetryAfterMS int64  `json:"retry_after_ms,omitempty"`
	Ran          *bool  `json:"ran,omitempty"`
}

// Write sends err as a problem document. Errors without a kind are sent as Internal without their text.
func Write(w http.ResponseWriter, err error) {
	var e *Error
	if !errors.As(err, &e) {
		e = New(Internal, "internal error: see the entry instance's log for the request identifier")
	}
	if e.RetryAfter > 0 {
		seconds := int(math.Ceil(e.RetryAfter.Seconds()))
		w.Header().Set("Retry-After", strconv.Itoa(seconds))
	}
	w.Header().Set("Content-Type", ContentType)
	w.WriteHeader(e.Status())
	_ = json.NewEncoder(w).Encode(document{
		Type:         "urn:banyanfront:problem:" + string(e.Kind),
		Kind:         e.Kind,
		Title:        http.StatusText(e.Status()),
		Status:       e.Status(),
		Detail:       e.Detail,
		RetryAfterMS: e.RetryAfter.Milliseconds(),
		Ran:          e.Ran,
	})
}

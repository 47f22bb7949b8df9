package intake

import (
	"context"
	"errors"
	"io"
	"net/http"
	"os"
	"slices"
	"time"
)

const (
	// freeBytes is the size up to which a body takes nothing from the budget: each connection has room for it, so that ordinary requests
	// are admitted however short the memory is.
	freeBytes = 8 << 10
	// pieceBytes is the size in which the buffer of a larger body grows.
	pieceBytes = 64 << 10
	// firstBytes is the size of the first buffer of a body without an announced length.
	firstBytes = 2 << 10
	// drainTimeout is how long the rest of a refused body is read, so that its client can read the refusal.
	drainTimeout = 500 * time.Millisecond
)

// Body is a request body that has arrived whole, in the pieces in which it was read.
type Body struct {
	Pieces   [][]byte
	first    [1][]byte // space for the only piece of most bodies
	transfer *Transfer // nil if the body takes nothing from the budget
}

// Len returns the length in bytes.
func (b *Body) Len() int {
	n := 0
	for _, piece := range b.Pieces {
		n += len(piece)
	}
	return n
}

// Bytes returns the body in one piece, which replaces the others.
func (b *Body) Bytes() []byte {
	switch len(b.Pieces) {
	case 0:
		return nil
	case 1:
	default:
		b.Pieces = [][]byte{slices.Concat(b.Pieces...)}
	}
	return b.Pieces[0]
}

// Close returns the memory of the body to the budget.
func (b *Body) Close() {
	if b != nil {
		b.transfer.Close()
	}
}

// BodyLimits limits a body on its way in.
type BodyLimits struct {
	Owner string    // organisation or address that the body counts towards
	Bytes int64     // the largest body
	Until time.Time // when the body must be whole; zero for no such time
}

// bodyReader reads one body.
type bodyReader struct {
	gate       *Gate
	r          *http.Request
	controller *http.ResponseController
	connection *conn // nil if it is not guarded
	limits     BodyLimits
	body       Body
	length     int64
}

// ReadBody reads the body of a request. Memory is taken as the body arrives, not as announced; a body that announces too much is
// not read. The error is one of this package. After an error, the connection must be closed; see Refuse.
func (g *Gate) ReadBody(w http.ResponseWriter, r *http.Request, limits BodyLimits) (*Body, error) {
	if r.ContentLength == 0 || r.Body == http.NoBody {
		return &Body{}, nil
	}
	if r.ContentLength > limits.Bytes {
		count("too_long")
		return nil, ErrTooLong
	}
	b := &bodyReader{gate: g, r: r, controller: http.NewResponseController(w), limits: limits}
	b.connection = connOf(r)
	err := b.read()
	if !b.connection.received() && err == nil {
		err = ErrIncomplete
	}
	if err != nil {
		b.body.Close()
		return nil, b.explain(err)
	}
	if b.body.transfer != nil {
		b.body.transfer.Arrived()
	}
	// The deadline would otherwise end the request while it is served.
	_ = b.controller.SetReadDeadline(time.Time{}) // recorders of tests have no deadlines
	return &b.body, nil
}

// read reads to the end of the body.
func (b *bodyReader) read() error {
	b.body.Pieces = b.body.first[:0]
	size := int64(firstBytes)
	if b.r.ContentLength > 0 {
		size = min(b.r.ContentLength, freeBytes)
	}
	for {
		b.extendDeadline()
		if b.body.transfer.stopped() {
			return ErrNoRoom
		}
		err := b.readPiece(make([]byte, size))
		switch {
		case b.length > b.limits.Bytes:
			return ErrTooLong
		case err == io.EOF:
			return nil
		case err != nil:
			return err
		case b.length == b.r.ContentLength:
			if err := b.readPiece(make([]byte, 1)); err != io.EOF { // net/http reports the end with the read after the last byte
				return errors.Join(ErrIncomplete, err)
			}
			return nil
		}
		if size, err = b.nextPiece(); err != nil {
			return err
		}
	}
}

// readPiece reads until a piece is full. It returns io.EOF only at the end of the body.
func (b *bodyReader) readPiece(piece []byte) error {
	n := 0
	var err error
	for n < len(piece) && err == nil {
		var read int
		read, err = b.r.Body.Read(piece[n:])
		n += read
	}
	if n > 0 {
		b.body.Pieces = append(b.body.Pieces, piece[:n])
		b.length += int64(n)
	}
	return err
}

// nextPiece takes the memory of the next piece and returns its size.
func (b *bodyReader) nextPiece() (int64, error) {
	if b.length < freeBytes {
		return freeBytes - b.length, nil
	}
	size := min(pieceBytes, b.limits.Bytes-b.length+1) // one more byte shows that a body is too long
	if b.r.ContentLength > 0 {
		size = min(pieceBytes, b.r.ContentLength-b.length)
	}
	if b.body.transfer == nil {
		b.body.transfer = b.gate.Open(b.limits.Owner, func() { _ = b.controller.SetReadDeadline(past) })
	}
	return size, b.body.transfer.Take(b.r.Context(), size)
}

// past is a deadline that ends a read or write at once.
var past = time.Unix(1, 0)

// extendDeadline gives the client the idle timeout for the next piece, at most until the body must be whole.
func (b *bodyReader) extendDeadline() {
	deadline := time.Now().Add(b.gate.idle())
	if !b.limits.Until.IsZero() && b.limits.Until.Before(deadline) {
		deadline = b.limits.Until
	}
	_ = b.controller.SetReadDeadline(deadline) // recorders of tests have no deadlines
	b.connection.receive()
}

// explain returns the error of this package for an error of a read, and counts it.
func (b *bodyReader) explain(err error) error {
	reason := "incomplete"
	switch {
	case errors.Is(err, ErrTooLong):
		err, reason = ErrTooLong, "too_long"
	case errors.Is(err, ErrNoRoom) || b.body.transfer.stopped():
		err, reason = ErrNoRoom, "no_room"
	case errors.Is(err, os.ErrDeadlineExceeded):
		err, reason = ErrTooSlow, "too_slow"
	case !errors.Is(err, context.Canceled):
		err = ErrIncomplete
	}
	count(reason)
	return err
}

// Refuse prepares the refusal of a request whose body has not been read: the connection closes after the response, and what still
// arrives of the body is discarded for a moment only.
func Refuse(w http.ResponseWriter) {
	w.Header().Set("Connection", "close")
	_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(drainTimeout)) // recorders of tests have no deadlines
}

// Status returns the status of a refusal because of an error of ReadBody, 0 if the client has left. 408 and 503 promise that the
// request has not run.
func Status(err error) int {
	switch {
	case errors.Is(err, ErrTooLong):
		return http.StatusRequestEntityTooLarge
	case errors.Is(err, ErrNoRoom):
		return http.StatusServiceUnavailable
	case errors.Is(err, ErrTooSlow):
		return http.StatusRequestTimeout
	}
	return 0
}

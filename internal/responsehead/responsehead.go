// Package responsehead checks the heads of responses that other processes send. net/http accepts more heads than HTTP defines, and what
// it makes of those must not reach a caller as the answer of a server.
package responsehead

import (
	"fmt"
	"net/http"
	"strings"

	"github.com/VictoriaMetrics/metrics"
)

// Error reports a head that HTTP does not define. Its response must not be used, and the connection must be closed: what follows
// belongs to no request.
type Error struct{ Detail string }

// Error implements the error interface.
func (e *Error) Error() string {
	return "the response is not valid HTTP: " + e.Detail + "; check or replace the server"
}

// newError returns an Error and counts it. check names what the head failed.
func newError(check, format string, args ...any) *Error {
	metrics.GetOrCreateCounter(fmt.Sprintf(`banyanfront_invalid_response_heads_total{check=%q}`, check)).Inc()
	return &Error{fmt.Sprintf(format, args...)}
}

// Bounds of the statuses that HTTP defines.
const (
	minStatus      = 100
	minFinalStatus = 200
	maxStatus      = 599
)

// MaxInterim limits the interim responses before a final one; net/http accepts as many.
const MaxInterim = 5

// IsInterim reports whether another response to the same request follows. After 101, something other than HTTP follows.
func IsInterim(status int) bool {
	return status >= minStatus && status < minFinalStatus && status != http.StatusSwitchingProtocols
}

// CheckFinal returns an Error unless status can be that of a final response to a request that asked for no other protocol.
func CheckFinal(status int) error {
	if status < minFinalStatus || status > maxStatus {
		return newError("status", "%03d is not the status of a final response", status)
	}
	return nil
}

// CheckName returns an Error unless name can be that of a field. net/http accepts names with blanks and does not recognise them, so
// that such a field no longer tells the length of the body.
func CheckName(name string) error {
	for i := range len(name) {
		if !isTokenByte(name[i]) {
			return newError("field_name", "%.64q is not the name of a field", name)
		}
	}
	if name == "" {
		return newError("field_name", "a field has no name")
	}
	return nil
}

// isTokenByte reports whether a byte can be part of a token of HTTP.
func isTokenByte(b byte) bool {
	return 'a' <= b && b <= 'z' || 'A' <= b && b <= 'Z' || '0' <= b && b <= '9' || strings.IndexByte("!#$%&'*+-.^_`|~", b) >= 0
}

// CheckNames returns an Error unless each name of header can be that of a field.
func CheckNames(header http.Header) error {
	for name := range header {
		if err := CheckName(name); err != nil {
			return err
		}
	}
	return nil
}

package registry

import (
	"fmt"
	"unicode/utf8"
)

// maxTextBytes limits each text of an announcement, so that a message with many announcements stays below its size limit.
const maxTextBytes = 256

// InvalidError reports an announcement that describes no usable server.
type InvalidError struct {
	Field  string
	Remedy string
}

// Error implements error.
func (e *InvalidError) Error() string { return "announcement: " + e.Field + ": " + e.Remedy }

// Validate returns nil if other instances can read the announcement, otherwise an *InvalidError with the first problem.
func (a *Announcement) Validate() error {
	for _, text := range []struct{ field, value string }{
		{"identifier", a.Server}, {"service", a.Service}, {"address", a.Address}, {"data centre", a.DataCentre}, {"group", a.Group.Name},
	} {
		if len(text.value) > maxTextBytes {
			return &InvalidError{text.field, fmt.Sprintf("has %d bytes; send at most %d", len(text.value), maxTextBytes)}
		}
		if !utf8.ValidString(text.value) {
			return &InvalidError{text.field, "is not UTF-8; encode it"}
		}
	}
	if a.Server == "" {
		return &InvalidError{"identifier", "is missing; send it in the path"}
	}
	return nil
}

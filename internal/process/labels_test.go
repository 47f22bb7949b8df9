package process

import (
	"testing"

	"github.com/matryer/is"
)

// Guards against a metric whose number of series grows without limit with the values that callers choose.
func TestLabelsAreBounded(t *testing.T) {
	is := is.New(t)
	l := NewLabelLimiter(2)
	is.Equal(l.Label("a"), "a")
	is.Equal(l.Label("b"), "b")
	is.Equal(l.Label("c"), "other")
	is.Equal(l.Label("a"), "a") // keeps its own series
}

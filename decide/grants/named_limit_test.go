package grants

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against more requests than a server has named as its limit, and against a limit that outlives its naming, or ends with a response
// to a request that was sent before.
func TestNamedLimitIsKeptWhileItIsNamed(t *testing.T) {
	is := is.New(t)
	var l NamedLimit
	admitted := func(from, to time.Duration) (n int) {
		for at := start.Add(from); at.Before(start.Add(to)); at = at.Add(10 * time.Millisecond) {
			if ok, retryAfter := l.Admit(at); ok {
				n++
			} else {
				is.True(retryAfter > 0)
			}
		}
		return n
	}
	is.Equal(admitted(0, time.Second), 100)
	is.True(l.Record(start.Add(time.Second), start, 5))
	is.True(!l.Record(start.Add(time.Second), start, 5))
	n := admitted(time.Second, 5*time.Second)
	is.True(n <= 4*5 && n >= 4*5*3/4)
	is.True(!l.Record(start.Add(5*time.Second), start.Add(900*time.Millisecond), 0))
	n = admitted(5*time.Second, 9*time.Second)
	is.True(n <= 4*5)
	is.True(l.Record(start.Add(9*time.Second), start.Add(8*time.Second), 0))
	is.Equal(admitted(9*time.Second, 10*time.Second), 100)
}

// Guards against a limit that is read from a text which is no number, and against one so low that its end is never seen.
func TestParseLimit(t *testing.T) {
	is := is.New(t)
	for text, want := range map[string]float64{"2.5": 2.5, "0": MinLimit, "0.01": MinLimit, "40": 40} {
		n, ok := ParseLimit(text)
		is.True(ok)
		is.Equal(n, want)
	}
	for _, text := range []string{"", "many", "-1", "NaN", "+Inf"} {
		_, ok := ParseLimit(text)
		is.True(!ok)
	}
}

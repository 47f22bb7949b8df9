package capacity

import (
	"math"
	"testing"

	"github.com/matryer/is"

	"github.com/banyanfront/banyanfront/internal/protocol"
)

// Guards against figures that rest on a wrong line.
func TestFitLine(t *testing.T) {
	is := is.New(t)
	f := FitLine([]float64{0, 1, 2, 3}, []float64{10, 13, 15, 19})
	is.True(math.Abs(f.Slope-2.9) < 1e-9)
	is.True(math.Abs(f.Intercept-9.9) < 1e-9)
	is.True(math.Abs(f.Residual-0.7) < 1e-9)
	is.True(math.Abs(f.At(10)-38.9) < 1e-9)
}

// Guards against overhead that is forgotten for masked, medium or long messages. The sizes follow RFC 6455, RFC 8446 and
// RFC 7323.
func TestWire(t *testing.T) {
	for _, c := range []struct {
		payload int
		masked  bool
		want    int
	}{
		{60, false, 60 + 2 + 22 + 52},
		{60, true, 60 + 6 + 22 + 52},
		{126, false, 126 + 4 + 22 + 52},
		{2000, false, 2000 + 4 + 22 + 2*52},
	} {
		is.New(t).Equal(Wire(c.payload, c.masked), c.want)
	}
}

// Guards against messages that outgrow the sizes from which the design page derives its budget: an announcement of 300
// bytes, and a ping and a pong of 20 bytes.
func TestEncodedSizes(t *testing.T) {
	is := is.New(t)
	is.True(Frame(&protocol.Announce{Announcement: Announcement(4199)}) <= 300)
	is.True(Frame(&protocol.Ping{Sequence: math.MaxUint32, SilenceMS: 5000}) <= 20)
	is.True(Frame(&protocol.Pong{Sequence: math.MaxUint32}) <= 20)
	view, err := protocol.EncodeView(View(Engines))
	is.NoErr(err)
	is.True(len(view) <= protocol.MaxMessageBytes) // a view is one message
}

package command

import (
	"testing"

	"github.com/matryer/is"

	"github.com/banyanfront/banyanfront/platform"
)

// Guards against exit status 0 for a mistyped command, which a script would treat as success.
func TestUnknownCommandIsAnError(t *testing.T) {
	is := is.New(t)
	is.Equal(Main(Front(), []string{"no-such-command"}), exitInvalid)
	is.Equal(Main(Agent(), []string{"no-such-command"}), exitInvalid)
	is.Equal(Main(Front(), []string{"--help"}), 0)
	is.Equal(Main(Front(), nil), 0)
}

// Guards against a role that starts without the settings it needs.
func TestRoleNeedsItsSettings(t *testing.T) {
	is := is.New(t)
	t.Setenv(platform.SettingsVariable, "")
	is.Equal(Main(Front(), []string{"entry"}), exitInvalid)
	is.Equal(Main(Agent(), []string{"rank", "--log", "loud"}), exitInvalid)
}

// Guards against a stand-in that takes flags after its kind for names, as the operators' pages give them.
func TestStandinTakesFlagsOnBothSidesOfItsKind(t *testing.T) {
	is := is.New(t)
	for _, args := range [][]string{{"--listen", "127.0.0.1:1", "engine", "--cold", "1s"}, {"engine", "--listen", "127.0.0.1:1"},
		{"service", "--listen", "127.0.0.1:1"}} {
		is.NoErr(standinCommand().Parse(args))
	}
	for _, args := range [][]string{nil, {"lathe"}, {"engine", "again"}} {
		is.Equal(Main(Front(), append([]string{"standin"}, args...)), exitInvalid)
	}
}

// Guards against a soak that starts processes before it finds that one of its programs is missing.
func TestSoakNeedsBothPrograms(t *testing.T) {
	is := is.New(t)
	is.Equal(Main(Front(), []string{"soak", "--folder", t.TempDir()}), exitInvalid) // nothing is built beside the test binary
}

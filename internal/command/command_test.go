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

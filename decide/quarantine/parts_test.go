package quarantine

import (
	"fmt"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// Guards against parts of prompts that callers choose to be so long or so many that no message to another instance can bear them.
func TestPartsOfAPromptAreBound(t *testing.T) {
	is := is.New(t)
	is.Equal(PartsOf([]string{"5c1e07a2", "91bd3f06"}), []string{"5c1e07a2", "91bd3f06"})
	is.Equal(len(PartsOf(nil)), 0)
	long, other := strings.Repeat("x", 16<<10), strings.Repeat("x", 16<<10-1)
	parts := PartsOf([]string{long, other, long})
	is.Equal(parts[0], parts[2])
	is.True(parts[0] != parts[1])
	is.True(len(parts[0]) <= maxPartBytes)
	is.True(!isRequest(parts[0]))
	var many []string
	for i := range 20_000 {
		many = append(many, fmt.Sprint(i))
	}
	is.Equal(len(PartsOf(many)), MaxPartsPerRequest)
}

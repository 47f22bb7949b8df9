package settings

import (
	"encoding/json"

	"github.com/tailscale/hujson"
)

// CheckFile checks a file whose type it infers from its top-level keys: a file with a number is a release note, one
// with a backend is the settings of an agent, and any other is the settings of an entry instance.
func CheckFile(path string) []Problem {
	data, problems := readFile(path)
	if problems != nil {
		return problems
	}
	switch fields := topLevelKeys(data); {
	case fields["number"]:
		_, problems = ParseNote(path, data)
	case fields["backend"]:
		_, problems = LoadAgent(path)
	default:
		_, problems = LoadFront(path)
	}
	return problems
}

// topLevelKeys returns the keys of the outermost object, none if the syntax is invalid.
func topLevelKeys(data []byte) map[string]bool {
	names := make(map[string]bool)
	standard, err := hujson.Standardize(append([]byte(nil), data...))
	if err != nil {
		return names
	}
	var fields map[string]json.RawMessage
	if json.Unmarshal(standard, &fields) != nil {
		return names
	}
	for name := range fields {
		names[name] = true
	}
	return names
}

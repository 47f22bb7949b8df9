package settings

import (
	"encoding/json"

	"github.com/tailscale/hujson"
)

// CheckFile checks a file by what it holds: a release note has a number, an agent's settings have a backend, and any
// other file is checked as an entry instance's settings.
func CheckFile(path string) []Problem {
	data, problems := readFile(path)
	if problems != nil {
		return problems
	}
	switch fields := topFields(data); {
	case fields["number"]:
		_, problems = ParseNote(path, data)
	case fields["backend"]:
		_, problems = LoadAgent(path)
	default:
		_, problems = LoadFront(path)
	}
	return problems
}

// topFields returns the names of the outermost fields, none if the syntax is wrong.
func topFields(data []byte) map[string]bool {
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

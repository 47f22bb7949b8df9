package settings

import (
	"strings"

	"github.com/banyanfront/banyanfront/decide/release"
)

// ParseNote reads a release note and validates it. Findings of the validation become problems at the line of the field
// that they concern. The result is nil if there is any problem.
func ParseNote(name string, data []byte) (*release.Note, []Problem) {
	note := new(release.Note)
	d := decode(name, data, note)
	if d.broken {
		return nil, d.sorted()
	}
	for _, f := range release.Validate(note) {
		if f.Severity == release.Refusal && !d.reported(f.Path) {
			d.at(f.Path, f.Message, f.Remedy)
		}
	}
	if len(d.problems) > 0 {
		return nil, d.sorted()
	}
	return note, nil
}

// LoadNote reads a release note from a file. The result is nil if there is any problem.
func LoadNote(path string) (*release.Note, []Problem) {
	data, problems := readFile(path)
	if problems != nil {
		return nil, problems
	}
	return ParseNote(path, data)
}

// NoteProblems locates findings about a note, for example those of an impact, in the text that it was read from.
func NoteProblems(name string, data []byte, findings []release.Finding) []Problem {
	d := decode(name, data, new(release.Note))
	d.problems = nil
	for _, f := range findings {
		d.at(strings.TrimSpace(f.Path), f.Message, f.Remedy)
	}
	return d.sorted()
}

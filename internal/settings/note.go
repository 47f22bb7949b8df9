package settings

import (
	"strings"

	"github.com/banyanfront/banyanfront/decide/release"
)

// ParseNote parses a release note and validates it. Refusals of the validation are returned as problems at the line of the
// field concerned. The result is nil if there is any problem.
func ParseNote(name string, data []byte) (*release.Note, []Problem) {
	note := new(release.Note)
	d := decode(name, data, note)
	if d.notDecoded {
		return nil, d.sortedProblems()
	}
	for _, f := range release.Validate(note) {
		if f.Severity == release.Refusal && !d.hasProblem(f.Path) {
			d.addProblemAt(f.Path, f.Message, f.Remedy)
		}
	}
	if len(d.problems) > 0 {
		return nil, d.sortedProblems()
	}
	return note, nil
}

// LoadNote reads a release note from a file and validates it. The result is nil if there is any problem.
func LoadNote(path string) (*release.Note, []Problem) {
	data, problems := readFile(path)
	if problems != nil {
		return nil, problems
	}
	return ParseNote(path, data)
}

// NoteProblems converts findings about a note, for example those of its impact, to problems with their position in the text
// of the note.
func NoteProblems(name string, data []byte, findings []release.Finding) []Problem {
	d := decode(name, data, new(release.Note))
	d.problems = nil
	for _, f := range findings {
		d.addProblemAt(strings.TrimSpace(f.Path), f.Message, f.Remedy)
	}
	return d.sortedProblems()
}

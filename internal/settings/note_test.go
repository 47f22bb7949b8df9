package settings

import (
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/banyanfront/banyanfront/decide/release"
)

// Guards against problems of a note that are reported without their line, twice or not at all.
func TestNoteProblemsHaveLines(t *testing.T) {
	is := is.New(t)
	data := []byte("{\n\"number\": 3,\n\"servers\": {\n\"withdraw\": [\"a\",\n\"a\"],\n\"withdrawn\": []},\n\"calls\": " +
		"[{\"service\": \"s\", \"method\": \"post\", \"pathPrefix\": \"/\"}]}")
	note, problems := ParseNote("n", data)
	is.True(note == nil)
	var reports []string
	for _, p := range problems {
		text, _, _ := strings.Cut(p.Error(), ";")
		reports = append(reports, text)
	}
	is.Equal(reports, []string{
		`n:1:1: author: "author" is missing`,
		`n:5:1: servers.withdraw[1]: "a" is also named in servers.withdraw[0]`,
		`n:6:1: servers.withdrawn: unknown key "withdrawn"`,
		`n:7:38: calls[0].method: "post" is not an HTTP method`,
	})
	located := NoteProblems("n", data, []release.Finding{{Path: "servers.withdraw", Message: "m", Remedy: "r"}})
	is.Equal(located[0].Line, 4)
}

// Guards against example notes that do not load, and against a second example that is not valid after the first.
func TestExampleNotesLoad(t *testing.T) {
	is := is.New(t)
	paths, err := filepath.Glob("../../examples/note-*.json")
	is.NoErr(err)
	is.Equal(len(paths), 2)
	config := &release.Config{}
	for _, path := range paths {
		note, problems := LoadNote(path)
		is.Equal(problems, nil)
		is.Equal(release.Check(note, config), nil)
		config = config.Apply(note)
	}
	is.Equal(config.WithdrawnBy("sur-pedidos-1"), uint64(2))
}

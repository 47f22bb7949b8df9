package settings

import (
	"flag"
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"

	"github.com/matryer/is"
)

var update = flag.Bool("update", false, "write the tables of docs/operators/settings.md")

// Guards against a settings page whose fields, defaults, bounds or meanings differ from the code. With -update it
// writes the tables instead.
func TestSettingsPageMatchesCode(t *testing.T) {
	is := is.New(t)
	const page = "../../docs/operators/settings.md"
	data, err := os.ReadFile(page)
	is.NoErr(err)
	comments := fieldComments(t)
	want := string(data)
	for name, typ := range map[string]reflect.Type{"front": reflect.TypeFor[Front](), "agent": reflect.TypeFor[Agent]()} {
		start, end := "<!-- "+name+" -->\n", "<!-- end -->"
		before, rest, ok := strings.Cut(want, start)
		is.True(ok)
		_, after, ok := strings.Cut(rest, end)
		is.True(ok)
		table := "| field | default | meaning |\n|---|---|---|\n" + tableRows(t, comments, typ, "")
		want = before + start + table + end + after
	}
	if *update {
		is.NoErr(os.WriteFile(page, []byte(want), 0o644))
		return
	}
	if want != string(data) {
		t.Fatalf("%s differs from the code: run go test ./internal/settings -run Page -update", page)
	}
}

func tableRows(t *testing.T, comments map[string]string, typ reflect.Type, parent string) string {
	var b strings.Builder
	for i := range typ.NumField() {
		field := typ.Field(i)
		path := joinPath(parent, jsonName(field))
		comment := comments[typ.Name()+"."+field.Name]
		meaning, ok := strings.CutPrefix(comment, field.Name+" ")
		if !ok {
			t.Errorf("%s.%s has no doc comment that starts with its name", typ.Name(), field.Name)
		}
		for _, verb := range []string{"is ", "are "} {
			meaning = strings.TrimPrefix(meaning, verb)
		}
		elementType := field.Type
		if elementType.Kind() == reflect.Slice {
			elementType = elementType.Elem()
			path += "[]"
		}
		value := "empty"
		if text := field.Tag.Get("default"); text != "" {
			value = "`" + text + "`"
			if !strings.Contains(comment, "Default "+text) && !strings.Contains(comment, `Default "`+text+`"`) {
				t.Errorf("the comment of %s does not state its default %s", path, text)
			}
		} else if field.Tag.Get("required") == "true" {
			value = "required"
			if !strings.Contains(comment, "No default") {
				t.Errorf("the comment of %s does not say that it has no default", path)
			}
		}
		if text := field.Tag.Get("oneof"); text != "" {
			value += " (" + strings.ReplaceAll(text, "|", ", ") + ")"
		} else if field.Tag.Get("max") != "" {
			value += fmt.Sprintf(" (%s to %s)", field.Tag.Get("min"), field.Tag.Get("max"))
		}
		fmt.Fprintf(&b, "| `%s` | %s | %s |\n", path, value, meaning)
		if elementType.Kind() == reflect.Struct {
			b.WriteString(tableRows(t, comments, elementType, path))
		}
	}
	return b.String()
}

// fieldComments returns the doc comments of all struct fields, keyed by "Type.Field".
func fieldComments(t *testing.T) map[string]string {
	comments := make(map[string]string)
	for _, name := range []string{"front.go", "agent.go"} {
		file, err := parser.ParseFile(token.NewFileSet(), name, nil, parser.ParseComments)
		if err != nil {
			t.Fatal(err)
		}
		ast.Inspect(file, func(node ast.Node) bool {
			spec, ok := node.(*ast.TypeSpec)
			if !ok {
				return true
			}
			if structure, ok := spec.Type.(*ast.StructType); ok {
				for _, field := range structure.Fields.List {
					comments[spec.Name.Name+"."+field.Names[0].Name] = strings.Join(strings.Fields(field.Doc.Text()), " ")
				}
			}
			return true
		})
	}
	return comments
}

// Guards against example settings that do not load or that contradict each other, since operators copy them.
func TestExampleSettingsLoad(t *testing.T) {
	is := is.New(t)
	paths, err := filepath.Glob("../../examples/*.json")
	is.NoErr(err)
	dataCentres, kinds, fronts := make(map[string]bool), make(map[string]bool), []*Front(nil)
	for _, path := range paths {
		if strings.HasPrefix(filepath.Base(path), "note-") {
			continue
		}
		if strings.HasPrefix(filepath.Base(path), "agent-") {
			agent, problems := LoadAgent(path)
			is.Equal(problems, nil)
			kinds[agent.Backend.Kind] = true
			continue
		}
		front, problems := LoadFront(path)
		is.Equal(problems, nil)
		dataCentres[string(front.DataCentre)] = true
		fronts = append(fronts, front)
	}
	is.Equal(len(dataCentres), 2)
	is.Equal(len(kinds), 2)
	for _, front := range fronts {
		is.Equal(len(front.Voters), 3)
		is.Equal(front.Voters, fronts[0].Voters)
		is.Equal(front.FleetKey, fronts[0].FleetKey)
	}
}

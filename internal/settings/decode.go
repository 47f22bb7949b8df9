package settings

import (
	"bytes"
	"cmp"
	"encoding/json"
	"fmt"
	"reflect"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"time"
	"unicode/utf8"

	"github.com/tailscale/hujson"
)

// maxFileBytes bounds a settings file or release note. A note for all 4,200 servers of the target size is below 600 KB.
const maxFileBytes = 1 << 20

// Bytes is a size in bytes, written as a whole number or as a string with a unit such as "16MiB".
type Bytes int64

// Decode reads one JSON value with comments into a T and reports all problems with line numbers. Fields follow their
// json tags. These tags refine a field: `default` (value when absent), `required:"true"`, `oneof:"a|b"`, `min` and
// `max` (numbers, durations and sizes), `check` (a named format, see checks).
func Decode[T any](name string, data []byte) (T, []Problem) {
	var out T
	d := decode(name, data, &out)
	return out, d.sorted()
}

// document is a decoded file with the position of every field in it.
type document struct {
	name     string
	data     []byte
	offsets  map[string]int // path to offset of its value
	problems []Problem
	broken   bool // the syntax is wrong, so absent fields mean nothing
}

func decode(name string, data []byte, out any) *document {
	d := &document{name: name, data: data, offsets: make(map[string]int)}
	if len(data) > maxFileBytes {
		d.broken = true
		d.whole(fmt.Sprintf("the file has %d bytes", len(data)), fmt.Sprintf("keep it below %d bytes", maxFileBytes))
		return d
	}
	if i := invalidUTF8(data); i >= 0 {
		d.broken = true
		d.atOffset(i, "", "the file is not valid UTF-8 here", "save it as UTF-8")
		return d
	}
	if i := tooDeep(data); i >= 0 {
		d.broken = true
		d.atOffset(i, "", fmt.Sprintf("objects and lists are nested more than %d deep", maxNesting), "remove the needless brackets")
		return d
	}
	value, err := hujson.Parse(data)
	if err != nil {
		d.broken = true
		d.syntax(err)
		return d
	}
	target := reflect.ValueOf(out).Elem()
	applyDefaults(target)
	d.value(&value, target, "", "")
	return d
}

func invalidUTF8(data []byte) int {
	for i := 0; i < len(data); {
		r, size := utf8.DecodeRune(data[i:])
		if r == utf8.RuneError && size == 1 {
			return i
		}
		i += size
	}
	return -1
}

// maxNesting bounds nested objects and lists; settings and notes need 6. The parser recurses, and a megabyte of opening
// brackets overflows the stack, which ends the process.
const maxNesting = 64

// tooDeep returns the offset of the first bracket that exceeds maxNesting outside strings and comments, -1 if none does.
func tooDeep(data []byte) int {
	depth := 0
	for i := 0; i < len(data); i++ {
		switch data[i] {
		case '"':
			for i++; i < len(data) && data[i] != '"'; i++ {
				if data[i] == '\\' {
					i++
				}
			}
		case '/':
			end := -1
			switch {
			case bytes.HasPrefix(data[i:], []byte("//")):
				end = bytes.IndexByte(data[i:], '\n')
			case bytes.HasPrefix(data[i:], []byte("/*")):
				if end = bytes.Index(data[i+2:], []byte("*/")); end >= 0 {
					end += len("/*") + len("*")
				}
			default:
				continue
			}
			if end < 0 {
				return -1 // the rest is comment
			}
			i += end
		case '{', '[':
			if depth++; depth > maxNesting {
				return i
			}
		case '}', ']':
			depth--
		}
	}
	return -1
}

var syntaxPosition = regexp.MustCompile(`line (\d+), column (\d+): (.*)`)

// syntax turns an error of the parser, which names line and column in its text, into a problem.
func (d *document) syntax(err error) {
	const remedy = "correct the JSON syntax here or just before"
	m := syntaxPosition.FindStringSubmatch(err.Error())
	if m == nil {
		d.whole("syntax error: "+err.Error(), remedy)
		return
	}
	line, _ := strconv.Atoi(m[1])
	column, _ := strconv.Atoi(m[2])
	d.add(Problem{d.name, line, column, "", "syntax error: " + m[3], remedy})
}

func (d *document) whole(message, remedy string) {
	d.add(Problem{File: d.name, Message: message, Remedy: remedy})
}

// maxProblems bounds the work on a file that is no settings file at all; nobody reads more.
const maxProblems = 500

func (d *document) add(p Problem) {
	if len(d.problems) < maxProblems {
		d.problems = append(d.problems, p)
	}
}

func (d *document) atOffset(offset int, path, message, remedy string) {
	if len(d.problems) >= maxProblems {
		return
	}
	before := d.data[:min(offset, len(d.data))]
	line := 1 + bytes.Count(before, []byte{'\n'})
	column := 1 + utf8.RuneCount(before[bytes.LastIndexByte(before, '\n')+1:])
	d.add(Problem{d.name, line, column, path, message, remedy})
}

// at reports a problem of the field at path. An absent field is reported at the closest enclosing value.
func (d *document) at(path, message, remedy string) {
	for enclosing := path; ; {
		if offset, ok := d.offsets[enclosing]; ok || enclosing == "" {
			d.atOffset(offset, path, message, remedy)
			return
		}
		enclosing = enclosing[:max(strings.LastIndexAny(enclosing, ".["), 0)]
	}
}

func (d *document) has(path string) bool {
	_, ok := d.offsets[path]
	return ok
}

func (d *document) sorted() []Problem {
	slices.SortStableFunc(d.problems, func(a, b Problem) int {
		return cmp.Or(cmp.Compare(a.Line, b.Line), cmp.Compare(a.Column, b.Column), cmp.Compare(a.Path, b.Path))
	})
	return d.problems
}

var (
	durationType = reflect.TypeFor[time.Duration]()
	bytesType    = reflect.TypeFor[Bytes]()
)

func (d *document) value(v *hujson.Value, target reflect.Value, path string, tag reflect.StructTag) {
	d.offsets[path] = v.StartOffset
	if literal, ok := v.Value.(hujson.Literal); ok && string(literal) == "null" {
		d.at(path, "null is not a value", "remove the field to use its default")
		return
	}
	switch target.Kind() {
	case reflect.Struct:
		d.object(v, target, path)
	case reflect.Pointer:
		target.Set(reflect.New(target.Type().Elem()))
		applyDefaults(target.Elem())
		d.value(v, target.Elem(), path, tag)
	case reflect.Slice:
		d.list(v, target, path, tag)
	default:
		d.scalar(v, target, path, tag)
	}
}

func (d *document) object(v *hujson.Value, target reflect.Value, path string) {
	object, ok := v.Value.(*hujson.Object)
	if !ok {
		d.at(path, "expected an object, found "+kindName(v), "write it in braces: { ... }")
		return
	}
	fields := fieldsOf(target.Type())
	seen := make(map[string]bool)
	for i := range object.Members {
		member := &object.Members[i]
		literal, ok := member.Name.Value.(hujson.Literal)
		if !ok {
			continue
		}
		name := text(literal)
		child := join(path, name)
		index, known := fields[name]
		if !known {
			d.atOffset(member.Name.StartOffset, child, fmt.Sprintf("unknown key %q", name), suggestion(name, fields))
			continue
		}
		if seen[name] {
			d.atOffset(member.Name.StartOffset, child, fmt.Sprintf("key %q appears twice", name), "keep one of them")
			continue
		}
		seen[name] = true
		d.value(&member.Value, target.Field(index), child, target.Type().Field(index).Tag)
	}
	for i := range target.NumField() {
		field := target.Type().Field(i)
		name := jsonName(field)
		if name == "" || field.Tag.Get("required") != "true" {
			continue
		}
		empty := target.Field(i).IsZero() || (field.Type.Kind() == reflect.Slice && target.Field(i).Len() == 0)
		child := join(path, name)
		if !seen[name] {
			d.at(child, fmt.Sprintf("%q is missing", name), "add it")
		} else if empty && !d.reported(child) {
			d.at(child, fmt.Sprintf("%q is empty", name), "give it a value")
		}
	}
}

func (d *document) reported(path string) bool {
	return slices.ContainsFunc(d.problems, func(p Problem) bool {
		return p.Path == path || strings.HasPrefix(p.Path, path+".") || strings.HasPrefix(p.Path, path+"[")
	})
}

func (d *document) list(v *hujson.Value, target reflect.Value, path string, tag reflect.StructTag) {
	array, ok := v.Value.(*hujson.Array)
	if !ok {
		d.at(path, "expected a list, found "+kindName(v), "write it in brackets: [ ... ]")
		return
	}
	target.Set(reflect.MakeSlice(target.Type(), len(array.Elements), len(array.Elements)))
	for i := range array.Elements {
		element := target.Index(i)
		applyDefaults(element)
		d.value(&array.Elements[i], element, fmt.Sprintf("%s[%d]", path, i), tag)
	}
}

// applyDefaults sets the fields of a struct to the values of their default tags.
func applyDefaults(target reflect.Value) {
	if target.Kind() != reflect.Struct {
		return
	}
	for i := range target.NumField() {
		field, value := target.Type().Field(i), target.Field(i)
		if value.Kind() == reflect.Struct {
			applyDefaults(value)
			continue
		}
		if text := field.Tag.Get("default"); text != "" {
			if message := setText(value, text); message != "" {
				panic("settings: default of " + field.Name + ": " + message)
			}
		}
	}
}

func fieldsOf(t reflect.Type) map[string]int {
	fields := make(map[string]int, t.NumField())
	for i := range t.NumField() {
		if name := jsonName(t.Field(i)); name != "" {
			fields[name] = i
		}
	}
	return fields
}

func jsonName(field reflect.StructField) string {
	name, _, _ := strings.Cut(field.Tag.Get("json"), ",")
	if name == "-" || !field.IsExported() {
		return ""
	}
	return name
}

func join(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}

func text(literal hujson.Literal) string {
	var s string
	_ = json.Unmarshal(literal, &s) // the parser accepted the literal
	return s
}

func kindName(v *hujson.Value) string {
	switch v.Value.Kind() {
	case '{':
		return "an object"
	case '[':
		return "a list"
	case '"':
		return "a string"
	case '0':
		return "a number"
	default:
		return string(v.Value.(hujson.Literal))
	}
}

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

// maxFileBytes is the maximum size of a settings file or release note. A note for all 4,200 servers of the target size is
// below 600 KB.
const maxFileBytes = 1 << 20

// Bytes is a size in bytes, written as a whole number or as a string with a unit such as "16MiB".
type Bytes int64

// Decode decodes one JSON value with comments into a T and returns all problems with their line numbers. Fields are named
// by their json tags. Further tags of a field: `default` (value if absent), `required:"true"`, `oneof:"a|b"`, `min` and
// `max` (of numbers, durations and sizes), `check` (a format, see formatChecks).
func Decode[T any](name string, data []byte) (T, []Problem) {
	var out T
	d := decode(name, data, &out)
	return out, d.sortedProblems()
}

// document is a decoded file with the offsets of its fields and the problems found.
type document struct {
	name       string
	data       []byte
	offsets    map[string]int // by path: byte offset of the value
	problems   []Problem
	notDecoded bool // size, encoding or syntax is invalid; no field was decoded, so absent fields are no problem
}

func decode(name string, data []byte, out any) *document {
	d := &document{name: name, data: data, offsets: make(map[string]int)}
	if len(data) > maxFileBytes {
		d.notDecoded = true
		d.addWholeFileProblem(fmt.Sprintf("the file has %d bytes", len(data)), fmt.Sprintf("keep it below %d bytes", maxFileBytes))
		return d
	}
	if i := invalidUTF8Offset(data); i >= 0 {
		d.notDecoded = true
		d.addProblemAtOffset(i, "", "the file is not valid UTF-8 here", "save it as UTF-8")
		return d
	}
	if i := excessNestingOffset(data); i >= 0 {
		d.notDecoded = true
		d.addProblemAtOffset(i, "", fmt.Sprintf("objects and lists are nested more than %d deep", maxNestingDepth), "remove the needless brackets")
		return d
	}
	value, err := hujson.Parse(data)
	if err != nil {
		d.notDecoded = true
		d.addSyntaxProblem(err)
		return d
	}
	target := reflect.ValueOf(out).Elem()
	applyDefaults(target)
	d.decodeValue(&value, target, "", "")
	return d
}

func invalidUTF8Offset(data []byte) int {
	for i := 0; i < len(data); {
		r, size := utf8.DecodeRune(data[i:])
		if r == utf8.RuneError && size == 1 {
			return i
		}
		i += size
	}
	return -1
}

// maxNestingDepth limits the depth of nested objects and lists; settings and notes need 6. The parser is recursive: a
// megabyte of opening brackets overflows the stack, which terminates the process.
const maxNestingDepth = 64

// excessNestingOffset returns the offset of the first bracket, outside strings and comments, that exceeds maxNestingDepth,
// or -1 if there is none.
func excessNestingOffset(data []byte) int {
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
				return -1 // the comment extends to the end of the data
			}
			i += end
		case '{', '[':
			if depth++; depth > maxNestingDepth {
				return i
			}
		case '}', ']':
			depth--
		}
	}
	return -1
}

var syntaxErrorPattern = regexp.MustCompile(`line (\d+), column (\d+): (.*)`)

// addSyntaxProblem adds an error of the parser, whose text contains line and column, as a problem.
func (d *document) addSyntaxProblem(err error) {
	const remedy = "correct the JSON syntax here or just before"
	match := syntaxErrorPattern.FindStringSubmatch(err.Error())
	if match == nil {
		d.addWholeFileProblem("syntax error: "+err.Error(), remedy)
		return
	}
	line, _ := strconv.Atoi(match[1])
	column, _ := strconv.Atoi(match[2])
	d.addProblem(Problem{d.name, line, column, "", "syntax error: " + match[3], remedy})
}

func (d *document) addWholeFileProblem(message, remedy string) {
	d.addProblem(Problem{File: d.name, Message: message, Remedy: remedy})
}

// maxProblems limits the reported problems, and so the work, for a file that is not a settings file at all.
const maxProblems = 500

func (d *document) addProblem(p Problem) {
	if len(d.problems) < maxProblems {
		d.problems = append(d.problems, p)
	}
}

func (d *document) addProblemAtOffset(offset int, path, message, remedy string) {
	if len(d.problems) >= maxProblems {
		return
	}
	before := d.data[:min(offset, len(d.data))]
	line := 1 + bytes.Count(before, []byte{'\n'})
	column := 1 + utf8.RuneCount(before[bytes.LastIndexByte(before, '\n')+1:])
	d.addProblem(Problem{d.name, line, column, path, message, remedy})
}

// addProblemAt adds a problem of the field at path. The problem of an absent field gets the position of the innermost
// enclosing value that is present.
func (d *document) addProblemAt(path, message, remedy string) {
	for enclosing := path; ; {
		if offset, ok := d.offsets[enclosing]; ok || enclosing == "" {
			d.addProblemAtOffset(offset, path, message, remedy)
			return
		}
		enclosing = enclosing[:max(strings.LastIndexAny(enclosing, ".["), 0)]
	}
}

func (d *document) isPresent(path string) bool {
	_, ok := d.offsets[path]
	return ok
}

func (d *document) sortedProblems() []Problem {
	slices.SortStableFunc(d.problems, func(a, b Problem) int {
		return cmp.Or(cmp.Compare(a.Line, b.Line), cmp.Compare(a.Column, b.Column), cmp.Compare(a.Path, b.Path))
	})
	return d.problems
}

var (
	durationType = reflect.TypeFor[time.Duration]()
	bytesType    = reflect.TypeFor[Bytes]()
)

func (d *document) decodeValue(v *hujson.Value, target reflect.Value, path string, tag reflect.StructTag) {
	d.offsets[path] = v.StartOffset
	if literal, ok := v.Value.(hujson.Literal); ok && string(literal) == "null" {
		d.addProblemAt(path, "null is not a value", "remove the field to use its default")
		return
	}
	switch target.Kind() {
	case reflect.Struct:
		d.decodeObject(v, target, path)
	case reflect.Pointer:
		target.Set(reflect.New(target.Type().Elem()))
		applyDefaults(target.Elem())
		d.decodeValue(v, target.Elem(), path, tag)
	case reflect.Slice:
		d.decodeList(v, target, path, tag)
	default:
		d.decodeScalar(v, target, path, tag)
	}
}

func (d *document) decodeObject(v *hujson.Value, target reflect.Value, path string) {
	object, ok := v.Value.(*hujson.Object)
	if !ok {
		d.addProblemAt(path, "expected an object, found "+jsonKindName(v), "write it in braces: { ... }")
		return
	}
	fields := fieldIndexByName(target.Type())
	seen := make(map[string]bool)
	for i := range object.Members {
		member := &object.Members[i]
		literal, ok := member.Name.Value.(hujson.Literal)
		if !ok {
			continue
		}
		name := unquote(literal)
		child := joinPath(path, name)
		index, known := fields[name]
		if !known {
			d.addProblemAtOffset(member.Name.StartOffset, child, fmt.Sprintf("unknown key %q", name), suggestion(name, fields))
			continue
		}
		if seen[name] {
			d.addProblemAtOffset(member.Name.StartOffset, child, fmt.Sprintf("key %q appears twice", name), "keep one of them")
			continue
		}
		seen[name] = true
		d.decodeValue(&member.Value, target.Field(index), child, target.Type().Field(index).Tag)
	}
	for i := range target.NumField() {
		field := target.Type().Field(i)
		name := jsonName(field)
		if name == "" || field.Tag.Get("required") != "true" {
			continue
		}
		empty := target.Field(i).IsZero() || (field.Type.Kind() == reflect.Slice && target.Field(i).Len() == 0)
		child := joinPath(path, name)
		if !seen[name] {
			d.addProblemAt(child, fmt.Sprintf("%q is missing", name), "add it")
		} else if empty && !d.hasProblem(child) {
			d.addProblemAt(child, fmt.Sprintf("%q is empty", name), "give it a value")
		}
	}
}

func (d *document) hasProblem(path string) bool {
	return slices.ContainsFunc(d.problems, func(p Problem) bool {
		return p.Path == path || strings.HasPrefix(p.Path, path+".") || strings.HasPrefix(p.Path, path+"[")
	})
}

func (d *document) decodeList(v *hujson.Value, target reflect.Value, path string, tag reflect.StructTag) {
	array, ok := v.Value.(*hujson.Array)
	if !ok {
		d.addProblemAt(path, "expected a list, found "+jsonKindName(v), "write it in brackets: [ ... ]")
		return
	}
	target.Set(reflect.MakeSlice(target.Type(), len(array.Elements), len(array.Elements)))
	for i := range array.Elements {
		element := target.Index(i)
		applyDefaults(element)
		d.decodeValue(&array.Elements[i], element, fmt.Sprintf("%s[%d]", path, i), tag)
	}
}

// applyDefaults sets the fields of a struct, and of structs inside it, to the values of their default tags.
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
			if message := setFromText(value, text); message != "" {
				panic("settings: default of " + field.Name + ": " + message)
			}
		}
	}
}

func fieldIndexByName(t reflect.Type) map[string]int {
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

func joinPath(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}

func unquote(literal hujson.Literal) string {
	var s string
	_ = json.Unmarshal(literal, &s) // cannot fail: the parser has accepted the literal
	return s
}

func jsonKindName(v *hujson.Value) string {
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

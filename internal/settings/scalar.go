package settings

import (
	"fmt"
	"maps"
	"reflect"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/tailscale/hujson"
)

// decodeScalar decodes a string, number, boolean, duration or size and checks it against the tags of the field.
func (d *document) decodeScalar(v *hujson.Value, target reflect.Value, path string, tag reflect.StructTag) {
	literal, ok := v.Value.(hujson.Literal)
	want, remedy := expectedForm(target.Type())
	if !ok {
		d.addProblemAt(path, "expected "+want+", found "+jsonKindName(v), remedy)
		return
	}
	raw, quoted := string(literal), literal.Kind() == '"'
	if quoted {
		raw = unquote(literal)
	}
	wantQuoted := target.Kind() == reflect.String || target.Type() == durationType
	if quoted != wantQuoted && target.Type() != bytesType {
		d.addProblemAt(path, "expected "+want+", found "+jsonKindName(v), remedy)
		return
	}
	if message := setFromText(target, raw); message != "" {
		d.addProblemAt(path, message, remedy)
		return
	}
	if message, remedy := checkTags(target, raw, tag); message != "" {
		d.addProblemAt(path, message, remedy)
	}
}

func expectedForm(t reflect.Type) (want, remedy string) {
	switch {
	case t == durationType:
		return "a duration", `write it as a string with a unit, for example "500ms", "2s" or "10m"`
	case t == bytesType:
		return "a size", `write it as a whole number of bytes or a string such as "512KiB" or "16MiB"`
	}
	switch t.Kind() {
	case reflect.String:
		return "a string", "write it in double quotes"
	case reflect.Bool:
		return "true or false", "write true or false without quotes"
	case reflect.Float64:
		return "a number", "write a number without quotes"
	default:
		return "a whole number", "write a whole number without quotes"
	}
}

// setFromText parses raw into target. It returns an error message, empty on success.
func setFromText(target reflect.Value, raw string) string {
	switch {
	case target.Type() == durationType:
		duration, err := time.ParseDuration(raw)
		if err != nil {
			return fmt.Sprintf("%q is not a duration", raw)
		}
		target.SetInt(int64(duration))
		return ""
	case target.Type() == bytesType:
		size, ok := parseBytes(raw)
		if !ok {
			return fmt.Sprintf("%q is not a size", raw)
		}
		target.SetInt(size)
		return ""
	}
	var err error
	switch target.Kind() {
	case reflect.String:
		target.SetString(raw)
	case reflect.Bool:
		var value bool
		value, err = strconv.ParseBool(raw)
		target.SetBool(value)
	case reflect.Float64:
		var value float64
		value, err = strconv.ParseFloat(raw, 64)
		target.SetFloat(value)
	case reflect.Int, reflect.Int8, reflect.Int16, reflect.Int32, reflect.Int64:
		var value int64
		value, err = strconv.ParseInt(raw, 10, target.Type().Bits())
		target.SetInt(value)
	case reflect.Uint, reflect.Uint8, reflect.Uint16, reflect.Uint32, reflect.Uint64:
		var value uint64
		value, err = strconv.ParseUint(raw, 10, target.Type().Bits())
		target.SetUint(value)
	default:
		panic("settings: unsupported type " + target.Type().String())
	}
	if err != nil {
		want, _ := expectedForm(target.Type())
		return fmt.Sprintf("%s is not %s in the allowed range", raw, want)
	}
	return ""
}

var byteUnits = []struct {
	suffix string
	factor int64
}{{"KiB", 1 << 10}, {"MiB", 1 << 20}, {"GiB", 1 << 30}, {"B", 1}, {"", 1}}

func parseBytes(text string) (int64, bool) {
	for _, unit := range byteUnits {
		digits, ok := strings.CutSuffix(text, unit.suffix)
		if !ok {
			continue
		}
		n, err := strconv.ParseInt(strings.TrimSpace(digits), 10, 64)
		if err != nil || n < 0 || n > (1<<62)/unit.factor {
			return 0, false
		}
		return n * unit.factor, true
	}
	return 0, false
}

// checkTags checks a value against the bounds, choices and format in the tags of its field.
func checkTags(target reflect.Value, raw string, tag reflect.StructTag) (message, remedy string) {
	if choices := tag.Get("oneof"); choices != "" {
		list := strings.Split(choices, "|")
		if !slices.Contains(list, raw) {
			return fmt.Sprintf("%q is not allowed", raw), "use one of " + strings.Join(list, ", ")
		}
	}
	for _, bound := range []string{"min", "max"} {
		limit := tag.Get(bound)
		if limit == "" {
			continue
		}
		limitValue := reflect.New(target.Type()).Elem()
		if problem := setFromText(limitValue, limit); problem != "" {
			panic("settings: bound: " + problem)
		}
		if isMin := bound == "min"; (isMin && less(target, limitValue)) || (!isMin && less(limitValue, target)) {
			word := map[bool]string{true: "below the minimum", false: "above the maximum"}[isMin]
			return fmt.Sprintf("%s is %s of %s", raw, word, limit), "use a value within the bounds"
		}
	}
	if name := tag.Get("check"); name != "" && raw != "" {
		return formatChecks[name](raw)
	}
	return "", ""
}

func less(a, b reflect.Value) bool {
	switch {
	case a.CanInt():
		return a.Int() < b.Int()
	case a.CanUint():
		return a.Uint() < b.Uint()
	default:
		return a.Float() < b.Float()
	}
}

// suggestion returns the remedy for an unknown key: the known key with the smallest edit distance.
func suggestion(name string, fields map[string]int) string {
	knownKeys := slices.Sorted(maps.Keys(fields))
	closest, distance := "", 4 // more than three edits are no misspelling
	for _, candidate := range knownKeys {
		if n := editDistance(strings.ToLower(name), strings.ToLower(candidate)); n < distance {
			closest, distance = candidate, n
		}
	}
	if closest != "" {
		return fmt.Sprintf("did you mean %q?", closest)
	}
	return "remove it; known keys here are " + strings.Join(knownKeys, ", ")
}

func editDistance(a, b string) int {
	if len(a) > 64 || len(b) > 64 { // limits the work for one key of a malicious file
		return 64
	}
	row := make([]int, len(b)+1)
	for j := range row {
		row[j] = j
	}
	for i := range len(a) {
		diagonal := row[0]
		row[0] = i + 1
		for j := range len(b) {
			cost := diagonal
			if a[i] != b[j] {
				cost++
			}
			diagonal = row[j+1]
			row[j+1] = min(cost, row[j]+1, row[j+1]+1)
		}
	}
	return row[len(b)]
}

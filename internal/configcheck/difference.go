package configcheck

import (
	"fmt"
	"maps"
	"reflect"
	"slices"
	"time"

	"github.com/banyanfront/banyanfront/decide/routes"
)

// fastestPause returns the time between two events of a stream that runs alone on an engine.
func fastestPause(e *routes.Engine) time.Duration {
	return time.Duration(e.Stride) * (e.StepTime + e.StepTimePerRequest)
}

// Change is a difference to the version in force.
type Change struct {
	Group   string `json:"group"` // route, service, organisation or limit
	Name    string `json:"name"`
	Kind    string `json:"kind"` // added, removed or changed
	Detail  string `json:"detail,omitempty"`
	CutsOff string `json:"cutsOff,omitempty"` // whose requests are no longer served
}

// Difference returns what a configuration changes compared with the one in force. Keys are never part of it.
func Difference(inForce, next *routes.Configuration) []Change {
	var changes []Change
	changes = append(changes, differences("route", byName(inForce.Routes, func(r *routes.Route) string { return r.Name }),
		byName(next.Routes, func(r *routes.Route) string { return r.Name }), func(r *routes.Route) string {
			return fmt.Sprintf("all requests for %s%s that no other route matches", r.Host, r.PathPrefix)
		})...)
	changes = append(changes, differences("service", byName(inForce.Services, func(s *routes.Service) string { return s.Name }),
		byName(next.Services, func(s *routes.Service) string { return s.Name }), func(*routes.Service) string { return "" })...)
	changes = append(changes, organisations(inForce, next)...)
	before, after := reflect.ValueOf(inForce.Limits), reflect.ValueOf(next.Limits)
	for i := range before.NumField() {
		if before.Field(i).Interface() != after.Field(i).Interface() {
			changes = append(changes, Change{Group: "limit", Name: before.Type().Field(i).Name, Kind: "changed",
				Detail: fmt.Sprintf("%v to %v", before.Field(i).Interface(), after.Field(i).Interface())})
		}
	}
	return changes
}

func byName[T any](list []T, name func(*T) string) map[string]*T {
	entries := make(map[string]*T, len(list))
	for i := range list {
		entries[name(&list[i])] = &list[i]
	}
	return entries
}

// differences compares the entries of two versions by name.
func differences[T any](group string, before, after map[string]*T, cutsOff func(*T) string) (changes []Change) {
	for _, name := range slices.Sorted(maps.Keys(before)) {
		next, kept := after[name]
		if !kept {
			changes = append(changes, Change{Group: group, Name: name, Kind: "removed", CutsOff: cutsOff(before[name])})
			continue
		}
		if detail := changedFields(before[name], next); detail != "" {
			changes = append(changes, Change{Group: group, Name: name, Kind: "changed", Detail: detail})
		}
	}
	for _, name := range slices.Sorted(maps.Keys(after)) {
		if _, known := before[name]; !known {
			changes = append(changes, Change{Group: group, Name: name, Kind: "added"})
		}
	}
	return changes
}

// changedFields lists the fields in which two entries differ.
func changedFields[T any](before, after *T) string {
	text := ""
	x, y := reflect.ValueOf(before).Elem(), reflect.ValueOf(after).Elem()
	for i := range x.NumField() {
		from, to := x.Field(i).Interface(), y.Field(i).Interface()
		if reflect.DeepEqual(from, to) {
			continue
		}
		if text != "" {
			text += ", "
		}
		if x.Field(i).Kind() == reflect.Pointer {
			text += x.Type().Field(i).Name
			continue
		}
		text += fmt.Sprintf("%s %v to %v", x.Type().Field(i).Name, from, to)
	}
	return text
}

// organisations compares organisations without naming a key.
func organisations(inForce, next *routes.Configuration) (changes []Change) {
	name := func(o *routes.Organisation) string { return o.Name }
	before, after := byName(inForce.Organisations, name), byName(next.Organisations, name)
	for _, name := range slices.Sorted(maps.Keys(before)) {
		o, kept := after[name]
		if !kept {
			changes = append(changes, Change{Group: "organisation", Name: name, Kind: "removed", CutsOff: "all of its requests on routes that are not public"})
			continue
		}
		lost, added := missing(before[name].Keys, o.Keys), missing(o.Keys, before[name].Keys)
		samePriority := reflect.DeepEqual(before[name].Priority, o.Priority)
		if lost+added == 0 && samePriority {
			continue
		}
		change := Change{Group: "organisation", Name: name, Kind: "changed", Detail: fmt.Sprintf("%d keys removed, %d added", lost, added)}
		if !samePriority {
			change.Detail += ", another priority"
		}
		if lost > 0 {
			change.CutsOff = fmt.Sprintf("callers with %d of its %d keys", lost, len(before[name].Keys))
		}
		changes = append(changes, change)
	}
	for _, name := range slices.Sorted(maps.Keys(after)) {
		if _, known := before[name]; !known {
			changes = append(changes, Change{Group: "organisation", Name: name, Kind: "added"})
		}
	}
	return changes
}

// missing returns how many of some keys are not among others.
func missing(keys, others []string) (n int) {
	for _, key := range keys {
		if !slices.Contains(others, key) {
			n++
		}
	}
	return n
}

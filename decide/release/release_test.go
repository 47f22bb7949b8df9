package release

import (
	"reflect"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/banyanfront/banyanfront/decide/fleet"
)

func engine(id string, models ...string) Server {
	s := Server{ID: fleet.ServerID(id), DataCentre: "norte", Kind: KindEngine}
	for _, m := range models {
		s.Models = append(s.Models, ExpectedModel{Name: m})
	}
	return s
}

func note(change func(*Note)) *Note {
	n := &Note{Number: 2, Author: "marta"}
	change(n)
	return n
}

func codes(list []Finding) []Code {
	var result []Code
	for _, f := range list {
		result = append(result, f.Code)
	}
	return result
}

// Guards against accepting notes that contradict themselves or exceed a bound.
func TestValidateFindings(t *testing.T) {
	cases := []struct {
		name string
		note *Note
		want []Code
	}{
		{"valid", note(func(n *Note) { n.Servers.Add = []Server{engine("a", "m")} }), nil},
		{"empty", note(func(n *Note) {}), []Code{Empty}},
		{"number", note(func(n *Note) { n.Number = 0; n.Models.Withdraw = []string{"m"} }), []Code{Missing}},
		{"no model", note(func(n *Note) { n.Servers.Add = []Server{engine("a")} }), []Code{Missing}},
		{"kind", note(func(n *Note) { n.Servers.Add = []Server{{ID: "a", DataCentre: "d", Kind: "gpu"}} }), []Code{Invalid}},
		{"service with models", note(func(n *Note) {
			n.Servers.Add = []Server{{ID: "a", DataCentre: "d", Kind: KindService, Service: "s", Models: []ExpectedModel{{Name: "m"}}}}
		}), []Code{Contradiction}},
		{"duplicate", note(func(n *Note) { n.Servers.Withdraw = []fleet.ServerID{"a", "a"} }), []Code{Duplicate}},
		{"add and withdraw", note(func(n *Note) {
			n.Servers.Add, n.Servers.Withdraw = []Server{engine("a", "m")}, []fleet.ServerID{"a"}
		}), []Code{Contradiction}},
		{"method", note(func(n *Note) { n.Calls = []CallRule{{Service: "s", Method: "post", PathPrefix: "/"}} }), []Code{Invalid}},
		{"prefix", note(func(n *Note) { n.Calls = []CallRule{{Service: "s", PathPrefix: "/a/../b"}} }), []Code{Invalid}},
		{"outage kind", note(func(n *Note) {
			n.Models.Withdraw, n.AcceptOutage = []string{"m"}, []Outage{{"engine", "m"}}
		}), []Code{Invalid}},
		{"too many", note(func(n *Note) { n.Models.Withdraw = slices.Repeat([]string{""}, MaxEntries+1) }), nil},
		{"control characters", note(func(n *Note) { n.Models.Withdraw = []string{"m\n"} }), []Code{Invalid}},
	}
	cases[len(cases)-2].want = slices.Concat(slices.Repeat([]Code{Missing}, MaxEntries+1), []Code{TooLong})
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is.New(t).Equal(codes(Validate(c.note)), c.want)
		})
	}
}

// Guards against two different notes with the same digest: the second would be reported as accepted without
// being applied.
func TestDigestCoversEveryField(t *testing.T) {
	seen := map[Digest]string{(&Note{}).Digest(): "empty"}
	var visit func(v reflect.Value, path string, root *Note)
	visit = func(v reflect.Value, path string, root *Note) {
		record := func() {
			if other, ok := seen[root.Digest()]; ok {
				t.Errorf("%s has the digest of %s", path, other)
			}
			seen[root.Digest()] = path
		}
		switch v.Kind() {
		case reflect.Struct:
			for i := range v.NumField() {
				visit(v.Field(i), path+"."+v.Type().Field(i).Name, root)
			}
		case reflect.Slice:
			v.Set(reflect.MakeSlice(v.Type(), 1, 1))
			record()
			visit(v.Index(0), path+"[0]", root)
			v.SetZero()
		case reflect.String:
			v.SetString("x")
			record()
			v.SetString("")
		case reflect.Bool:
			v.SetBool(true)
			record()
			v.SetBool(false)
		default:
			v.SetUint(1)
			record()
			v.SetUint(0)
		}
	}
	root := &Note{}
	visit(reflect.ValueOf(root).Elem(), "note", root)
	if len(seen) < 40 {
		t.Fatalf("only %d fields were visited", len(seen))
	}
}

// Guards against a withdrawal that no note names, a lost withdrawal, and a later note that modifies a list shared with an
// earlier configuration.
func TestConfigWithdrawsByNameOnly(t *testing.T) {
	is := is.New(t)
	empty := &Config{}
	first := empty.Apply(&Note{Number: 1, Servers: ServerChanges{Add: []Server{engine("b", "m"), engine("a", "m")}}})
	second := first.Apply(&Note{Number: 2, Servers: ServerChanges{Withdraw: []fleet.ServerID{"b"}}})
	is.Equal(second.WithdrawnBy("b"), uint64(2))
	is.Equal(second.WithdrawnBy("a"), uint64(0))
	is.Equal(second.WithdrawnBy("unlisted"), uint64(0))
	is.Equal(first.WithdrawnBy("b"), uint64(0))
	is.True(first.ExpectedServer("b") != nil && second.ExpectedServer("b") == nil)
	third := second.Apply(&Note{Number: 3, Servers: ServerChanges{Add: []Server{engine("b", "m")}}})
	is.Equal(third.WithdrawnBy("b"), uint64(0))
	forgotten := second.Apply(&Note{Number: 3, Servers: ServerChanges{Forget: []fleet.ServerID{"b"}}})
	is.Equal(len(forgotten.WithdrawnServers), 0)
	models := second.Apply(&Note{Number: 4, Models: ModelChanges{Withdraw: []string{"m"}}})
	is.True(models.TargetWithdrawn(fleet.Target{Name: "m", Adapter: "x"}))
	is.True(!models.Apply(&Note{Number: 5, Models: ModelChanges{Add: []Model{{Name: "m"}}}}).TargetWithdrawn(fleet.Target{Name: "m"}))
}

// Guards against accepting notes that contradict the current configuration.
func TestCheckAgainstConfig(t *testing.T) {
	base := (&Config{}).Apply(&Note{Number: 1, Servers: ServerChanges{Add: []Server{engine("a", "m"), engine("b", "m")}},
		DataCentres: DataCentreChanges{Add: []DataCentre{{Name: "norte"}}}})
	base = base.Apply(&Note{Number: 2, Servers: ServerChanges{Withdraw: []fleet.ServerID{"b"}}})
	cases := []struct {
		name    string
		note    Note
		want    Code
		refused bool
	}{
		{"added twice", Note{Servers: ServerChanges{Add: []Server{engine("a", "m")}}}, AlreadyListed, true},
		{"withdrawn twice", Note{Servers: ServerChanges{Withdraw: []fleet.ServerID{"b"}}}, AlreadyWithdrawn, true},
		{"changed after withdrawal", Note{Servers: ServerChanges{Change: []Server{engine("b", "m")}}}, AlreadyWithdrawn, true},
		{"unlisted withdrawn", Note{Servers: ServerChanges{Withdraw: []fleet.ServerID{"c"}}}, NotListed, false},
		{"forgotten but not withdrawn", Note{Servers: ServerChanges{Forget: []fleet.ServerID{"a"}}}, NotWithdrawn, true},
		{"data centre in use", Note{DataCentres: DataCentreChanges{Withdraw: []fleet.DataCentre{"norte"}}}, DataCentreInUse, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			found := Check(&c.note, base)
			is.New(t).Equal(codes(found), []Code{c.want})
			is.New(t).Equal(Refused(found), c.refused)
		})
	}
	is.New(t).Equal(Check(&Note{Servers: ServerChanges{Withdraw: []fleet.ServerID{"a"}},
		DataCentres: DataCentreChanges{Withdraw: []fleet.DataCentre{"norte"}}}, base), nil)
}

// Guards against retrying a call that is not idempotent because a rule with a similar path marks other calls as idempotent.
func TestCallIdempotency(t *testing.T) {
	c := (&Config{}).Apply(&Note{Calls: []CallRule{
		{Service: "desk", PathPrefix: "/stock", Idempotent: true},
		{Service: "desk", Method: "POST", PathPrefix: "/stock", Idempotent: false},
		{Service: "desk", PathPrefix: "/stock/search/", Idempotent: true},
	}})
	cases := []struct {
		service, method, path string
		idempotent, ok        bool
	}{
		{"desk", "PUT", "/stock/7", true, true}, {"desk", "POST", "/stock", false, true},
		{"desk", "POST", "/stock/search", true, true}, {"desk", "PUT", "/stockroom", false, false},
		{"desk", "PUT", "/stock/../reserve", false, true}, {"desk", "PUT", "/stock?x=a/../b", true, true},
		{"other", "PUT", "/stock", false, false},
	}
	for _, call := range cases {
		idempotent, ok := c.CallIdempotency(call.service, call.method, call.path)
		if idempotent != call.idempotent || ok != call.ok {
			t.Errorf("%s %s: got %v %v", call.method, call.path, idempotent, ok)
		}
	}
}

// Guards against a withdrawal that cuts off a model or service in use without the operators having accepted the outage.
func TestImpactRefusesOutageOfUsedTarget(t *testing.T) {
	const hour = 3600
	now := time.Unix(100*24*hour, 0)
	announce := func(id, model string) fleet.Announcement {
		return fleet.Announcement{Server: fleet.ServerID(id), DataCentre: "norte", Capacity: 4, Models: []fleet.Model{{Name: model}}}
	}
	use := func(server, centre, organisation, model string, last int64) Use {
		return Use{Server: fleet.ServerID(server), DataCentre: fleet.DataCentre(centre), Organisation: fleet.Organisation(organisation), Name: model, Last: last}
	}
	remote := []fleet.Summary{{DataCentre: "sur", Name: "m", Servers: 1, Free: 3}}
	uses := []Use{use("a", "norte", "windows", "m", 50*hour), use("a", "norte", "facades", "m", 90*hour), use("s", "sur", "windows", "m", hour)}
	withdraw := func(ids ...fleet.ServerID) Note { return Note{Number: 9, Servers: ServerChanges{Withdraw: ids}} }
	accepted := withdraw("a")
	accepted.AcceptOutage = []Outage{{KindModel, "m"}}
	misspelt := withdraw("a")
	misspelt.AcceptOutage = []Outage{{KindModel, "other"}}
	config := (&Config{}).Apply(&Note{Number: 1, Servers: ServerChanges{Add: []Server{engine("a", "m")}}})
	cases := []struct {
		name string
		note Note
		view View
		want []Code
	}{
		{"last server", withdraw("a"), View{Servers: []fleet.Announcement{announce("a", "m")}, Uses: slices.Values(uses[:2])}, []Code{OutageRefused}},
		{"accepted", accepted, View{Servers: []fleet.Announcement{announce("a", "m")}, Uses: slices.Values(uses[:2])}, []Code{OutageAccepted}},
		{"another local server", withdraw("a"), View{Servers: []fleet.Announcement{announce("a", "m"), announce("b", "m")}, Uses: slices.Values(uses)}, nil},
		{"another data centre", withdraw("a"), View{Servers: []fleet.Announcement{announce("a", "m")}, Uses: slices.Values(uses), Remote: remote}, nil},
		{"other data centre is evacuated", withdraw("a"), View{Servers: []fleet.Announcement{announce("a", "m")}, Uses: slices.Values(uses), Remote: remote,
			Evacuated: map[fleet.DataCentre]bool{"sur": true}}, []Code{OutageRefused}},
		{"last servers of both data centres", withdraw("a", "s"), View{Servers: []fleet.Announcement{announce("a", "m")}, Uses: slices.Values(uses), Remote: remote}, []Code{OutageRefused}},
		{"last server is in an evacuated data centre", withdraw("s"), View{Uses: slices.Values(uses[2:]), Evacuated: map[fleet.DataCentre]bool{"sur": true}}, []Code{OutageRefused}},
		{"known from recorded uses only", withdraw("a"), View{Uses: slices.Values(uses[:2])}, []Code{OutageRefused}},
		{"another server observed by the proposing instance", withdraw("a"), View{Uses: slices.Values(uses[:2]), Observed: []ObservedTarget{{Name: "m", Servers: 2}}}, nil},
		{"model", Note{Number: 9, Models: ModelChanges{Withdraw: []string{"m"}}}, View{Uses: slices.Values(uses), Remote: remote}, []Code{OutageRefused}},
		{"server changed to another model", Note{Number: 9, Servers: ServerChanges{Change: []Server{engine("a", "n")}}},
			View{Config: config, Servers: []fleet.Announcement{announce("a", "m")}, Uses: slices.Values(uses[:2])}, []Code{OutageRefused}},
		{"never used", withdraw("a"), View{Servers: []fleet.Announcement{announce("a", "m")}}, []Code{NeverUsed}},
		{"short record", withdraw("a"), View{Servers: []fleet.Announcement{announce("a", "m")}, RecordedSince: now.Add(-time.Hour)},
			[]Code{NeverUsed, ShortRecord}},
		{"misspelt acceptance", misspelt, View{Servers: []fleet.Announcement{announce("a", "m"), announce("b", "m")}, Uses: slices.Values(uses)}, []Code{UnusedAcceptance}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			c.view.Now, c.view.LocalDataCentre = now, "norte"
			if c.view.Config == nil {
				c.view.Config = &Config{}
			}
			if c.view.RecordedSince.IsZero() {
				c.view.RecordedSince = time.Unix(0, 0)
			}
			impact := Impact(&c.note, &c.view)
			is.Equal(codes(impact.Findings), c.want)
			if slices.Contains(c.want, OutageRefused) && c.name == "last server" {
				is.True(strings.Contains(impact.Findings[0].Message, "facades, windows used it, last at 1970-01-04T18:00:00Z"))
				is.Equal(impact.Cuts[0].Uses[0].Organisation, fleet.Organisation("facades"))
				is.Equal(impact.Remaining[0].Before, Capacity{Servers: 1, Slots: 4})
			}
		})
	}
}

package settings

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/banyanfront/banyanfront/decide/fleet"
)

const frontBase = `{
	"instance": "norte-1", // comment
	"dataCentre": "rosario-norte",
	"fleetKey": "0123456789abcdef",
	"voters": [{"instance": "norte-1", "address": "127.0.0.1:7070"}],
	"dataFolder": "/var/lib/banyanfront",
	%s
}`

const agentBase = `{
	"instance": "engine-1",
	"dataCentre": "rosario-norte",
	"fleetKey": "0123456789abcdef",
	"frontAddresses": ["127.0.0.1:7070"],
	"backend": {"url": "http://127.0.0.1:9000", "capacity": 4, %s}
}`

// Guards against defaults that are not applied or differ from their documentation.
func TestDefaultsApply(t *testing.T) {
	is := is.New(t)
	front, problems := ParseFront("f", fmt.Appendf(nil, frontBase, `"organisations": [{"name": "o", "key": "0123456789abcdeX"}]`))
	is.Equal(len(problems), 0)
	is.Equal(front.DefaultDeadline, 30*time.Second)
	is.Equal(front.MaxBodyBytes, Bytes(960<<10))
	is.Equal(front.Organisations[0].Weight, 1.0)
	is.Equal(front.InnerAddress, "127.0.0.1:7070")
	agent, problems := ParseAgent("a", fmt.Appendf(nil, agentBase, `"kind": "engine", "models": [{"name": "m"}], "role": "decode"`))
	is.Equal(len(problems), 0)
	is.Equal(agent.Announcement(7), fleet.Announcement{
		Server: "engine-1", Incarnation: 7, DataCentre: "rosario-norte", Capacity: 4, Role: fleet.RoleDecode,
		Models: []fleet.Model{{Name: "m"}},
	})
}

// Guards against invalid settings that are accepted, or whose problems have a wrong position, no path or no remedy.
func TestProblemsNameLineColumnAndPath(t *testing.T) {
	front := func(extra string) []Problem {
		_, problems := ParseFront("f", fmt.Appendf(nil, frontBase, extra))
		return problems
	}
	agent := func(extra string) []Problem {
		_, problems := ParseAgent("f", fmt.Appendf(nil, agentBase, extra))
		return problems
	}
	cases := []struct {
		name  string
		parse func(string) []Problem
		extra string
		want  string // prefix of the first problem
	}{
		{"unknown key", front, `"drainTimeuot": "1s"`, `f:7:2: drainTimeuot: unknown key "drainTimeuot"; did you mean "drainTimeout"?`},
		{"unit missing", front, `"drainTimeout": 30`, `f:7:18: drainTimeout: expected a duration, found a number; write it as a string`},
		{"unit wrong", front, `"drainTimeout": "30 seconds"`, `f:7:18: drainTimeout: "30 seconds" is not a duration`},
		{"size", front, `"maxBodyBytes": "1 megabyte"`, `f:7:18: maxBodyBytes: "1 megabyte" is not a size`},
		{"above bound", front, `"maxBodyBytes": "1MiB"`, `f:7:18: maxBodyBytes: 1MiB is above the maximum of 1008KiB`},
		{"share", front, `"retryBudget": 1.5`, `f:7:17: retryBudget: 1.5 is above the maximum`},
		{"null", front, `"region": null`, `f:7:12: region: null is not a value`},
		{"twice", front, `"region": "a", "region": "b"`, `f:7:17: region: key "region" appears twice`},
		{"syntax", front, `"region" "a"`, `f:7:11: syntax error:`},
		{"plain listener", front, `"callersListen": "0.0.0.0:8080"`, `f:7:19: callersListen: "0.0.0.0:8080" is not a loopback address and has no TLS`},
		{"unreachable", front, `"innerListen": ":7070", "plaintext": true`, `f:1:1: innerAddress: innerListen ":7070" does not name`},
		{"voter address", front, `"innerAddress": "127.0.0.1:7099"`, `f:5:48: voters[0].address: "127.0.0.1:7070" differs from`},
		{"half a certificate", front, `"tls": {"certFile": "a.pem"}`, `f:7:9: tls: certFile and keyFile must be given together`},
		{"TLS and plaintext", front, `"tls": {"certFile": "a", "keyFile": "b"}, "plaintext": true`, `f:7:57: plaintext: plaintext is true`},
		{"both keys", front, `"fleetKeyFile": "x"`, `f:4:14: fleetKey: fleetKey and fleetKeyFile are both given`},
		{"organisation key missing", front, `"organisations": [{"name": "o"}]`, `f:7:20: organisations[0].key: neither key nor keyFile`},
		{"shared key", front, `"organisations": [{"name": "o", "key": "0123456789abcdef"}, {"name": "p", "key": "0123456789abcdef"}]`,
			`f:7:62: organisations[1]: "p" has the same key as "o"`},
		{"same port", front, `"operatorsListen": "127.0.0.1:8080"`, `f:7:21: operatorsListen: callersListen and operatorsListen share`},
		{"peer by name", front, `"peers": ["host.example:7070"]`, `f:7:12: peers[0]: "host.example:7070" does not name an IP`},
		{"hop twice", front, `"hopCosts": [{"from": "a", "to": "b", "milliseconds": 1}, {"from": "b", "to": "a", "milliseconds": 2}]`,
			`f:7:60: hopCosts[1]: the cost between "b" and "a" is given twice`},
		{"engine without model", agent, `"kind": "engine"`, `f:6:13: backend.models: an engine needs at least one model`},
		{"service with models", agent, `"kind": "service", "service": "s", "models": []`, `f:6:106: backend.models: a service has no models`},
		{"kind", agent, `"kind": "gpu"`, `f:6:69: backend.kind: "gpu" is not allowed; use one of engine, service`},
		{"rank", agent, `"kind": "engine", "models": [{"name": "m"}], "group": "g", "rank": 2, "ranks": 2`, `f:6:128: backend.rank: rank 2 is not below`},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			problems := c.parse(c.extra)
			if len(problems) != 1 || !strings.HasPrefix(problems[0].Error(), c.want) {
				t.Fatalf("got %v, want one problem that starts with %s", problems, c.want)
			}
			if problems[0].Remedy == "" {
				t.Fatal("the problem names no remedy")
			}
		})
	}
}

// Guards against a check that stops at the first problem, so that an operator corrects one problem per attempt.
func TestAllProblemsOfAFileAreReported(t *testing.T) {
	is := is.New(t)
	_, problems := ParseFront("f", []byte(`{"queueMax": 0, "logLevel": "loud", "voters": [{}, {"instance": "-"}]}`))
	paths := make([]string, 0, len(problems))
	for _, p := range problems {
		paths = append(paths, p.Path)
	}
	is.Equal(strings.Join(paths, " "), "dataCentre fleetKey instance queueMax logLevel voters voters[0].address "+
		"voters[0].instance voters[1].address voters[1].instance")
}

// Guards against a file whose nesting overflows the stack of the process, and against counting brackets in strings and
// comments as nesting.
func TestDeepNestingIsRefused(t *testing.T) {
	is := is.New(t)
	_, problems := ParseFront("f", []byte(strings.Repeat("[", maxFileBytes)))
	is.Equal(len(problems), 1)
	is.Equal(problems[0].Column, maxNestingDepth+1)
	is.Equal(excessNestingOffset([]byte(strings.Repeat("/*]]*/[", 1000))), 7*(maxNestingDepth+1)-1)
	is.Equal(excessNestingOffset([]byte(strings.Repeat("/*[[*/", 1000))), -1)
	brackets := strings.Repeat("[", 100)
	text := fmt.Sprintf(frontBase, `"region": "r" /* "`+brackets+` */ // "`+brackets)
	_, problems = ParseFront("f", []byte(text))
	is.Equal(problems, nil)
	_, problems = ParseFront("f", fmt.Appendf(nil, frontBase, `"dataFolder2": "\\\"`+brackets+`"`))
	is.Equal(len(problems), 1) // the unknown key only
}

// Guards against key files that are ignored, whose read errors are not reported, or whose key is quoted in a message.
func TestKeyFiles(t *testing.T) {
	is := is.New(t)
	folder := t.TempDir()
	is.NoErr(os.WriteFile(filepath.Join(folder, "good"), []byte("0123456789abcdeZ\n"), 0o600))
	is.NoErr(os.WriteFile(filepath.Join(folder, "short"), []byte("secret\n"), 0o600))
	path := filepath.Join(folder, "front.json")
	write := func(name string) {
		text := strings.Replace(frontBase, `"fleetKey": "0123456789abcdef"`, `"fleetKeyFile": "`+name+`"`, 1)
		is.NoErr(os.WriteFile(path, fmt.Appendf(nil, text, ""), 0o600))
	}
	write("good")
	front, problems := LoadFront(path)
	is.Equal(len(problems), 0)
	is.Equal(front.FleetKey, "0123456789abcdeZ")
	for _, name := range []string{"short", "absent"} {
		write(name)
		_, problems = LoadFront(path)
		is.Equal(len(problems), 1)
		is.Equal(problems[0].Line, 4)
		is.True(!strings.Contains(problems[0].Error(), "secret"))
	}
	_, problems = LoadFront(filepath.Join(folder, "none.json"))
	is.Equal(len(problems), 1)
}

// Guards against panics, problems with a line beyond the end of the file or without a text, and files that are accepted in
// spite of problems.
func FuzzParse(f *testing.F) {
	f.Add(fmt.Appendf(nil, frontBase, ""))
	f.Add(fmt.Appendf(nil, agentBase, `"kind": "engine", "models": [{"name": "m"}]`))
	f.Add([]byte(`{"voters": [{"address": "[::1]:1"}, 3, null], "tls": [], "": 1, "a.b[0": {}}`))
	f.Add([]byte("{\n// \xff\n}"))
	f.Add([]byte(`{"maxBodyBytes": 9223372036854775807, "queueMax": 1e99, "retryBudget": 1e999, "drainTimeout": "9999999h"}`))
	f.Add([]byte(strings.Repeat("[", 2000)))
	f.Fuzz(func(t *testing.T, data []byte) {
		lines := 1 + strings.Count(string(data), "\n")
		check := func(accepted bool, problems []Problem) {
			if accepted != (len(problems) == 0) {
				t.Fatalf("accepted %v with problems %v", accepted, problems)
			}
			for _, p := range problems {
				if p.Line > lines || p.Message == "" || p.Remedy == "" {
					t.Fatalf("bad problem %+v in %d lines", p, lines)
				}
			}
		}
		front, problems := ParseFront("f", data)
		check(front != nil, problems)
		agent, problems := ParseAgent("a", data)
		check(agent != nil, problems)
	})
}

package command

import (
	"bytes"
	"context"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/banyanfront/banyanfront/internal/configcheck"
	"github.com/banyanfront/banyanfront/internal/directory"
	"github.com/banyanfront/banyanfront/platform"
)

const configurationPage = "../../docs/operators/configuration.md"

// blocks returns the fenced blocks of a page.
func blocks(t *testing.T, page string) []string {
	t.Helper()
	text, err := os.ReadFile(page)
	if err != nil {
		t.Fatal(err)
	}
	var found []string
	for _, m := range regexp.MustCompile("(?s)```[a-z]+\n(.*?)```").FindAllStringSubmatch(string(text), -1) {
		found = append(found, m[1])
	}
	return found
}

// Guards against a page for operators whose example does not do what it says.
func TestConfigurationPage(t *testing.T) {
	is := is.New(t)
	parts := blocks(t, configurationPage)
	is.Equal(len(parts), 3)
	inForce, err := directory.ReadConfiguration([]byte(parts[1]))
	is.NoErr(err)
	var text bytes.Buffer
	is.NoErr(checkConfiguration("next.json", []byte(parts[0]), inForce, configcheck.Facts{}).write(&text, false))
	if text.String() != parts[2] {
		t.Errorf("the page shows\n%s\nbut the command writes\n%s", parts[2], text.String())
	}
	text.Reset()
	is.NoErr(checkConfiguration("next.json", []byte(parts[0]), inForce, configcheck.Facts{}).write(&text, true))
	is.True(!strings.Contains(text.String(), "n2ctnfzs989anu6wsjnb") && !strings.Contains(text.String(), "anfqasnmgkcuyj8pjbvk"))
}

// Guards against errors without a line, and against exit statuses that differ from the page.
func TestConfigurationErrors(t *testing.T) {
	is := is.New(t)
	folder := t.TempDir()
	write := func(name, text string) string {
		file := filepath.Join(folder, name)
		is.NoErr(os.WriteFile(file, []byte(text), 0o600))
		return file
	}
	sound := blocks(t, configurationPage)[1]
	status := func(args ...string) int {
		return Main(Front(), append([]string{"configuration", "check"}, args...))
	}
	is.Equal(status(write("sound.json", sound)), 0)
	is.Equal(status(write("cut.json", sound[:200])), 1)
	is.Equal(status(filepath.Join(folder, "absent.json")), 2)
	is.Equal(status("--against", "127.0.0.1:1", write("sound.json", sound)), 2)
	unknown := strings.Replace(sound, `"service": "desk", "max`, `"service": "none", "max`, 1)
	report := checkConfiguration("f", []byte(unknown), nil, configcheck.Facts{})
	is.Equal(len(report.Errors), 1)
	is.Equal(report.Errors[0].Subject, `route "prices"`)
	is.Equal(report.Errors[0].Line, 5)
	broken := checkConfiguration("f", []byte(strings.Replace(sound, `"version": 7`, `"version": seven`, 1)), nil, configcheck.Facts{})
	is.Equal(broken.Errors[0].Line, 1)
}

// Guards against a comparison with another version than the one that a control instance returns.
func TestConfigurationAgainstAControlInstance(t *testing.T) {
	is := is.New(t)
	parts := blocks(t, configurationPage)
	control := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		is.Equal(r.URL.Path, platform.ReadConfigurationPath)
		_, _ = w.Write([]byte(parts[1]))
	}))
	defer control.Close()
	inForce, err := readInForce(context.Background(), strings.TrimPrefix(control.URL, "http://"))
	is.NoErr(err)
	report := checkConfiguration("f", []byte(parts[1]), inForce, configcheck.Facts{})
	is.Equal(len(report.Changes), 0)
	is.Equal(len(report.Findings), 1) // the version is not higher
	is.Equal(report.Findings[0].Subject, "version")
}

package command

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"time"

	"github.com/peterbourgon/ff/v4"

	"github.com/banyanfront/banyanfront/decide/routes"
	"github.com/banyanfront/banyanfront/internal/configcheck"
	"github.com/banyanfront/banyanfront/internal/directory"
	"github.com/banyanfront/banyanfront/platform"
)

// errFindings ends the command with status 1 after the findings have been written.
var errFindings = errors.New("the configuration has findings")

// checkTimeout limits the call for the version in force.
const checkTimeout = 10 * time.Second

// configurationReport is what the check of a configuration has found. Secrets are never part of it.
type configurationReport struct {
	File     string                `json:"file"`
	Version  uint64                `json:"version,omitempty"`
	Errors   []configurationError  `json:"errors,omitempty"`
	Findings []configcheck.Finding `json:"findings,omitempty"`
	InForce  uint64                `json:"inForce,omitempty"` // version compared with
	Changes  []configcheck.Change  `json:"changes,omitempty"`
}

// configurationError is an error for which the control instances would refuse the configuration.
type configurationError struct {
	Line    int    `json:"line,omitempty"`
	Subject string `json:"subject"`
	Remedy  string `json:"remedy"`
}

func configurationCommand() *ff.Command {
	flags := ff.NewFlagSet("check")
	against := flags.StringLong("against", "", "compare with the version in force: a `FILE`, or the ADDRESS (IP:PORT) of a control instance")
	memory := flags.IntLong("memory-mb", 0, "`MEMORY` of the smallest entry instance, in MB; 0 if unknown")
	ratio := flags.Float64Long("retry-ratio", 0, "`RATIO` of the retry budget; 0 if unknown")
	asJSON := flags.BoolLong("json", "write the report as JSON")
	check := &ff.Command{
		Name:      "check",
		Usage:     "banyanfront configuration check [--against FILE|ADDRESS] [--memory-mb MEMORY] [--retry-ratio RATIO] [--json] FILE",
		ShortHelp: "check a configuration before it is sent",
		LongHelp: "Exit status 0: nothing was found; 1: errors for which the control instances would refuse it, or findings; 2: a file or the version in\n" +
			"force cannot be read. Changes to the version in force are no findings, unless its version is not higher. Keys are never written.",
		Flags: flags,
		Exec: func(ctx context.Context, args []string) error {
			if len(args) != 1 {
				return usageErrorf("name one configuration file")
			}
			body, err := os.ReadFile(args[0])
			if err != nil {
				return usageErrorf("%v", err)
			}
			var inForce *routes.Configuration
			if *against != "" {
				if inForce, err = readInForce(ctx, *against); err != nil {
					return usageErrorf("--against %s: %v", *against, err)
				}
			}
			report := checkConfiguration(args[0], body, inForce, configcheck.Facts{EntryMemoryBytes: int64(*memory) << 20, RetryRatio: *ratio})
			if err := report.write(os.Stdout, *asJSON); err != nil {
				return err
			}
			if len(report.Errors)+len(report.Findings) > 0 {
				return errFindings
			}
			return nil
		},
	}
	return &ff.Command{Name: "configuration", Usage: "banyanfront configuration COMMAND", ShortHelp: "routing configurations of the users' platform",
		Subcommands: []*ff.Command{check}}
}

// readInForce returns the version in force from a file, or from a control instance.
func readInForce(ctx context.Context, source string) (*routes.Configuration, error) {
	body, err := os.ReadFile(source)
	if errors.Is(err, os.ErrNotExist) {
		body, err = fetchInForce(ctx, source)
	}
	if err != nil {
		return nil, err
	}
	return directory.ReadConfiguration(body)
}

func fetchInForce(ctx context.Context, address string) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, checkTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+platform.ReadConfigurationPath, nil)
	if err != nil {
		return nil, err
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return nil, fmt.Errorf("neither a file nor a control instance that answers: %w", err)
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("the control instance answers %s; ask another one", response.Status)
	}
	return io.ReadAll(io.LimitReader(response.Body, directory.MaxConfigurationBytes))
}

// checkConfiguration returns the report of a configuration. inForce is nil if it is not compared.
func checkConfiguration(file string, body []byte, inForce *routes.Configuration, facts configcheck.Facts) *configurationReport {
	report := &configurationReport{File: file}
	configuration, err := directory.CheckConfiguration(body)
	if err != nil {
		report.Errors = append(report.Errors, explainConfigurationError(body, err))
		return report
	}
	report.Version = configuration.Version
	report.Findings = configcheck.Check(configuration, facts)
	if inForce == nil {
		return report
	}
	report.InForce, report.Changes = inForce.Version, configcheck.Difference(inForce, configuration)
	if configuration.Version <= inForce.Version {
		report.Findings = append(report.Findings, configcheck.Finding{Subject: "version",
			Problem: fmt.Sprintf("%d is not higher than %d, which is in force: it would be acknowledged and change nothing", configuration.Version, inForce.Version),
			Remedy:  "raise the version"})
	}
	return report
}

// explainConfigurationError returns an error with its line: that of the position in the text, or else of the name of its subject.
func explainConfigurationError(body []byte, err error) configurationError {
	var invalid *routes.ConfigurationError
	if !errors.As(err, &invalid) {
		return configurationError{Subject: "configuration", Remedy: err.Error()}
	}
	offset := invalid.Offset
	if _, name, named := bytes.Cut([]byte(invalid.Subject), []byte(" ")); offset == 0 && named {
		for _, separator := range []string{":", ": "} {
			if at := bytes.Index(body, append([]byte(`"name"`+separator), name...)); at >= 0 {
				offset = int64(at) + 1
				break
			}
		}
	}
	e := configurationError{Subject: invalid.Subject, Remedy: invalid.Remedy}
	if offset > 0 {
		e.Line = 1 + bytes.Count(body[:min(int(offset), len(body))], []byte("\n"))
	}
	return e
}

// write writes the report, as JSON or as text.
func (r *configurationReport) write(w io.Writer, asJSON bool) error {
	if asJSON {
		encoder := json.NewEncoder(w)
		encoder.SetIndent("", "  ")
		return encoder.Encode(r)
	}
	var text bytes.Buffer
	for _, e := range r.Errors {
		position := r.File
		if e.Line > 0 {
			position = fmt.Sprintf("%s:%d", r.File, e.Line)
		}
		fmt.Fprintf(&text, "%s: error: %s: %s\n", position, e.Subject, e.Remedy)
	}
	for _, f := range r.Findings {
		fmt.Fprintf(&text, "%s: %s: %s; %s\n", r.File, f.Subject, f.Problem, f.Remedy)
	}
	if len(r.Errors)+len(r.Findings) == 0 {
		fmt.Fprintf(&text, "%s: version %d: ok\n", r.File, r.Version)
	}
	if r.InForce > 0 {
		fmt.Fprintf(&text, "compared with version %d, which is in force:\n", r.InForce)
	}
	for _, c := range r.Changes {
		fmt.Fprintf(&text, "  %s %q %s", c.Group, c.Name, c.Kind)
		if c.Detail != "" {
			fmt.Fprintf(&text, ": %s", c.Detail)
		}
		if c.CutsOff != "" {
			fmt.Fprintf(&text, "; cuts off %s", c.CutsOff)
		}
		fmt.Fprintln(&text)
	}
	_, err := w.Write(text.Bytes())
	return err
}

package command

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"os"
	"os/user"
	"time"

	"github.com/peterbourgon/ff/v4"

	"github.com/banyanfront/banyanfront/internal/entry"
	"github.com/banyanfront/banyanfront/internal/settings"
)

const (
	defaultOperatorsURL = "http://127.0.0.1:7071"
	operatorsTimeout    = 15 * time.Second
)

// operatorsClient calls the operators' listener of an entry instance.
type operatorsClient struct{ baseURL *string }

func operatorsFlag(flags *ff.FlagSet) operatorsClient {
	return operatorsClient{flags.String('o', "operators", defaultOperatorsURL, "`URL` of an entry instance's operators listener")}
}

// call sends a request and decodes the answer. A refusal is returned as an error with the kind and detail of the answer.
func (c operatorsClient) call(ctx context.Context, method, path string, body []byte, answer any) error {
	ctx, cancel := context.WithTimeout(ctx, operatorsTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, *c.baseURL+path, bytes.NewReader(body))
	if err != nil {
		return usageErrorf("operators URL %q: %v", *c.baseURL, err)
	}
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return fmt.Errorf("the entry instance at %s does not answer: check that it runs and --operators names it: %w", *c.baseURL, err)
	}
	defer res.Body.Close()
	data, err := io.ReadAll(res.Body)
	if err != nil {
		return err
	}
	if res.StatusCode != http.StatusOK {
		var refusal struct {
			Kind   string `json:"kind"`
			Detail string `json:"detail"`
		}
		if json.Unmarshal(data, &refusal) == nil && refusal.Detail != "" {
			return fmt.Errorf("%s: %s", refusal.Kind, refusal.Detail)
		}
		return fmt.Errorf("the entry instance answered %s", res.Status)
	}
	return json.Unmarshal(data, answer)
}

func noteCommand() *ff.Command {
	readNoteFile := func(args []string) ([]byte, error) {
		if len(args) != 1 {
			return nil, usageErrorf("name one release note file")
		}
		data, err := os.ReadFile(args[0])
		if err != nil {
			return nil, usageErrorf("%v", err)
		}
		_, problems := settings.ParseNote(args[0], data)
		return data, invalidInputError(problems)
	}
	requestCommand := func(name, path, help string) *ff.Command {
		flags := ff.NewFlagSet(name)
		client := operatorsFlag(flags)
		return &ff.Command{
			Name: name, Usage: "banyanfront note " + name + " [--operators URL] FILE", ShortHelp: help, Flags: flags,
			Exec: func(ctx context.Context, args []string) error {
				data, err := readNoteFile(args)
				if err != nil {
					return err
				}
				var answer entry.NoteAnswer
				if err := client.call(ctx, http.MethodPost, path, data, &answer); err != nil {
					return err
				}
				return printNoteAnswer(os.Stdout, &answer)
			},
		}
	}
	return &ff.Command{
		Name: "note", Usage: "banyanfront note COMMAND", ShortHelp: "check, publish and follow release notes",
		Subcommands: []*ff.Command{
			requestCommand("check", "/v1/notes/check", "show what a note would cut off, without publishing it"),
			requestCommand("publish", "/v1/notes", "publish a note; the same note may be sent again after a lost answer"),
			noteStatusCommand(),
			noteHistoryCommand(),
		},
	}
}

// maxShownUses bounds the uses printed for each server; 'banyanfront dependents' lists all.
const maxShownUses = 10

func printNoteAnswer(w io.Writer, answer *entry.NoteAnswer) error {
	for _, finding := range answer.Findings {
		fmt.Fprintln(w, finding.String())
	}
	if answer.Impact != nil {
		for _, cut := range answer.Impact.Cuts {
			fmt.Fprintf(w, "cuts server %s, with %d recorded uses\n", cut.Server, len(cut.Uses))
			for _, use := range cut.Uses[:min(len(cut.Uses), maxShownUses)] {
				fmt.Fprintf(w, "  %s used %s, last at %s\n", use.Organisation, use.Name, timestamp(time.Unix(use.Last, 0)))
			}
		}
		for _, remaining := range answer.Impact.Remaining {
			fmt.Fprintf(w, "leaves %s with %d of %d servers\n", remaining.Target.Name, remaining.After.Servers, remaining.Before.Servers)
		}
	}
	if !answer.Accepted {
		return fmt.Errorf("not accepted: %s", answer.Detail)
	}
	if answer.Detail != "" {
		fmt.Fprintln(w, answer.Detail)
	}
	if answer.Note != nil {
		fmt.Fprintf(w, "note %d by %s accepted with digest %s\n", answer.Note.Number, answer.Note.Author, answer.Note.Digest)
	}
	return nil
}

func dataCentreCommand() *ff.Command {
	changeCommand := func(name, help string) *ff.Command {
		flags := ff.NewFlagSet(name)
		client := operatorsFlag(flags)
		author := flags.StringLong("author", currentUser(), "`NAME` of the operator")
		reason := flags.StringLong("reason", "", "`TEXT` for the account")
		return &ff.Command{
			Name: name, Usage: "banyanfront datacentre " + name + " [FLAGS] NAME", ShortHelp: help, Flags: flags,
			Exec: func(ctx context.Context, args []string) error {
				if len(args) != 1 {
					return usageErrorf("name one data centre")
				}
				body, err := json.Marshal(entry.DataCentreRequest{Author: *author, Reason: *reason})
				if err != nil {
					return err
				}
				var answer entry.DataCentreAnswer
				path := "/v1/datacentres/" + url.PathEscape(args[0]) + "/" + name
				if err := client.call(ctx, http.MethodPost, path, body, &answer); err != nil {
					return err
				}
				if !answer.Accepted {
					return fmt.Errorf("not accepted: %s", answer.Detail)
				}
				fmt.Printf("%s: %s, term %d\n", args[0], name, answer.Record.Term)
				if answer.Detail != "" {
					fmt.Println(answer.Detail)
				}
				return nil
			},
		}
	}
	return &ff.Command{
		Name: "datacentre", Usage: "banyanfront datacentre COMMAND", ShortHelp: "take data centres out and bring them back",
		Subcommands: []*ff.Command{
			changeCommand("out", "take a data centre out: it receives no new work within 3 s; running requests finish"),
			changeCommand("in", "bring a data centre back; its servers start slowly"),
		},
	}
}

func currentUser() string {
	if u, err := user.Current(); err == nil {
		return u.Username
	}
	return "operator"
}

func statusCommand() *ff.Command {
	flags := ff.NewFlagSet("status")
	client := operatorsFlag(flags)
	return &ff.Command{
		Name: "status", Usage: "banyanfront status [--operators URL]",
		ShortHelp: "show an entry instance's view of the fleet, as JSON", Flags: flags,
		Exec: func(ctx context.Context, _ []string) error {
			var answer json.RawMessage
			if err := client.call(ctx, http.MethodGet, "/v1/status", nil, &answer); err != nil {
				return err
			}
			_, err := fmt.Println(string(answer))
			return err
		},
	}
}

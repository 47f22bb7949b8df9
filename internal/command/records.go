package command

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"os"
	"text/tabwriter"
	"time"

	"github.com/peterbourgon/ff/v4"

	"github.com/banyanfront/banyanfront/decide/release"
	"github.com/banyanfront/banyanfront/internal/entry"
)

func dependentsCommand() *ff.Command {
	flags := ff.NewFlagSet("dependents")
	client := operatorsFlag(flags)
	return &ff.Command{
		Name: "dependents", Usage: "banyanfront dependents [--operators URL] SERVER",
		ShortHelp: "show which organisations used a server, and when last; ask an instance that is a voter", Flags: flags,
		Exec: func(ctx context.Context, args []string) error {
			if len(args) != 1 {
				return usageErrorf("name one server")
			}
			var answer entry.Dependents
			if err := client.call(ctx, http.MethodGet, "/v1/dependents/"+url.PathEscape(args[0]), nil, &answer); err != nil {
				return err
			}
			return printDependents(os.Stdout, &answer, time.Now())
		},
	}
}

func printDependents(w io.Writer, answer *entry.Dependents, now time.Time) error {
	if len(answer.Uses) > 0 {
		table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
		fmt.Fprintln(table, "organisation\tuses\tdata centre\tlast use\t")
		for _, use := range answer.Uses {
			target := use.Kind + " " + use.Name
			if use.Adapter != "" {
				target += ":" + use.Adapter
			}
			fmt.Fprintf(table, "%s\t%s\t%s\t%s\t\n", use.Organisation, target, use.DataCentre, timestamp(use.Last))
		}
		if err := table.Flush(); err != nil {
			return err
		}
	} else {
		fmt.Fprintf(w, "no use of %s is recorded\n", answer.Server)
	}
	switch {
	case answer.RecordedSince.IsZero():
		fmt.Fprintln(w, "no uses have been recorded yet: an absent use means nothing")
	case now.Sub(answer.RecordedSince) < release.MinRecordingTime:
		fmt.Fprintf(w, "uses have been recorded only since %s: a rare use may not have been seen yet\n", timestamp(answer.RecordedSince))
	}
	return nil
}

func timestamp(t time.Time) string { return t.UTC().Format("2006-01-02 15:04") + " UTC" }

func noteHistoryCommand() *ff.Command {
	flags := ff.NewFlagSet("history")
	client := operatorsFlag(flags)
	return &ff.Command{
		Name: "history", Usage: "banyanfront note history [--operators URL]",
		ShortHelp: "list the accepted notes; ask an instance that is a voter", Flags: flags,
		Exec: func(ctx context.Context, _ []string) error {
			var lines []entry.NoteLine
			if err := client.call(ctx, http.MethodGet, "/v1/notes/history", nil, &lines); err != nil {
				return err
			}
			table := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
			fmt.Fprintln(table, "number\tauthor\tdigest\taccepted\t")
			for _, line := range lines {
				fmt.Fprintf(table, "%d\t%s\t%s\t%s\t\n", line.Number, line.Author, line.Digest, timestamp(line.At))
			}
			return table.Flush()
		},
	}
}

func noteStatusCommand() *ff.Command {
	flags := ff.NewFlagSet("status")
	client := operatorsFlag(flags)
	return &ff.Command{
		Name: "status", Usage: "banyanfront note status [--operators URL]",
		ShortHelp: "show which note is in force and which instances have the newest revision; ask a voter for all", Flags: flags,
		Exec: func(ctx context.Context, _ []string) error {
			var answer entry.Status
			if err := client.call(ctx, http.MethodGet, "/v1/status", nil, &answer); err != nil {
				return err
			}
			return printRevisions(os.Stdout, &answer)
		},
	}
}

func printRevisions(w io.Writer, status *entry.Status) error {
	fmt.Fprintf(w, "note %d in force at %s (revision %d)\n", status.Note, status.Instance, status.Revision)
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "instance\tdata centre\trevision\tnewest\theard\t")
	isVoter := false
	for _, id := range status.Voters {
		isVoter = isVoter || id == status.Instance
	}
	for _, r := range status.Instances {
		newest := "yes"
		if !r.Newest {
			newest = "not yet"
		}
		fmt.Fprintf(table, "%s\t%s\t%d\t%s\t%d s ago\t\n", r.Instance, r.DataCentre, r.Revision, newest, r.LastReportAgeSeconds)
	}
	if err := table.Flush(); err != nil {
		return err
	}
	if !isVoter {
		fmt.Fprintf(w, "%s is not a voter and shows only its own revision: ask one of %v with --operators\n", status.Instance, status.Voters)
	}
	return nil
}

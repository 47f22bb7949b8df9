package command

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
	"os"
	"time"

	"github.com/peterbourgon/ff/v4"

	"github.com/banyanfront/banyanfront/internal/entry"
)

func accountCommand() *ff.Command {
	flags := ff.NewFlagSet("account")
	client := operatorsFlag(flags)
	since := flags.DurationLong("since", 12*time.Hour, "`SPAN` of time that the account covers")
	asJSON := flags.BoolLong("json", "print the entries as JSON instead of the page")
	return &ff.Command{
		Name: "account", Usage: "banyanfront account [--since SPAN] [--json] [--operators URL]",
		ShortHelp: "show what happened, what the system did and what is still not right", Flags: flags,
		Exec: func(ctx context.Context, _ []string) error {
			var answer entry.AccountAnswer
			path := "/v1/account?since=" + url.QueryEscape(since.String())
			if err := client.call(ctx, http.MethodGet, path, nil, &answer); err != nil {
				return err
			}
			if *asJSON {
				encoder := json.NewEncoder(os.Stdout)
				encoder.SetIndent("", "  ")
				return encoder.Encode(answer.Entries)
			}
			_, err := fmt.Print(answer.Page)
			return err
		},
	}
}

package entry

import (
	"context"
	"errors"
	"net/http"
	"strings"
	"time"

	"github.com/apex/log"

	"github.com/banyanfront/banyanfront/decide/fleet"
	"github.com/banyanfront/banyanfront/internal/account"
	"github.com/banyanfront/banyanfront/internal/gateway"
	"github.com/banyanfront/banyanfront/internal/problem"
)

const (
	// readinessInterval is the interval of the readiness checks for the account.
	readinessInterval = time.Second
	// defaultReportSpan is the span of a report if the request gives none. It covers a night.
	defaultReportSpan = 12 * time.Hour
	maxReportSpan     = 365 * 24 * time.Hour
)

// newAccount opens the account in the data folder, or in memory if there is none.
func newAccount(id identity, environment Environment) (*account.Queue, error) {
	if environment.Account == nil {
		return account.NewQueue(account.New(string(id.instance), 0)), nil
	}
	journal, skipped, err := account.Open(string(id.instance), 0, environment.Account, 0)
	if err != nil {
		return nil, err
	}
	if skipped > 0 {
		log.WithField("lines", skipped).Warn("unreadable lines of the account were skipped; a crash may have truncated them")
	}
	return account.NewQueue(journal), nil
}

// observer records in the account how calls end, and in the use tracker which servers they used.
type observer struct {
	account *account.Queue
	uses    *useTracker
}

var _ gateway.Observer = (*observer)(nil)

func newObserver(journal *account.Queue, uses *useTracker) *observer {
	return &observer{account: journal, uses: uses}
}

// ServerUsed implements gateway.Observer.
func (o *observer) ServerUsed(organisation fleet.Organisation, target fleet.Target, server fleet.ServerID) {
	o.uses.record(time.Now(), useKey{server, organisation, target.Kind, target.Name, target.Adapter})
}

// CallEnded implements gateway.Observer.
func (o *observer) CallEnded(organisation fleet.Organisation, err error) {
	if kind := refusalKind(err); kind != "" {
		o.account.Count(time.Now(), kind, string(organisation), refusalReason(err))
	}
}

// refusalKind returns the kind of entry for the outcome of a call, empty for outcomes that are not recorded: answers, and
// errors in the request itself.
func refusalKind(err error) account.Kind {
	var p *problem.Error
	if !errors.As(err, &p) {
		return ""
	}
	switch p.Kind {
	case problem.NotRun, problem.OverShare:
		return account.RequestsRefused
	case problem.OutcomeUnknown:
		return account.RequestsUnknown
	case problem.DeadlineExceeded:
		if p.Ran != nil && !*p.Ran {
			return account.RequestsRefused
		}
		if p.Ran == nil {
			return account.RequestsUnknown
		}
	}
	return ""
}

// refusalReason returns a reason that is equal for all requests with the same cause: the detail of the problem without its
// remedy and without the text in brackets, which may differ between requests.
func refusalReason(err error) string {
	var p *problem.Error
	if !errors.As(err, &p) {
		return ""
	}
	if p.Kind == problem.DeadlineExceeded {
		return "the deadline passed"
	}
	reason, _, _ := strings.Cut(p.Detail, ": ")
	reason, _, _ = strings.Cut(reason, " (")
	return reason
}

// watchReadiness records in the account when the instance becomes not ready and when it is ready again.
func (c *Core) watchReadiness(ctx context.Context) {
	tick := time.NewTicker(readinessInterval)
	defer tick.Stop()
	subject := string(c.identity.instance)
	ready, notReadyRecorded := false, c.account.WasOpen(account.NotReady, subject)
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-tick.C:
			reason := c.NotReady()
			switch {
			case !c.Gateway.Ready():
				return // a drain has its own entries
			case reason == "" && !ready:
				if notReadyRecorded {
					c.account.Record(account.Entry{Time: now, Kind: account.Ready, Subject: subject})
				}
				notReadyRecorded = false
			case reason != "" && ready:
				c.account.Record(account.Entry{Time: now, Kind: account.NotReady, Subject: subject, Reason: reason})
				notReadyRecorded = true
			}
			ready = reason == ""
		}
	}
}

// AccountAnswer is the account of one instance, as text and as entries.
type AccountAnswer struct {
	Page    string          `json:"page"`
	Entries []account.Entry `json:"entries"`
}

// account answers GET /v1/account?since=12h.
func (o *operators) account(w http.ResponseWriter, r *http.Request) {
	span := defaultReportSpan
	if value := r.URL.Query().Get("since"); value != "" {
		var err error
		if span, err = time.ParseDuration(value); err != nil || span <= 0 || span > maxReportSpan {
			problem.Write(w, problem.New(problem.BadRequest, "since is %q: use a time span from 1s to %v, such as 12h", value, maxReportSpan))
			return
		}
	}
	now := time.Now()
	since := now.Add(-span)
	writeJSON(w, AccountAnswer{Page: o.core.account.Report(since, now), Entries: o.core.account.Entries(since, now)})
}

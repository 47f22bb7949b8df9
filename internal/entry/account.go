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
	// readinessInterval is how often the account looks whether the instance takes calls.
	readinessInterval = time.Second
	// defaultSince is the time that the account covers if none is asked for: a night.
	defaultSince = 12 * time.Hour
	maxSince     = 365 * 24 * time.Hour
)

// newAccount opens the account in the data folder, or in memory where there is none.
func newAccount(id identity, surroundings Surroundings) (*account.Queue, error) {
	if surroundings.Account == nil {
		return account.NewQueue(account.New(string(id.instance), 0)), nil
	}
	journal, skipped, err := account.Open(string(id.instance), 0, surroundings.Account, 0)
	if err != nil {
		return nil, err
	}
	if skipped > 0 {
		log.WithField("lines", skipped).Warn("lines of the account could not be read; a crash may have cut them off")
	}
	return account.NewQueue(journal), nil
}

// observer tells the account how calls end, and the use book which servers they used.
type observer struct {
	account *account.Queue
	uses    *useBook
}

var _ gateway.Observer = (*observer)(nil)

func newObserver(journal *account.Queue, uses *useBook) *observer {
	return &observer{account: journal, uses: uses}
}

// ServerUsed implements gateway.Observer.
func (o *observer) ServerUsed(organisation fleet.Organisation, target fleet.Target, server fleet.ServerID) {
	o.uses.used(time.Now(), useKey{server, organisation, target.Kind, target.Name, target.Adapter})
}

// CallEnded implements gateway.Observer.
func (o *observer) CallEnded(organisation fleet.Organisation, err error) {
	if kind := refusalKind(err); kind != "" {
		o.account.Count(time.Now(), kind, string(organisation), refusalReason(err))
	}
}

// refusalKind returns the kind of entry for the end of a call, empty for ends that the account leaves out: answers, and
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

// refusalReason returns what happened in words that are the same for all requests of the kind: the detail without its
// remedy and without what stands in brackets, which may be different for each request.
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

// watchReadiness writes to the account when the instance stops taking calls and when it takes them again.
func (c *Core) watchReadiness(ctx context.Context) {
	tick := time.NewTicker(readinessInterval)
	defer tick.Stop()
	subject := string(c.identity.instance)
	ready, lost := false, c.account.WasOpen(account.NotReady, subject)
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-tick.C:
			reason := c.NotReady()
			switch {
			case !c.Gateway.Ready():
				return // a planned stop has entries of its own
			case reason == "" && !ready:
				if lost {
					c.account.Record(account.Entry{Time: now, Kind: account.Ready, Subject: subject})
				}
				lost = false
			case reason != "" && ready:
				c.account.Record(account.Entry{Time: now, Kind: account.NotReady, Subject: subject, Reason: reason})
				lost = true
			}
			ready = reason == ""
		}
	}
}

// AccountAnswer is the account of one instance.
type AccountAnswer struct {
	Page    string          `json:"page"`
	Entries []account.Entry `json:"entries"`
}

// account answers GET /v1/account?since=12h.
func (o *operators) account(w http.ResponseWriter, r *http.Request) {
	span := defaultSince
	if asked := r.URL.Query().Get("since"); asked != "" {
		var err error
		if span, err = time.ParseDuration(asked); err != nil || span <= 0 || span > maxSince {
			problem.Write(w, problem.New(problem.BadRequest, "since is %q: use a time span from 1s to %v, such as 12h", asked, maxSince))
			return
		}
	}
	now := time.Now()
	since := now.Add(-span)
	writeJSON(w, AccountAnswer{Page: o.core.account.Report(since, now), Entries: o.core.account.Entries(since, now)})
}

package control

import (
	"time"

	"github.com/banyanfront/banyanfront/internal/account"
)

// serverStatus is what the account records as the status of a server.
type serverStatus uint8

const (
	statusUnknown serverStatus = iota // not recorded yet
	statusServing
	statusLost
	statusDraining
	statusStopped // its session has ended after a graceful stop
	statusWithdrawn
)

// status returns a server's status and the reason for it.
func (s *state) status(srv *server) (serverStatus, string) {
	if reason := s.agreed.exclusionReason(srv.announcement.Server); reason != "" {
		return statusWithdrawn, reason
	}
	reason := s.exclusionReason(srv)
	switch {
	case reason == "" && srv.load.Sequence > 0 && srv.load.Limit == 0:
		return statusLost, "its agent reports that the server does not answer"
	case reason == "":
		return statusServing, ""
	case reason == reasonDraining:
		return statusDraining, "its agent has announced a planned stop"
	case reason == reasonNoSession && (srv.recordedStatus == statusDraining || srv.recordedStatus == statusStopped):
		return statusStopped, "its agent has stopped as planned"
	default:
		return statusLost, reason
	}
}

// recordServerStatuses writes to the account which servers have changed their status since the last call.
func (s *state) recordServerStatuses(now time.Time) {
	if s.config.Account == nil {
		return
	}
	for id, srv := range s.servers {
		current, reason := s.status(srv)
		if current == srv.recordedStatus {
			if current == statusServing {
				srv.recordedIncarnation = srv.announcement.Incarnation
			}
			continue
		}
		record := func(kind account.Kind, reason string) {
			s.config.Account.Record(account.Entry{Time: now, Kind: kind, Subject: string(id), Reason: reason})
		}
		if srv.recordedStatus == statusUnknown {
			record(account.ServerAnnounced, "")
		}
		switch current {
		case statusServing:
			if srv.recordedStatus != statusUnknown {
				record(account.ServerReturned, returnReason(srv))
			}
		case statusLost:
			record(account.ServerLost, reason)
		case statusDraining:
			record(account.DrainStarted, reason)
		case statusStopped:
			record(account.DrainEnded, reason)
		case statusWithdrawn:
			record(account.ServerWithdrawn, reason)
		}
		srv.recordedStatus, srv.recordedIncarnation = current, srv.announcement.Incarnation
	}
}

func returnReason(srv *server) string {
	switch {
	case srv.announcement.Incarnation != srv.recordedIncarnation:
		return "its agent has started again"
	case srv.recordedStatus == statusWithdrawn:
		return "a release note has brought it back"
	default:
		return "its agent answers again"
	}
}

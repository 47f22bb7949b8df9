package control

import (
	"time"

	"github.com/banyanfront/banyanfront/internal/account"
)

// standing is what the account says about a server.
type standing uint8

const (
	standingUnknown standing = iota // not recorded yet
	standingServing
	standingLost
	standingLeaving
	standingLeft // its session has ended after a planned stop
	standingWithdrawn
)

// standing returns a server's standing and the reason for it.
func (s *state) standing(known *server) (standing, string) {
	if reason := s.agreed.excluded(known.announcement.Server); reason != "" {
		return standingWithdrawn, reason
	}
	reason := s.excluded(known)
	switch {
	case reason == "" && known.load.Sequence > 0 && known.load.Limit == 0:
		return standingLost, "its agent reports that the server does not answer"
	case reason == "":
		return standingServing, ""
	case reason == reasonLeaving:
		return standingLeaving, "its agent has announced a planned stop"
	case reason == reasonNoSession && (known.recorded == standingLeaving || known.recorded == standingLeft):
		return standingLeft, "its agent has stopped as planned"
	default:
		return standingLost, reason
	}
}

// recordStandings writes to the account which servers are excluded since the last call, and which are back.
func (s *state) recordStandings(now time.Time) {
	if s.config.Account == nil {
		return
	}
	for id, known := range s.servers {
		current, reason := s.standing(known)
		if current == known.recorded {
			if current == standingServing {
				known.recordedBoot = known.announcement.Incarnation
			}
			continue
		}
		record := func(kind account.Kind, reason string) {
			s.config.Account.Record(account.Entry{Time: now, Kind: kind, Subject: string(id), Reason: reason})
		}
		if known.recorded == standingUnknown {
			record(account.ServerAnnounced, "")
		}
		switch current {
		case standingServing:
			if known.recorded != standingUnknown {
				record(account.ServerReturned, returnReason(known))
			}
		case standingLost:
			record(account.ServerLost, reason)
		case standingLeaving:
			record(account.DrainStarted, reason)
		case standingLeft:
			record(account.DrainEnded, reason)
		case standingWithdrawn:
			record(account.ServerWithdrawn, reason)
		}
		known.recorded, known.recordedBoot = current, known.announcement.Incarnation
	}
}

func returnReason(known *server) string {
	switch {
	case known.announcement.Incarnation != known.recordedBoot:
		return "its agent has started again"
	case known.recorded == standingWithdrawn:
		return "a release note has brought it back"
	default:
		return "its agent answers again"
	}
}

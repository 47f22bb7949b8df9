package entry

import (
	"cmp"
	"iter"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/go-chi/chi/v5"

	"github.com/banyanfront/banyanfront/decide/fleet"
	"github.com/banyanfront/banyanfront/decide/release"
	"github.com/banyanfront/banyanfront/decide/statemachine"
	"github.com/banyanfront/banyanfront/internal/problem"
)

// JSON answers about recorded uses, notes and revisions.
type (
	// Dependents contains the recorded uses of a server.
	Dependents struct {
		Server        fleet.ServerID `json:"server"`
		RecordedSince time.Time      `json:"recordedSince"` // zero if no use has been recorded yet
		Uses          []Dependent    `json:"uses"`          // latest first
	}
	// Dependent is one organisation that used a model, adapter or service on the server.
	Dependent struct {
		Organisation fleet.Organisation `json:"organisation"`
		DataCentre   fleet.DataCentre   `json:"dataCentre"` // of the server
		Kind         string             `json:"kind"`       // model or service
		Name         string             `json:"name"`
		Adapter      string             `json:"adapter,omitempty"`
		Last         time.Time          `json:"last"`
	}
	// NoteLine is one accepted release note.
	NoteLine struct {
		Number uint64    `json:"number"`
		Author string    `json:"author"`
		Digest string    `json:"digest"`
		At     time.Time `json:"at"`
	}
	// InstanceRevision is the revision of the agreed state that an entry instance has applied.
	InstanceRevision struct {
		Instance             fleet.InstanceID `json:"instance"`
		DataCentre           fleet.DataCentre `json:"dataCentre"`
		Revision             uint64           `json:"revision"`
		Newest               bool             `json:"newest"` // no known instance has applied a newer one
		LastReportAgeSeconds int              `json:"heardSeconds"`
	}
)

// dependents answers GET /v1/dependents/{server} from the recorded uses.
func (o *operators) dependents(w http.ResponseWriter, r *http.Request) {
	answer := Dependents{Server: fleet.ServerID(chi.URLParam(r, "server")), Uses: []Dependent{}}
	hasRecords := o.core.Agreement.ReadUses(func(uses iter.Seq[release.Use], since time.Time) {
		answer.RecordedSince = since
		for use := range uses {
			if use.Server == answer.Server {
				answer.Uses = append(answer.Uses, dependentOf(&use))
			}
		}
	})
	if !hasRecords {
		problem.Write(w, problem.New(problem.BadRequest, "%s", o.missingRecordsDetail()))
		return
	}
	slices.SortFunc(answer.Uses, func(a, b Dependent) int {
		return cmp.Or(b.Last.Compare(a.Last), cmp.Compare(a.Organisation, b.Organisation), cmp.Compare(a.Name, b.Name),
			cmp.Compare(a.Adapter, b.Adapter))
	})
	writeJSON(w, answer)
}

func dependentOf(use *release.Use) Dependent {
	kind := release.KindModel
	if use.Kind == fleet.KindService {
		kind = release.KindService
	}
	return Dependent{Organisation: use.Organisation, DataCentre: use.DataCentre, Kind: kind, Name: use.Name,
		Adapter: use.Adapter, Last: time.Unix(use.Last, 0).UTC()}
}

// missingRecordsDetail returns the detail of an answer that names the instances which have the records that this one lacks.
func (o *operators) missingRecordsDetail() string {
	var names []string
	for _, id := range o.core.Agreement.Voters() {
		if id != o.core.identity.instance {
			names = append(names, string(id))
		}
	}
	return "this instance holds no records of uses and notes: ask " + strings.Join(names, " or ") + " with --operators"
}

// noteHistory answers GET /v1/notes/history with the accepted notes, oldest first.
func (o *operators) noteHistory(w http.ResponseWriter, _ *http.Request) {
	notes, hasRecords := o.core.Agreement.Notes()
	if !hasRecords {
		problem.Write(w, problem.New(problem.BadRequest, "%s", o.missingRecordsDetail()))
		return
	}
	lines := make([]NoteLine, 0, len(notes))
	for i := range notes {
		lines = append(lines, noteLine(&notes[i]))
	}
	writeJSON(w, lines)
}

func noteLine(note *statemachine.NoteRecord) NoteLine {
	return NoteLine{Number: note.Number, Author: note.Author, Digest: note.Digest.String(), At: time.Unix(note.At, 0).UTC()}
}

// revisions returns the revision that each known instance has applied.
func (o *operators) revisions(now time.Time) []InstanceRevision {
	all := o.core.Agreement.Revisions(now)
	newest := o.core.Agreement.View().Revision
	for i := range all {
		newest = max(newest, all[i].Revision)
	}
	result := make([]InstanceRevision, 0, len(all))
	for i := range all {
		r := &all[i]
		result = append(result, InstanceRevision{Instance: r.Instance, DataCentre: r.DataCentre, Revision: r.Revision,
			Newest: r.Revision == newest, LastReportAgeSeconds: int(now.Sub(r.ReportedAt).Seconds())})
	}
	return result
}

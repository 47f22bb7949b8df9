package entry

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"iter"
	"net/http"
	"slices"
	"time"

	"github.com/go-chi/chi/v5"

	"github.com/banyanfront/banyanfront/decide/fleet"
	"github.com/banyanfront/banyanfront/decide/release"
	"github.com/banyanfront/banyanfront/decide/statemachine"
	"github.com/banyanfront/banyanfront/internal/account"
	"github.com/banyanfront/banyanfront/internal/agreement"
	"github.com/banyanfront/banyanfront/internal/intake"
	"github.com/banyanfront/banyanfront/internal/problem"
	"github.com/banyanfront/banyanfront/internal/process"
	"github.com/banyanfront/banyanfront/internal/protocol"
	"github.com/banyanfront/banyanfront/internal/settings"
)

// evacuationLogTimeout bounds the wait until an evacuation is in the replicated log. This instance applies it without
// waiting for the log.
const evacuationLogTimeout = 2 * time.Second

// operators serves the API of the command line and monitoring, by default on loopback.
type operators struct {
	core *Core
}

func (o *operators) handler() http.Handler {
	r := chi.NewRouter()
	process.StatusRoutes(r, o.core.NotReady)
	r.Get("/v1/status", o.status)
	r.Post("/v1/notes", o.publishNote)
	r.Post("/v1/notes/check", o.checkNote)
	r.Get("/v1/notes", o.notes)
	r.Get("/v1/notes/history", o.noteHistory)
	r.Get("/v1/dependents/{server}", o.dependents)
	r.Get("/v1/account", o.account)
	r.Post("/v1/datacentres/{name}/out", o.evacuate)
	r.Post("/v1/datacentres/{name}/in", o.restore)
	return r
}

// JSON answers of the operators' API.
type (
	// Status is the state of the fleet as observed by an entry instance.
	Status struct {
		Instance    fleet.InstanceID                `json:"instance"`
		DataCentre  fleet.DataCentre                `json:"dataCentre"`
		Revision    uint64                          `json:"revision"`
		Note        uint64                          `json:"note"`
		NotReady    string                          `json:"notReady,omitempty"`
		Group       *agreement.Group                `json:"group,omitempty"`
		DataCentres []statemachine.DataCentreRecord `json:"dataCentres,omitempty"`
		Servers     []ServerStatus                  `json:"servers"`
		Remote      []fleet.Summary                 `json:"remote,omitempty"`
		// EntryInstances is the number of active entry instances of the data centre, which share its servers' slots.
		EntryInstances int `json:"entryInstances"`
		// Instances contains the revision that each entry instance has applied. Only voters receive the reports of all.
		Instances []InstanceRevision `json:"instances"`
		Voters    []fleet.InstanceID `json:"voters"`
	}
	// ServerStatus is one backend server.
	ServerStatus struct {
		Server   fleet.ServerID `json:"server"`
		Excluded string         `json:"excluded,omitempty"` // why it receives no new work
		Running  int            `json:"running"`
		Limit    int            `json:"limit"`
		Phase    fleet.Phase    `json:"phase"`
	}
	// NoteAnswer is the outcome of publishing or checking a release note.
	NoteAnswer struct {
		Accepted bool                     `json:"accepted"`
		Code     statemachine.Code        `json:"code"`
		Detail   string                   `json:"detail,omitempty"`
		Note     *statemachine.NoteRecord `json:"note,omitempty"`
		Findings []release.Finding        `json:"findings,omitempty"`
		Impact   *release.Effects         `json:"impact,omitempty"`
	}
	// DataCentreAnswer is the outcome of an evacuation or restoration of a data centre.
	DataCentreAnswer struct {
		Accepted bool                           `json:"accepted"`
		Logged   bool                           `json:"logged"` // in the replicated log, so that it survives the loss of this instance
		Detail   string                         `json:"detail,omitempty"`
		Record   *statemachine.DataCentreRecord `json:"record,omitempty"`
	}
)

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	_ = encoder.Encode(v)
}

func (o *operators) status(w http.ResponseWriter, _ *http.Request) {
	view := o.core.Loop.View()
	agreedView := o.core.Agreement.View()
	status := Status{
		Instance:       o.core.settings.Instance,
		DataCentre:     o.core.settings.DataCentre,
		Revision:       agreedView.Revision,
		Note:           agreedView.Config.Number,
		NotReady:       o.core.NotReady(),
		Group:          o.core.Agreement.Group(),
		DataCentres:    o.core.Agreement.DataCentres(),
		Remote:         view.RemoteSummaries,
		EntryInstances: view.Instances,
		Instances:      o.revisions(time.Now()),
		Voters:         o.core.Agreement.Voters(),
	}
	for i := range view.Servers {
		server := &view.Servers[i]
		status.Servers = append(status.Servers, ServerStatus{
			Server: server.Server, Excluded: server.ExclusionReason,
			Running: server.Load.Running, Limit: server.Load.Limit, Phase: server.Load.Phase,
		})
	}
	writeJSON(w, status)
}

// readNote parses the release note in a request.
func (o *operators) readNote(w http.ResponseWriter, r *http.Request) (*release.Note, error) {
	body, err := o.core.gate.ReadBody(w, r, intake.BodyLimits{Owner: "operators", Bytes: protocol.MaxMessageBytes})
	if err != nil {
		intake.Refuse(w)
		if errors.Is(err, intake.ErrNoRoom) {
			return nil, problem.New(problem.NotRun, "%v", err).WithRetryAfter(intake.RetryAfter)
		}
		return nil, problem.New(problem.BadRequest, "the note could not be read: %v", err)
	}
	defer body.Close()
	note, problems := settings.ParseNote("note", body.Bytes())
	if len(problems) > 0 {
		return nil, problem.New(problem.BadRequest, "%s", problems[0].Error())
	}
	return note, nil
}

// impactView returns the state of the fleet against which this instance assesses a note.
func (o *operators) impactView(now time.Time) *release.View {
	view := o.core.Loop.View()
	fleetView := &release.View{
		Now:             now,
		Config:          o.core.Agreement.View().Config,
		LocalDataCentre: o.core.settings.DataCentre,
		Remote:          view.RemoteSummaries,
		Evacuated:       view.Agreed.Evacuated,
	}
	for i := range view.Servers {
		fleetView.Servers = append(fleetView.Servers, view.Servers[i].Announcement)
	}
	return fleetView
}

// assess returns the findings of a note and its impact. The impact is nil if validation or check refuses the note.
func (o *operators) assess(note *release.Note, now time.Time) ([]release.Finding, *release.Effects) {
	findings := release.Validate(note)
	if release.Refused(findings) {
		return findings, nil
	}
	fleetView := o.impactView(now)
	findings = append(findings, release.Check(note, fleetView.Config)...)
	if release.Refused(findings) {
		return findings, nil
	}
	var impact release.Effects
	if !o.core.Agreement.ReadUses(func(uses iter.Seq[release.Use], since time.Time) {
		if since.IsZero() {
			since = now // without any record, the absence of a use proves nothing
		}
		fleetView.Uses, fleetView.RecordedSince = uses, since
		impact = release.Impact(note, fleetView)
	}) {
		impact = release.Impact(note, fleetView)
		// These findings depend on the records, which this instance does not have.
		impact.Findings = slices.DeleteFunc(impact.Findings, func(f release.Finding) bool {
			return f.Code == release.NeverUsed || f.Code == release.ShortRecord
		})
	}
	return append(findings, impact.Findings...), &impact
}

func (o *operators) checkNote(w http.ResponseWriter, r *http.Request) {
	note, err := o.readNote(w, r)
	if err != nil {
		problem.Write(w, err)
		return
	}
	findings, impact := o.assess(note, time.Now())
	answer := NoteAnswer{Accepted: !release.Refused(findings), Findings: findings, Impact: impact}
	if !o.core.Agreement.ReadUses(func(iter.Seq[release.Use], time.Time) {}) {
		answer.Detail = "the impact leaves out who used what: " + o.missingRecordsDetail()
	}
	writeJSON(w, answer)
}

func (o *operators) publishNote(w http.ResponseWriter, r *http.Request) {
	note, err := o.readNote(w, r)
	if err != nil {
		problem.Write(w, err)
		return
	}
	now := time.Now()
	command := &statemachine.PublishNote{Note: *note, At: now.Unix()}
	findings, impact := o.assess(note, now)
	if impact != nil && !release.Refused(findings) {
		command.Observed = impact.ObservedRemaining()
	}
	// The digest identifies the proposal, so that a note that is sent again after a lost answer gets the first answer.
	result, err := o.core.Agreement.Propose(r.Context(), "note/"+note.Digest().String(), command)
	if err != nil {
		problem.Write(w, problem.New(problem.OutcomeUnknown,
			"the group did not answer (%v): publish the same note again; it is accepted once", err).WithRetryAfter(time.Second))
		return
	}
	if !result.Accepted() {
		o.core.account.Record(account.Entry{Time: now, Kind: account.NoteRefused, Subject: agreement.NoteSubject(note.Number),
			Reason: "by " + note.Author + ": " + result.Detail})
	}
	writeJSON(w, NoteAnswer{
		Accepted: result.Accepted(), Code: result.Code, Detail: result.Detail, Note: result.Note, Findings: result.Findings,
		Impact: impact,
	})
}

func (o *operators) notes(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, o.core.Agreement.View().Config)
}

// DataCentreRequest contains the author and the reason of an evacuation or restoration of a data centre.
type DataCentreRequest struct {
	Author string `json:"author"`
	Reason string `json:"reason"`
}

func readDataCentreRequest(r *http.Request) (DataCentreRequest, error) {
	var body DataCentreRequest
	err := json.NewDecoder(io.LimitReader(r.Body, 4096)).Decode(&body)
	if err != nil || body.Author == "" {
		return body, problem.New(problem.BadRequest, "the request names no author: set \"author\"")
	}
	return body, nil
}

func (o *operators) evacuate(w http.ResponseWriter, r *http.Request) {
	body, err := readDataCentreRequest(r)
	if err != nil {
		problem.Write(w, err)
		return
	}
	name := fleet.DataCentre(chi.URLParam(r, "name"))
	if !o.dataCentreExists(name) {
		problem.Write(w, problem.New(problem.BadRequest, "data centre %q is not known: check the name", name))
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), evacuationLogTimeout)
	defer cancel()
	record, logged := o.core.Agreement.Evacuate(ctx, name, body.Author, body.Reason, time.Now())
	answer := DataCentreAnswer{Accepted: true, Logged: logged, Record: &record}
	if !logged {
		answer.Detail = "out is in force on the instances in reach of this one, but the agreement group does not answer: " +
			"they enter it into the log when it does; send the command at the other sides of the partition too"
	}
	writeJSON(w, answer)
}

// dataCentreExists reports whether a data centre is in the release notes or has connected instances or a record.
func (o *operators) dataCentreExists(name fleet.DataCentre) bool {
	view := o.core.Loop.View()
	if name == o.core.settings.DataCentre || len(view.Peers(name)) > 0 || statemachine.FindDataCentre(o.core.Agreement.DataCentres(), name).Term > 0 {
		return true
	}
	for _, listed := range o.core.Agreement.View().Config.DataCentres {
		if listed.Name == name {
			return true
		}
	}
	return false
}

func (o *operators) restore(w http.ResponseWriter, r *http.Request) {
	body, err := readDataCentreRequest(r)
	if err != nil {
		problem.Write(w, err)
		return
	}
	name := fleet.DataCentre(chi.URLParam(r, "name"))
	result, err := o.core.Agreement.Restore(r.Context(), name, body.Author, body.Reason, time.Now())
	if err != nil {
		problem.Write(w, problem.New(problem.OutcomeUnknown,
			"only the agreement group can bring a data centre back, and it did not answer (%v): send the command again", err).
			WithRetryAfter(time.Second))
		return
	}
	writeJSON(w, DataCentreAnswer{Accepted: result.Accepted(), Logged: result.Accepted(), Detail: result.Detail, Record: result.DataCentre})
}

package entry

import (
	"context"
	"encoding/json"
	"io"
	"iter"
	"net/http"
	"slices"
	"time"

	"github.com/go-chi/chi/v5"

	"github.com/banyanfront/banyanfront/decide/agreed"
	"github.com/banyanfront/banyanfront/decide/fleet"
	"github.com/banyanfront/banyanfront/decide/release"
	"github.com/banyanfront/banyanfront/internal/account"
	"github.com/banyanfront/banyanfront/internal/agreement"
	"github.com/banyanfront/banyanfront/internal/problem"
	"github.com/banyanfront/banyanfront/internal/process"
	"github.com/banyanfront/banyanfront/internal/protocol"
	"github.com/banyanfront/banyanfront/internal/settings"
)

// logOutTimeout bounds the wait for the log when a data centre is taken out; it is in force here at once.
const logOutTimeout = 2 * time.Second

// operators serves the command line and monitoring. It listens on loopback by default.
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
	r.Get("/v1/notes/history", o.history)
	r.Get("/v1/dependents/{server}", o.dependents)
	r.Get("/v1/account", o.account)
	r.Post("/v1/datacentres/{name}/out", o.takeOut)
	r.Post("/v1/datacentres/{name}/in", o.bringIn)
	return r
}

// Answers of the operators' API, in JSON.
type (
	// Status is what an entry instance knows of the fleet.
	Status struct {
		Instance   fleet.InstanceID          `json:"instance"`
		DataCentre fleet.DataCentre          `json:"dataCentre"`
		Revision   uint64                    `json:"revision"`
		Note       uint64                    `json:"note"`
		NotReady   string                    `json:"notReady,omitempty"`
		Group      *agreement.Group          `json:"group,omitempty"`
		Centres    []agreed.DataCentreRecord `json:"dataCentres,omitempty"`
		Servers    []ServerStatus            `json:"servers"`
		Remote     []fleet.Summary           `json:"remote,omitempty"`
		// EntryInstances is the number of active entry instances of the data centre, which share its servers' slots.
		EntryInstances int `json:"entryInstances"`
		// Instances lists the revision that each entry instance has in force. Only voters hear of all.
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
		Accepted bool               `json:"accepted"`
		Code     agreed.Code        `json:"code"`
		Detail   string             `json:"detail,omitempty"`
		Note     *agreed.NoteRecord `json:"note,omitempty"`
		Findings []release.Finding  `json:"findings,omitempty"`
		Impact   *release.Effects   `json:"impact,omitempty"`
	}
	// CentreAnswer is the outcome of taking a data centre out or bringing it back.
	CentreAnswer struct {
		Accepted bool                     `json:"accepted"`
		Logged   bool                     `json:"logged"` // the log holds it, so that it survives the loss of this instance
		Detail   string                   `json:"detail,omitempty"`
		Record   *agreed.DataCentreRecord `json:"record,omitempty"`
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
		Centres:        o.core.Agreement.DataCentres(),
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
func readNote(r *http.Request) (*release.Note, error) {
	data, err := io.ReadAll(io.LimitReader(r.Body, protocol.MaxMessageBytes+1))
	if err != nil {
		return nil, problem.New(problem.BadRequest, "the note could not be read: send it again")
	}
	note, problems := settings.ParseNote("note", data)
	if len(problems) > 0 {
		return nil, problem.New(problem.BadRequest, "%s", problems[0].Error())
	}
	return note, nil
}

// impactView is what this instance knows when it judges a note.
func (o *operators) impactView(now time.Time) *release.View {
	view := o.core.Loop.View()
	known := &release.View{
		Now:             now,
		Config:          o.core.Agreement.View().Config,
		LocalDataCentre: o.core.settings.DataCentre,
		Remote:          view.RemoteSummaries,
		Evacuated:       view.Agreed.Evacuated,
	}
	for i := range view.Servers {
		known.Servers = append(known.Servers, view.Servers[i].Announcement)
	}
	return known
}

// judge returns the findings of a note and what it cuts off.
func (o *operators) judge(note *release.Note, now time.Time) ([]release.Finding, *release.Effects) {
	findings := release.Validate(note)
	if release.Refused(findings) {
		return findings, nil
	}
	known := o.impactView(now)
	findings = append(findings, release.Check(note, known.Config)...)
	if release.Refused(findings) {
		return findings, nil
	}
	var impact release.Effects
	if !o.core.Agreement.ReadUses(func(uses iter.Seq[release.Use], since time.Time) {
		if since.IsZero() {
			since = now // an absent use means nothing before the first record
		}
		known.Uses, known.RecordedSince = uses, since
		impact = release.Impact(note, known)
	}) {
		impact = release.Impact(note, known)
		// Without records nothing can be said about their content.
		impact.Findings = slices.DeleteFunc(impact.Findings, func(f release.Finding) bool {
			return f.Code == release.NeverUsed || f.Code == release.ShortRecord
		})
	}
	return append(findings, impact.Findings...), &impact
}

func (o *operators) checkNote(w http.ResponseWriter, r *http.Request) {
	note, err := readNote(r)
	if err != nil {
		problem.Write(w, err)
		return
	}
	findings, impact := o.judge(note, time.Now())
	answer := NoteAnswer{Accepted: !release.Refused(findings), Findings: findings, Impact: impact}
	if !o.core.Agreement.ReadUses(func(iter.Seq[release.Use], time.Time) {}) {
		answer.Detail = "the impact leaves out who used what: " + o.askMember()
	}
	writeJSON(w, answer)
}

func (o *operators) publishNote(w http.ResponseWriter, r *http.Request) {
	note, err := readNote(r)
	if err != nil {
		problem.Write(w, err)
		return
	}
	now := time.Now()
	command := &agreed.PublishNote{Note: *note, At: now.Unix()}
	findings, impact := o.judge(note, now)
	if impact != nil && !release.Refused(findings) {
		command.Observed = impact.ObservedRemaining()
	}
	// The digest names the proposal, so that the same note sent again after a lost answer gets the first answer.
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

// CentreRequest says who takes a data centre out or brings it back, and why.
type CentreRequest struct {
	Author string `json:"author"`
	Reason string `json:"reason"`
}

func readCentreRequest(r *http.Request) (CentreRequest, error) {
	var body CentreRequest
	err := json.NewDecoder(io.LimitReader(r.Body, 4096)).Decode(&body)
	if err != nil || body.Author == "" {
		return body, problem.New(problem.BadRequest, "the request names no author: set \"author\"")
	}
	return body, nil
}

func (o *operators) takeOut(w http.ResponseWriter, r *http.Request) {
	body, err := readCentreRequest(r)
	if err != nil {
		problem.Write(w, err)
		return
	}
	name := fleet.DataCentre(chi.URLParam(r, "name"))
	if !o.knows(name) {
		problem.Write(w, problem.New(problem.BadRequest, "data centre %q is not known: check the name", name))
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), logOutTimeout)
	defer cancel()
	record, logged := o.core.Agreement.Evacuate(ctx, name, body.Author, body.Reason, time.Now())
	answer := CentreAnswer{Accepted: true, Logged: logged, Record: &record}
	if !logged {
		answer.Detail = "out is in force on the instances in reach of this one, but the agreement group does not answer: " +
			"they enter it into the log when it does; send the command at the other sides of the partition too"
	}
	writeJSON(w, answer)
}

// knows reports whether a data centre is named by a note or has instances or a record.
func (o *operators) knows(name fleet.DataCentre) bool {
	view := o.core.Loop.View()
	if name == o.core.settings.DataCentre || len(view.Peers(name)) > 0 || agreed.FindDataCentre(o.core.Agreement.DataCentres(), name).Term > 0 {
		return true
	}
	for _, known := range o.core.Agreement.View().Config.DataCentres {
		if known.Name == name {
			return true
		}
	}
	return false
}

func (o *operators) bringIn(w http.ResponseWriter, r *http.Request) {
	body, err := readCentreRequest(r)
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
	writeJSON(w, CentreAnswer{Accepted: result.Accepted(), Logged: result.Accepted(), Detail: result.Detail, Record: result.DataCentre})
}

package directory

import (
	"context"
	"crypto/rand"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/apex/log"
	"github.com/go-chi/chi/v5"

	"github.com/banyanfront/banyanfront/decide/controlstate"
	"github.com/banyanfront/banyanfront/decide/registry"
	"github.com/banyanfront/banyanfront/decide/routes"
	"github.com/banyanfront/banyanfront/internal/intake"
	"github.com/banyanfront/banyanfront/platform"
)

const (
	// maxAnnouncementBytes limits the body of an announcement.
	maxAnnouncementBytes = 64 << 10
	// noQuorumRetryAfter is the Retry-After sent while no majority is reachable: an election takes about a second.
	noQuorumRetryAfter = time.Second
)

// api is the HTTP interface for operators and backend servers.
type api struct {
	*Directory
	// dataCentres holds the data centres that may be evacuated, by name.
	dataCentres map[string]string
	gate        *intake.Gate
	// decoding limits the configurations that are decoded at once: each takes several times its size.
	decoding chan struct{}
	newest   unpackedConfiguration
}

// unpackedConfiguration is the configuration that was read last, shared by all its readers.
type unpackedConfiguration struct {
	mu      sync.Mutex
	version uint64
	body    []byte
}

func newAPI(d *Directory, dataCentres map[string]string, gate *intake.Gate) *api {
	return &api{Directory: d, dataCentres: dataCentres, gate: gate, decoding: make(chan struct{}, 1)}
}

func (a *api) handler() http.Handler {
	r := chi.NewRouter()
	r.Post(platform.AnnouncePath, a.announce)
	r.Post(platform.DeregisterPath, a.deregister)
	r.Post(platform.ReplaceConfigurationPath, a.replaceConfiguration)
	r.Get(platform.ReadConfigurationPath, a.readConfiguration)
	r.Post(platform.EvacuatePath, func(w http.ResponseWriter, r *http.Request) { a.evacuate(w, r, true) })
	r.Post(platform.RestorePath, func(w http.ResponseWriter, r *http.Request) { a.evacuate(w, r, false) })
	return r
}

// writeJSON sends a response with a JSON body.
func writeJSON(w http.ResponseWriter, status int, body []byte) {
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(status)
	_, _ = w.Write(body) // a caller that has disconnected retries
}

func writeError(w http.ResponseWriter, status int, err error) {
	if status == http.StatusServiceUnavailable {
		w.Header().Set(platform.HeaderRetryAfter, strconv.FormatFloat(noQuorumRetryAfter.Seconds(), 'f', -1, 64))
	}
	writeJSON(w, status, platform.EncodeError(err))
}

// readBody reads the body of a call, with limit as the largest number of bytes. On failure it responds itself and returns false. The
// caller must close the body.
func (a *api) readBody(w http.ResponseWriter, r *http.Request, limit int64) (*intake.Body, bool) {
	owner, _, err := net.SplitHostPort(r.RemoteAddr)
	if err != nil {
		owner = r.RemoteAddr
	}
	body, err := a.gate.ReadBody(w, r, intake.BodyLimits{Owner: owner, Bytes: limit})
	if err == nil {
		return body, true
	}
	intake.Refuse(w)
	switch status := intake.Status(err); status {
	case http.StatusServiceUnavailable, http.StatusRequestTimeout:
		writeError(w, http.StatusServiceUnavailable, err) // the sender repeats the call
	case http.StatusRequestEntityTooLarge:
		writeError(w, status, err)
	default:
		writeError(w, http.StatusBadRequest, err)
	}
	return nil, false
}

func (a *api) announce(w http.ResponseWriter, r *http.Request) {
	server := chi.URLParam(r, platform.ServerVariable)
	body, ok := a.readBody(w, r, maxAnnouncementBytes)
	if !ok {
		return
	}
	defer body.Close()
	announcement, err := platform.DecodeAnnouncement(server, body.Bytes())
	if err != nil {
		refuseAnnouncement(w, server, err)
		return
	}
	a.acceptAnnouncement(w, r, announcement)
}

// acceptAnnouncement records an announcement and acknowledges it, unless other instances could not read it. That a server leaves is
// acknowledged once it is agreed on: the server counts on it when this instance is gone, and may say nothing more.
func (a *api) acceptAnnouncement(w http.ResponseWriter, r *http.Request, announcement registry.Announcement) {
	if err := announcement.Validate(); err != nil {
		refuseAnnouncement(w, announcement.Server, err)
		return
	}
	if announcement.StartedAtMillis == 0 {
		announcement.StartedAtMillis = a.startOf(announcement.Server)
	}
	a.HandleAnnouncement(announcement)
	if announcement.State != registry.Ready && !a.commit(w, r, departureID(announcement), controlstate.Command{Depart: &announcement}) {
		return
	}
	writeJSON(w, http.StatusOK, []byte("{}"))
}

// departureID identifies the command for a server that leaves: that it goes on draining is no news. If the start of its process is
// unknown, it may be another process with the same name.
func departureID(a registry.Announcement) string {
	if a.StartedAtMillis == 0 {
		return "departure/" + rand.Text()
	}
	return fmt.Sprintf("departure/%s/%d/%d", a.Server, a.StartedAtMillis, a.State)
}

func refuseAnnouncement(w http.ResponseWriter, server string, err error) {
	log.WithError(err).WithField("server", strconv.QuoteToASCII(server)).Warn("invalid announcement; no server is added or updated")
	writeError(w, http.StatusBadRequest, err)
}

func (a *api) deregister(w http.ResponseWriter, r *http.Request) {
	server := chi.URLParam(r, platform.ServerVariable)
	body, ok := a.readBody(w, r, maxAnnouncementBytes)
	if !ok {
		return
	}
	defer body.Close()
	a.acceptAnnouncement(w, r, platform.DecodeDeregistration(server, body.Bytes()))
}

func (a *api) replaceConfiguration(w http.ResponseWriter, r *http.Request) {
	held, ok := a.readBody(w, r, MaxConfigurationBytes)
	if !ok {
		return
	}
	defer held.Close()
	select {
	case a.decoding <- struct{}{}:
	case <-r.Context().Done():
		writeError(w, http.StatusServiceUnavailable, errSenderLeft)
		return
	}
	configuration, packed, id, err := a.decodeConfiguration(held.Bytes())
	<-a.decoding
	if err != nil {
		log.WithError(err).Warn("configuration refused as invalid")
		writeError(w, http.StatusBadRequest, err)
		return
	}
	if packed != nil {
		if err := checkPacked(packed); err != nil {
			log.WithError(err).WithField("version", configuration.Version).Warn("configuration refused as too large")
			writeError(w, http.StatusRequestEntityTooLarge, err)
			return
		}
		if !a.commit(w, r, id, controlstate.Command{Configure: &controlstate.Configure{Version: configuration.Version, Body: packed}}) {
			return
		}
	} else if err := a.AwaitDurable(r.Context()); err != nil { // the first sending may still wait for it
		log.WithError(err).WithField("version", configuration.Version).Warn("repeated configuration not acknowledged; its sender is asked to retry")
		writeError(w, http.StatusServiceUnavailable, errors.Join(ErrNotReady, err))
		return
	}
	metrics.GetOrCreateCounter(`banyanfront_control_acknowledged_total{change="configuration"}`).Inc()
	log.WithFields(log.Fields{"version": configuration.Version, "routes": len(configuration.Routes), "inForce": a.State().Version}).
		Info("configuration acknowledged")
	writeJSON(w, http.StatusOK, []byte("{}"))
}

// ReadConfiguration decodes and validates a configuration as an operator sends it.
func ReadConfiguration(body []byte) (*routes.Configuration, error) {
	configuration, err := platform.DecodeConfiguration(body)
	if err != nil {
		return nil, err
	}
	return configuration, configuration.Validate()
}

// CheckConfiguration reads a configuration, and returns the error for which a control instance would refuse it.
func CheckConfiguration(body []byte) (*routes.Configuration, error) {
	if len(body) > MaxConfigurationBytes {
		return nil, fmt.Errorf("the configuration has %d bytes, the limit is %d; leave out routes or keys", len(body), MaxConfigurationBytes)
	}
	configuration, err := ReadConfiguration(body)
	if err != nil {
		return nil, err
	}
	packed, err := PackConfiguration(body)
	if err != nil {
		return nil, err
	}
	return configuration, checkPacked(packed)
}

// checkPacked reports a configuration that no entry of the log can hold.
func checkPacked(packed []byte) error {
	if len(packed) > maxPackedBytes {
		return fmt.Errorf("the configuration has %d bytes after compression, the limit is %d; leave out routes or keys", len(packed), maxPackedBytes)
	}
	return nil
}

// decodeConfiguration decodes and validates a configuration. If it is newer than the one in force, it is also returned compressed,
// with the identifier of its command.
func (a *api) decodeConfiguration(body []byte) (configuration *routes.Configuration, packed []byte, id string, err error) {
	if configuration, err = ReadConfiguration(body); err != nil {
		return nil, nil, "", err
	}
	if !a.isNewer(configuration.Version) {
		return configuration, nil, "", nil
	}
	if packed, err = PackConfiguration(body); err != nil {
		return nil, nil, "", err
	}
	digest := sha256.Sum256(body)
	return configuration, packed, "configuration/" + strconv.FormatUint(configuration.Version, 10) + "/" + hex.EncodeToString(digest[:8]), nil
}

// isNewer reports whether a version is higher than that of the configuration in force.
func (a *api) isNewer(version uint64) bool {
	state := a.State()
	return !state.Configured || state.Version < version
}

// commit proposes a command and waits until it is committed. On failure it responds with an error and returns false.
func (a *api) commit(w http.ResponseWriter, r *http.Request, id string, c controlstate.Command) bool {
	started := time.Now()
	// A caller that disconnects may retry at another instance; the proposal continues regardless.
	err := a.Propose(context.WithoutCancel(r.Context()), id, c)
	if err != nil {
		log.WithError(err).WithFields(log.Fields{"command": id, "ms": time.Since(started).Milliseconds()}).
			Warn("change not committed in time; its sender is asked to retry")
		writeError(w, http.StatusServiceUnavailable, errors.Join(ErrNotReady, err))
		return false
	}
	return true
}

func (a *api) readConfiguration(w http.ResponseWriter, r *http.Request) {
	state, err := a.ConfirmedState(r.Context())
	if err == nil && !state.Configured {
		err = errors.New("no configuration was sent yet; send one")
	}
	if err != nil {
		log.WithError(err).Info("configuration not returned: the newest version cannot be confirmed")
		writeError(w, http.StatusServiceUnavailable, err)
		return
	}
	body, err := a.newest.unpack(&state)
	if err != nil {
		log.WithError(err).Error("the agreed configuration cannot be unpacked")
		writeError(w, http.StatusInternalServerError, err)
		return
	}
	writeJSON(w, http.StatusOK, body)
}

// unpack returns the configuration of a state.
func (u *unpackedConfiguration) unpack(state *controlstate.State) ([]byte, error) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.body == nil || u.version != state.Version {
		body, err := UnpackConfiguration(state.Body)
		if err != nil {
			return nil, err
		}
		u.version, u.body = state.Version, body
	}
	return u.body, nil
}

// maxOrderAttempts limits how often an order is proposed that others for the same data centre keep overtaking.
const maxOrderAttempts = 3

// errSenderLeft reports a change whose sender no longer waits. It was received late, and a newer one may have been acknowledged.
var errSenderLeft = errors.New("the sender of the change has disconnected; the change is not carried out")

// orderEvacuation commits an order to evacuate or restore a data centre. An order that waited here, in a connection's buffer or
// for a majority, while its sender repeated it elsewhere and sent newer ones has no effect: it names the newest order that
// was agreed on while its sender still waited.
func (a *api) orderEvacuation(r *http.Request, dataCentre string, evacuated bool) error {
	// The server notices that the sender has left only once the body is read.
	if _, err := io.Copy(io.Discard, io.LimitReader(r.Body, maxAnnouncementBytes)); err != nil {
		return err
	}
	err := ErrOvertaken
	for attempt := 0; attempt < maxOrderAttempts && errors.Is(err, ErrOvertaken); attempt++ {
		state, notReady := a.ConfirmedState(r.Context())
		if r.Context().Err() != nil {
			return errSenderLeft
		}
		if notReady != nil {
			return notReady
		}
		id := "evacuation/" + dataCentre + "/" + rand.Text()
		err = a.Propose(r.Context(), id, controlstate.Command{Evacuate: &controlstate.Evacuate{DataCentre: dataCentre, Evacuated: evacuated,
			Ordered: true, Follows: state.EvacuationOrder(dataCentre)}})
	}
	return err
}

// evacuate handles a request to evacuate a data centre, or to restore it if evacuated is false.
func (a *api) evacuate(w http.ResponseWriter, r *http.Request, evacuated bool) {
	dataCentre := chi.URLParam(r, platform.DataCentreVariable)
	if _, known := a.dataCentres[dataCentre]; !known {
		writeError(w, http.StatusNotFound, errors.New("no data centre has this name; name one of the settings"))
		return
	}
	if err := a.orderEvacuation(r, dataCentre, evacuated); err != nil {
		log.WithError(err).WithFields(log.Fields{"dataCentre": dataCentre, "out": evacuated}).
			Warn("order for a data centre not committed; its sender is asked to retry")
		writeError(w, http.StatusServiceUnavailable, err)
		return
	}
	metrics.GetOrCreateCounter(`banyanfront_control_acknowledged_total{change="evacuation"}`).Inc()
	log.WithFields(log.Fields{"dataCentre": dataCentre, "out": evacuated}).Info("evacuation acknowledged")
	writeJSON(w, http.StatusOK, []byte("{}"))
}

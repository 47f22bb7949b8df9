package directory

import (
	"context"
	"crypto/rand"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/apex/log"
	"github.com/go-chi/chi/v5"

	"github.com/banyanfront/banyanfront/decide/controlstate"
	"github.com/banyanfront/banyanfront/decide/registry"
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

func (a *api) announce(w http.ResponseWriter, r *http.Request) {
	server := chi.URLParam(r, platform.ServerVariable)
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxAnnouncementBytes))
	if err != nil {
		writeError(w, http.StatusBadRequest, err)
		return
	}
	announcement, err := platform.DecodeAnnouncement(server, body)
	if err != nil {
		refuseAnnouncement(w, server, err)
		return
	}
	a.acceptAnnouncement(w, announcement)
}

// acceptAnnouncement records an announcement and acknowledges it, unless other instances could not read it.
func (a *api) acceptAnnouncement(w http.ResponseWriter, announcement registry.Announcement) {
	if err := announcement.Validate(); err != nil {
		refuseAnnouncement(w, announcement.Server, err)
		return
	}
	a.HandleAnnouncement(announcement)
	writeJSON(w, http.StatusOK, []byte("{}"))
}

func refuseAnnouncement(w http.ResponseWriter, server string, err error) {
	log.WithError(err).WithField("server", strconv.QuoteToASCII(server)).Warn("invalid announcement; no server is added or updated")
	writeError(w, http.StatusBadRequest, err)
}

func (a *api) deregister(w http.ResponseWriter, r *http.Request) {
	server := chi.URLParam(r, platform.ServerVariable)
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxAnnouncementBytes))
	if err != nil {
		writeError(w, http.StatusBadRequest, err)
		return
	}
	a.acceptAnnouncement(w, platform.DecodeDeregistration(server, body))
}

func (a *api) replaceConfiguration(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxConfigurationBytes))
	if err != nil {
		writeError(w, http.StatusBadRequest, err)
		return
	}
	configuration, err := platform.DecodeConfiguration(body)
	if err == nil {
		err = configuration.Validate()
	}
	if err != nil {
		log.WithError(err).Warn("configuration refused as invalid")
		writeError(w, http.StatusBadRequest, err)
		return
	}
	if state := a.State(); !state.Configured || state.Version < configuration.Version {
		packed, err := PackConfiguration(body)
		if err != nil {
			log.WithError(err).Error("configuration could not be packed")
			writeError(w, http.StatusInternalServerError, err)
			return
		}
		if len(packed) > maxPackedBytes {
			err := fmt.Errorf("the configuration has %d bytes after compression, the limit is %d; leave out routes or keys", len(packed), maxPackedBytes)
			log.WithError(err).WithField("version", configuration.Version).Warn("configuration refused as too large")
			writeError(w, http.StatusRequestEntityTooLarge, err)
			return
		}
		digest := sha256.Sum256(body)
		id := "configuration/" + strconv.FormatUint(configuration.Version, 10) + "/" + hex.EncodeToString(digest[:8])
		if !a.commit(w, r, id, controlstate.Command{Configure: &controlstate.Configure{Version: configuration.Version, Body: packed}}) {
			return
		}
	}
	metrics.GetOrCreateCounter(`banyanfront_control_acknowledged_total{change="configuration"}`).Inc()
	log.WithFields(log.Fields{"version": configuration.Version, "routes": len(configuration.Routes), "inForce": a.State().Version}).
		Info("configuration acknowledged")
	writeJSON(w, http.StatusOK, []byte("{}"))
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
	body, err := UnpackConfiguration(state.Body)
	if err != nil {
		log.WithError(err).Error("the agreed configuration cannot be unpacked")
		writeError(w, http.StatusInternalServerError, err)
		return
	}
	writeJSON(w, http.StatusOK, body)
}

// maxOrderAttempts limits how often an order is proposed that others for the same data centre keep overtaking.
const maxOrderAttempts = 3

// errSenderLeft reports an order whose sender no longer waits. It was received late, and a newer one may have been acknowledged.
var errSenderLeft = errors.New("the sender of the order has disconnected; the order is not carried out")

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

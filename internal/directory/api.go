package directory

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/apex/log"
	"github.com/go-chi/chi/v5"

	"github.com/banyanfront/banyanfront/decide/directory"
	"github.com/banyanfront/banyanfront/platform"
)

const (
	// maxAnnouncementBytes bounds an announcement.
	maxAnnouncementBytes = 64 << 10
	// busyRetry is the Retry-After while no majority is in reach: an election takes about a second.
	busyRetry = time.Second
)

// api answers operators and backend servers.
type api struct {
	*Directory
	// dataCentres are the names that may be evacuated.
	dataCentres map[string]string
}

func (a *api) handler() http.Handler {
	r := chi.NewRouter()
	r.Post(platform.AnnouncePath, a.announce)
	r.Post(platform.DeregisterPath, a.leave)
	r.Post(platform.ReplaceConfigurationPath, a.configure)
	r.Get(platform.ReadConfigurationPath, a.configuration)
	r.Post(platform.EvacuatePath, func(w http.ResponseWriter, r *http.Request) { a.evacuate(w, r, true) })
	r.Post(platform.RestorePath, func(w http.ResponseWriter, r *http.Request) { a.evacuate(w, r, false) })
	return r
}

// answer writes a JSON body.
func answer(w http.ResponseWriter, status int, body []byte) {
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(status)
	_, _ = w.Write(body) // a caller that has left asks again
}

func problem(w http.ResponseWriter, status int, err error) {
	if status == http.StatusServiceUnavailable {
		w.Header().Set(platform.HeaderRetryAfter, strconv.FormatFloat(busyRetry.Seconds(), 'f', -1, 64))
	}
	answer(w, status, platform.EncodeError(err))
}

func (a *api) announce(w http.ResponseWriter, r *http.Request) {
	server := chi.URLParam(r, platform.ServerVariable)
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxAnnouncementBytes))
	if err != nil {
		problem(w, http.StatusBadRequest, err)
		return
	}
	announcement, err := platform.DecodeAnnouncement(server, body)
	if err != nil {
		log.WithError(err).WithField("server", server).Warn("announcement cannot be used; it names no server")
		problem(w, http.StatusBadRequest, err)
		return
	}
	a.Announced(announcement)
	answer(w, http.StatusOK, []byte("{}"))
}

func (a *api) leave(w http.ResponseWriter, r *http.Request) {
	server := chi.URLParam(r, platform.ServerVariable)
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxAnnouncementBytes))
	if err != nil {
		problem(w, http.StatusBadRequest, err)
		return
	}
	a.Announced(platform.DecodeDeregistration(server, body))
	answer(w, http.StatusOK, []byte("{}"))
}

func (a *api) configure(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxConfigurationBytes))
	if err != nil {
		problem(w, http.StatusBadRequest, err)
		return
	}
	configuration, err := platform.DecodeConfiguration(body)
	if err == nil {
		err = configuration.Validate()
	}
	if err != nil {
		log.WithError(err).Warn("configuration refused as invalid")
		problem(w, http.StatusBadRequest, err)
		return
	}
	if state := a.State(); !state.Configured || state.Version < configuration.Version {
		packed, err := Pack(body)
		if err != nil {
			log.WithError(err).Error("configuration could not be packed")
			problem(w, http.StatusInternalServerError, err)
			return
		}
		digest := sha256.Sum256(body)
		id := "configuration/" + strconv.FormatUint(configuration.Version, 10) + "/" + hex.EncodeToString(digest[:8])
		if !a.agree(w, r, id, directory.Command{Configure: &directory.Configure{Version: configuration.Version, Body: packed}}) {
			return
		}
	}
	metrics.GetOrCreateCounter(`banyanfront_control_acknowledged_total{change="configuration"}`).Inc()
	log.WithFields(log.Fields{"version": configuration.Version, "routes": len(configuration.Routes), "inForce": a.State().Version}).
		Info("configuration acknowledged")
	answer(w, http.StatusOK, []byte("{}"))
}

// agree has a command agreed on. It answers the call and reports false if that failed.
func (a *api) agree(w http.ResponseWriter, r *http.Request, id string, c directory.Command) bool {
	started := time.Now()
	// A caller that leaves may ask again elsewhere; the command goes on all the same.
	err := a.Propose(context.WithoutCancel(r.Context()), id, c)
	if err != nil {
		log.WithError(err).WithFields(log.Fields{"command": id, "ms": time.Since(started).Milliseconds()}).
			Warn("change not agreed in time; its sender is asked to come back")
		problem(w, http.StatusServiceUnavailable, errors.Join(ErrNotReady, err))
		return false
	}
	return true
}

func (a *api) configuration(w http.ResponseWriter, r *http.Request) {
	state, err := a.Confirmed(r.Context())
	if err == nil && !state.Configured {
		err = errors.New("no configuration was sent yet; send one")
	}
	if err != nil {
		log.WithError(err).Info("configuration not read: the newest one is not certain")
		problem(w, http.StatusServiceUnavailable, err)
		return
	}
	body, err := Unpack(state.Body)
	if err != nil {
		log.WithError(err).Error("the agreed configuration cannot be unpacked")
		problem(w, http.StatusInternalServerError, err)
		return
	}
	answer(w, http.StatusOK, body)
}

func (a *api) evacuate(w http.ResponseWriter, r *http.Request, out bool) {
	dataCentre := chi.URLParam(r, platform.DataCentreVariable)
	if _, known := a.dataCentres[dataCentre]; !known {
		problem(w, http.StatusNotFound, errors.New("no data centre has this name; name one of the settings"))
		return
	}
	id := "evacuation/" + dataCentre + "/" + strconv.FormatInt(time.Now().UnixNano(), 36)
	if !a.agree(w, r, id, directory.Command{Evacuate: &directory.Evacuate{DataCentre: dataCentre, Out: out}}) {
		return
	}
	metrics.GetOrCreateCounter(`banyanfront_control_acknowledged_total{change="evacuation"}`).Inc()
	log.WithFields(log.Fields{"dataCentre": dataCentre, "out": out}).Info("evacuation acknowledged")
	answer(w, http.StatusOK, []byte("{}"))
}

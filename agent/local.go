package agent

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"regexp"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/julienschmidt/httprouter"
	"go.uber.org/zap"

	"github.com/cairnlift/cairnlift/agent/gate"
	"github.com/cairnlift/cairnlift/metricstext"
)

const (
	maxAnnouncementBytes = 16 << 10
	minTTL               = 100 * time.Millisecond
	maxTTL               = 10 * time.Minute
	maxSlots             = 1 << 16
)

// namePattern is what names of targets and services look like.
var namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,127}$`)

// announcement is the body of PUT /v1/targets/:name.
type announcement struct {
	Service     string `json:"service"`
	Address     string `json:"address"`
	Slots       int    `json:"slots"`
	Connections int    `json:"connections"`
	TTLMs       int64  `json:"ttl_ms"`
}

// targetStatus is one target as GET /v1/targets lists it.
type targetStatus struct {
	Name        string `json:"name"`
	Service     string `json:"service"`
	Slots       int32  `json:"slots"`
	Connections int32  `json:"connections"`
	Leaving     bool   `json:"leaving"`
	InFlight    int32  `json:"in_flight"`
}

// errorBody is the body of every refusal.
type errorBody struct {
	Error string `json:"error"`
}

// localHandler answers the targets of this host, health probes and metrics.
func (a *Agent) localHandler() http.Handler {
	r := httprouter.New()
	r.PUT("/v1/targets/:name", a.putTarget)
	r.DELETE("/v1/targets/:name", a.deleteTarget)
	r.GET("/v1/targets", a.getTargets)
	r.GET("/livez", func(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) { writeJSON(w, http.StatusOK, "ok") })
	r.GET("/readyz", a.getReady)
	r.GET("/metrics", func(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
		_, _ = io.WriteString(w, metricstext.Format(a.metrics.registry)) // a client that left gets nothing
	})
	return r
}

func (a *Agent) putTarget(w http.ResponseWriter, req *http.Request, p httprouter.Params) {
	ann, err := readAnnouncement(w, req, p.ByName("name"))
	if err != nil {
		writeError(w, http.StatusBadRequest, err.Error())
		return
	}
	var result gate.AnnounceResult
	a.updateGate(func(g *gate.Gate) { result = g.Announce(a.now(), ann) })
	switch result {
	case gate.RefusedLeaving:
		w.Header().Set("Retry-After", "1")
		writeError(w, http.StatusConflict, "target "+ann.Name+" is leaving; announce it again once it is gone")
	case gate.RefusedFull:
		writeError(w, http.StatusInsufficientStorage, fmt.Sprintf("host has %d targets already", gate.MaxTargets))
	case gate.Announced:
		a.log.Info("target announced", zap.String("target", ann.Name), zap.String("service", ann.Service),
			zap.String("address", ann.Address))
		w.WriteHeader(http.StatusNoContent)
	default:
		w.WriteHeader(http.StatusNoContent)
	}
}

func readAnnouncement(w http.ResponseWriter, req *http.Request, name string) (gate.Announcement, error) {
	dec := json.NewDecoder(http.MaxBytesReader(w, req.Body, maxAnnouncementBytes))
	dec.DisallowUnknownFields()
	var body announcement
	if err := dec.Decode(&body); err != nil {
		return gate.Announcement{}, errors.Wrap(err, "announcement can't be read")
	}
	if _, err := dec.Token(); !errors.Is(err, io.EOF) {
		return gate.Announcement{}, errors.New("announcement is followed by something else")
	}
	ann := gate.Announcement{
		Name:        name,
		Service:     body.Service,
		Address:     body.Address,
		Slots:       body.Slots,
		Connections: body.Connections,
		TTL:         time.Duration(body.TTLMs) * time.Millisecond,
	}
	return ann, checkAnnouncement(ann, body.TTLMs)
}

func checkAnnouncement(ann gate.Announcement, ttlMs int64) error {
	if !namePattern.MatchString(ann.Name) {
		return errors.Newf("name %q must be 1 to 128 letters, digits, '.', '_' or '-'", ann.Name)
	}
	if !namePattern.MatchString(ann.Service) {
		return errors.Newf("service %q must be 1 to 128 letters, digits, '.', '_' or '-'", ann.Service)
	}
	if ap, err := netip.ParseAddrPort(ann.Address); err != nil || ap.Port() == 0 {
		return errors.Newf("address %q must be an IP number and a port", ann.Address)
	}
	if ann.Slots < 0 || ann.Slots > maxSlots || ann.Connections < 0 || ann.Connections > maxSlots {
		return errors.Newf("slots and connections must be from 0 to %d", maxSlots)
	}
	if ttlMs < minTTL.Milliseconds() || ttlMs > maxTTL.Milliseconds() {
		return errors.Newf("ttl_ms must be from %d to %d", minTTL.Milliseconds(), maxTTL.Milliseconds())
	}
	return nil
}

// deleteTarget makes a target leave. It answers 200 with nothing in progress and
// 202 otherwise; the target asks again until it may stop.
func (a *Agent) deleteTarget(w http.ResponseWriter, _ *http.Request, p httprouter.Params) {
	name := p.ByName("name")
	var inFlight int
	var known bool
	a.updateGate(func(g *gate.Gate) { inFlight, known = g.Withdraw(a.now(), name) })
	if !known {
		writeError(w, http.StatusNotFound, "no target "+name)
		return
	}
	a.log.Info("target leaving", zap.String("target", name), zap.Int("in_flight", inFlight))
	status := http.StatusOK
	if inFlight > 0 {
		status = http.StatusAccepted
	}
	writeJSON(w, status, struct {
		InFlight int `json:"in_flight"`
	}{inFlight})
}

func (a *Agent) getTargets(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	a.mu.Lock()
	infos := a.gate.Targets(a.now())
	a.mu.Unlock()
	list := make([]targetStatus, 0, len(infos))
	for _, t := range infos {
		list = append(list, targetStatus{t.Name, t.Service, t.Slots, t.Connections, t.Leaving, t.Load.InFlight})
	}
	writeJSON(w, http.StatusOK, list)
}

// getReady says whether the agent would take a dispatch: it must not be shutting down
// and must have heard of a configuration within the staleness bound.
func (a *Agent) getReady(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	a.mu.Lock()
	retiring, age := a.gate.Retiring(), a.now().Sub(a.gate.ConfirmedAt())
	a.mu.Unlock()
	switch {
	case retiring:
		writeError(w, http.StatusServiceUnavailable, "shutting down")
	case age > a.settings.StalenessBound.Duration:
		writeError(w, http.StatusServiceUnavailable, "configuration was not confirmed within the staleness bound")
	default:
		writeJSON(w, http.StatusOK, "ready")
	}
}

func writeError(w http.ResponseWriter, status int, message string) {
	writeJSON(w, status, errorBody{Error: message})
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

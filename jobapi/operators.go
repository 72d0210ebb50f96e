package jobapi

import (
	"context"
	"net/http"
	"slices"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/julienschmidt/httprouter"

	apiv1 "github.com/cairnlift/cairnlift/api/v1"
	"github.com/cairnlift/cairnlift/cordon"
	"github.com/cairnlift/cairnlift/jobqueue"
)

func (h handler) putWave(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	wave := &apiv1.MaintenanceWave{}
	if !decodeValid(w, r, wave, func() error { return jobqueue.ValidateWave(wave) }) {
		return
	}
	outcome, err := h.PutWave(r.Context(), wave)
	writeOutcome(w, outcome, err)
}

func (h handler) getWave(w http.ResponseWriter, r *http.Request, p httprouter.Params) {
	number, err := strconv.ParseUint(p.ByName("number"), 10, 64)
	if err != nil {
		writeError(w, http.StatusBadRequest, p.ByName("number")+" is not a wave number")
		return
	}
	resp, err := h.Read(r.Context(), &apiv1.JobsReadRequest{Kind: apiv1.JobsReadKind_JOBS_READ_KIND_WAVE, Wave: number})
	if readSucceeded(w, resp, err) {
		writeMessage(w, resp.Wave)
	}
}

func (h handler) getHosts(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	if resp, err := h.readHosts(r.Context()); readSucceeded(w, resp, err) {
		writeMessage(w, &apiv1.JobsReadResponse{Hosts: resp.Hosts})
	}
}

func (h handler) readHosts(ctx context.Context) (*apiv1.JobsReadResponse, error) {
	return h.Read(ctx, &apiv1.JobsReadRequest{Kind: apiv1.JobsReadKind_JOBS_READ_KIND_HOSTS})
}

// moveHost first checks that the platform lists the host, because the log does not contain hosts
// without a worker.
func (h handler) moveHost(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	move := &apiv1.RequestMove{}
	check := func() error {
		if move.Host == "" || move.Pool == "" {
			return errors.New("a move requires a host and a pool")
		}
		return nil
	}
	if !decodeValid(w, r, move, check) {
		return
	}
	resp, err := h.readHosts(r.Context())
	if !readSucceeded(w, resp, err) {
		return
	}
	if !slices.ContainsFunc(resp.Hosts, func(listed *apiv1.HostRecord) bool { return listed.Host == move.Host }) {
		writeError(w, http.StatusNotFound, "there is no host "+strconv.Quote(move.Host))
		return
	}
	outcome, err := h.RequestMove(r.Context(), move)
	writeOutcome(w, outcome, err)
}

func (h handler) getZones(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	resp, err := h.Read(r.Context(), &apiv1.JobsReadRequest{Kind: apiv1.JobsReadKind_JOBS_READ_KIND_ZONES})
	if readSucceeded(w, resp, err) {
		writeMessage(w, &apiv1.JobsReadResponse{Zones: resp.Zones})
	}
}

func (h handler) getWorkers(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	resp, err := h.Read(r.Context(), &apiv1.JobsReadRequest{Kind: apiv1.JobsReadKind_JOBS_READ_KIND_WORKERS})
	if readSucceeded(w, resp, err) {
		writeMessage(w, &apiv1.JobsReadResponse{Workers: resp.Workers, WorkersRated: resp.WorkersRated})
	}
}

// orderZone returns the handler that cordons or uncordons an availability zone.
func (h handler) orderZone(cordoned bool) httprouter.Handle {
	return func(w http.ResponseWriter, r *http.Request, p httprouter.Params) {
		order := cordon.Order{Zone: p.ByName("zone"), Cordoned: cordoned, Operator: r.URL.Query().Get("operator")}
		outcome, err := h.OrderZone(r.Context(), order)
		writeOutcome(w, outcome, err)
	}
}

func (h handler) getHolds(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	resp, err := h.Read(r.Context(), &apiv1.JobsReadRequest{Kind: apiv1.JobsReadKind_JOBS_READ_KIND_QUEUES})
	if readSucceeded(w, resp, err) {
		writeMessage(w, &apiv1.JobsReadResponse{Queues: resp.Queues})
	}
}

func (h handler) getAccounts(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	resp, err := h.Read(r.Context(), &apiv1.JobsReadRequest{Kind: apiv1.JobsReadKind_JOBS_READ_KIND_ACCOUNTS})
	if readSucceeded(w, resp, err) {
		writeMessage(w, &apiv1.JobsReadResponse{Accounts: resp.Accounts})
	}
}

// orderQueue holds or releases a queue. Its name may contain slashes.
func (h handler) orderQueue(w http.ResponseWriter, r *http.Request, p httprouter.Params) {
	path := strings.TrimPrefix(p.ByName("order"), "/")
	name, held := strings.CutSuffix(path, holdPath)
	if !held {
		var released bool
		if name, released = strings.CutSuffix(path, releasePath); !released {
			writeError(w, http.StatusNotFound, "an order about a queue ends with "+holdPath+" or "+releasePath)
			return
		}
	}
	order := cordon.QueueOrder{Queue: name, Held: held, Operator: r.URL.Query().Get("operator")}
	outcome, err := h.OrderQueue(r.Context(), order)
	writeOutcome(w, outcome, err)
}

func (h handler) prioritize(w http.ResponseWriter, r *http.Request, p httprouter.Params) {
	outcome, err := h.PrioritizeJob(r.Context(), p.ByName("id"), r.URL.Query().Get("operator"))
	writeOutcome(w, outcome, err)
}

// Package jobapi is the HTTP interface of queues and submitted jobs, and its
// client. Bodies are JSON, in the names of the messages of api/v1 (jobs.proto).
//
//	PUT    /v1/queues              a QueueConfiguration; the highest version is in force
//	GET    /v1/queues              the one in force, as it was submitted
//	POST   /v1/jobs                a JobSpec; the same id is the same job
//	GET    /v1/jobs?host=&path=    the state of a job, or what waits in a queue
//	DELETE /v1/jobs?host=&path=    cancels a job
//	GET    /v1/explanations/ID     a JobExplanation: the job's tasks, runs and waits
//	POST   /v1/waves               a MaintenanceWave; the same number is the same wave
//	GET    /v1/waves/NUMBER        how far its hosts are, a WaveRecord
//	GET    /v1/hosts               all hosts, JobsReadResponse.hosts
//	POST   /v1/hosts/move          a RequestMove; the same again is the same move
//
// 503 says that nothing was done and never will be, with Retry-After; 504 that it is
// not known what became of the request, which may be sent again.
package jobapi

import (
	"context"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/julienschmidt/httprouter"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"

	apiv1 "github.com/cairnlift/cairnlift/api/v1"
	"github.com/cairnlift/cairnlift/control"
	"github.com/cairnlift/cairnlift/jobqueue"
)

const (
	queuesPath = "/v1/queues"
	jobsPath   = "/v1/jobs"
	wavesPath  = "/v1/waves"
	// explanationsPath is apart from jobsPath, below which the administration API explains
	// the jobs of the operators' text.
	explanationsPath = "/v1/explanations"
	hostsPath        = "/v1/hosts"
	movePath         = "/move"
	// maxBody bounds a request's body in bytes.
	maxBody = 8 << 20
	// requestTimeout bounds a request: two elections and some.
	requestTimeout = 5 * time.Second
	retryAfter     = time.Second
)

// Backend is the control group; *jobclient.Client implements it.
type Backend interface {
	PutQueues(ctx context.Context, c *apiv1.QueueConfiguration) (apiv1.JobOutcome, error)
	Submit(ctx context.Context, spec *apiv1.JobSpec) (apiv1.JobOutcome, error)
	Cancel(ctx context.Context, host, path, id string) (apiv1.JobOutcome, error)
	PutWave(ctx context.Context, w *apiv1.MaintenanceWave) (apiv1.JobOutcome, error)
	RequestMove(ctx context.Context, r *apiv1.RequestMove) (apiv1.JobOutcome, error)
	Read(ctx context.Context, r *apiv1.JobsReadRequest) (*apiv1.JobsReadResponse, error)
}

// Status is the answer to a read.
type Status struct {
	// State of a job: queued, running, succeeded, failed or canceled.
	State string `json:"state,omitempty"`
	// Pending jobs of a queue.
	Pending *uint32 `json:"pending,omitempty"`
}

// Paths lists the patterns of http.ServeMux that the handler serves. What is below the
// path of the jobs is the administration API's.
func Paths() []string {
	return []string{queuesPath, jobsPath, explanationsPath + "/", wavesPath, wavesPath + "/", hostsPath, hostsPath + "/"}
}

// Handler serves the interface.
func Handler(b Backend) http.Handler {
	h := handler{b}
	r := httprouter.New()
	r.PUT(queuesPath, h.putQueues)
	r.GET(queuesPath, h.getQueues)
	r.POST(jobsPath, h.submit)
	r.GET(jobsPath, h.read)
	r.DELETE(jobsPath, h.cancel)
	r.GET(explanationsPath+"/:id", h.explain)
	r.POST(wavesPath, h.putWave)
	r.GET(wavesPath+"/:number", h.getWave)
	r.GET(hostsPath, h.getHosts)
	r.POST(hostsPath+movePath, h.moveHost)
	return http.TimeoutHandler(http.MaxBytesHandler(r, maxBody), requestTimeout+time.Second, "timeout")
}

type handler struct{ Backend }

// decode reads a message; unknown fields are refused, since they are mistakes.
func decode(r *http.Request, m proto.Message) error {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return errors.Wrap(err, "body")
	}
	return errors.Wrap(protojson.Unmarshal(body, m), "body")
}

// decodeValid reads and checks a message; a mistake is answered and false returned.
func decodeValid(w http.ResponseWriter, r *http.Request, m proto.Message, check func() error) bool {
	err := decode(r, m)
	if err == nil {
		err = check()
	}
	if err != nil {
		writeError(w, http.StatusBadRequest, err.Error())
	}
	return err == nil
}

func (h handler) putQueues(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	c := &apiv1.QueueConfiguration{}
	if !decodeValid(w, r, c, func() error { return jobqueue.Validate(c) }) {
		return
	}
	if len(c.Document) == 0 {
		var err error
		if c.Document, err = protojson.Marshal(c); err != nil {
			writeError(w, http.StatusBadRequest, err.Error())
			return
		}
	}
	ctx, cancel := context.WithTimeout(r.Context(), requestTimeout)
	defer cancel()
	outcome, err := h.PutQueues(ctx, c)
	writeOutcome(w, outcome, err)
}

func (h handler) getQueues(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	ctx, cancel := context.WithTimeout(r.Context(), requestTimeout)
	defer cancel()
	resp, err := h.Read(ctx, &apiv1.JobsReadRequest{Kind: apiv1.JobsReadKind_JOBS_READ_KIND_CONFIGURATION})
	if err != nil || resp.Outcome != apiv1.JobOutcome_JOB_OUTCOME_OK {
		writeError(w, http.StatusServiceUnavailable, "the configuration in force is not known")
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(resp.Document) // a reader that is gone needs no answer
}

func (h handler) submit(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	spec := &apiv1.JobSpec{}
	if !decodeValid(w, r, spec, func() error { return jobqueue.ValidateJob(spec) }) {
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), requestTimeout)
	defer cancel()
	outcome, err := h.Submit(ctx, spec)
	writeOutcome(w, outcome, err)
}

// requestedJob is the job or queue that a request names.
func requestedJob(r *http.Request) (host, path, id string) {
	q := r.URL.Query()
	host, path = q.Get("host"), q.Get("path")
	return host, path, path[strings.LastIndexByte(path, '/')+1:]
}

func (h handler) read(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	ctx, cancel := context.WithTimeout(r.Context(), requestTimeout)
	defer cancel()
	host, path, id := requestedJob(r)
	q := &apiv1.JobsReadRequest{Kind: apiv1.JobsReadKind_JOBS_READ_KIND_JOB, Host: host, Path: path, Id: id}
	if id == "" {
		q.Kind = apiv1.JobsReadKind_JOBS_READ_KIND_QUEUE
	}
	resp, err := h.Read(ctx, q)
	switch {
	case err != nil:
		writeError(w, http.StatusServiceUnavailable, err.Error())
	case resp.Outcome != apiv1.JobOutcome_JOB_OUTCOME_OK:
		writeOutcome(w, resp.Outcome, nil)
	case id == "":
		writeJSON(w, http.StatusOK, Status{Pending: &resp.Pending})
	default:
		writeJSON(w, http.StatusOK, Status{State: stateName(resp.State)})
	}
}

func stateName(s apiv1.JobState) string {
	return strings.ToLower(strings.TrimPrefix(s.String(), "JOB_STATE_"))
}

func (h handler) cancel(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	ctx, cancel := context.WithTimeout(r.Context(), requestTimeout)
	defer cancel()
	host, path, id := requestedJob(r)
	outcome, err := h.Cancel(ctx, host, path, id)
	writeOutcome(w, outcome, err)
}

func (h handler) explain(w http.ResponseWriter, r *http.Request, p httprouter.Params) {
	ctx, cancel := context.WithTimeout(r.Context(), requestTimeout)
	defer cancel()
	resp, err := h.Read(ctx, &apiv1.JobsReadRequest{
		Kind: apiv1.JobsReadKind_JOBS_READ_KIND_EXPLANATION, Id: p.ByName("id"),
	})
	if readSucceeded(w, resp, err) {
		writeMessage(w, resp.Explanation)
	}
}

// readSucceeded reports whether a read found what it asked for; else it is answered.
func readSucceeded(w http.ResponseWriter, resp *apiv1.JobsReadResponse, err error) bool {
	switch {
	case err != nil:
		writeError(w, http.StatusServiceUnavailable, err.Error())
	case resp.Outcome != apiv1.JobOutcome_JOB_OUTCOME_OK:
		writeOutcome(w, resp.Outcome, nil)
	default:
		return true
	}
	return false
}

func (h handler) putWave(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	wave := &apiv1.MaintenanceWave{}
	if !decodeValid(w, r, wave, func() error { return jobqueue.ValidateWave(wave) }) {
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), requestTimeout)
	defer cancel()
	outcome, err := h.PutWave(ctx, wave)
	writeOutcome(w, outcome, err)
}

func (h handler) getWave(w http.ResponseWriter, r *http.Request, p httprouter.Params) {
	number, err := strconv.ParseUint(p.ByName("number"), 10, 64)
	if err != nil {
		writeError(w, http.StatusBadRequest, p.ByName("number")+" is no number of a wave")
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), requestTimeout)
	defer cancel()
	resp, err := h.Read(ctx, &apiv1.JobsReadRequest{Kind: apiv1.JobsReadKind_JOBS_READ_KIND_WAVE, Wave: number})
	if readSucceeded(w, resp, err) {
		writeMessage(w, resp.Wave)
	}
}

func (h handler) getHosts(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	ctx, cancel := context.WithTimeout(r.Context(), requestTimeout)
	defer cancel()
	if resp, err := h.readHosts(ctx); readSucceeded(w, resp, err) {
		writeMessage(w, &apiv1.JobsReadResponse{Hosts: resp.Hosts})
	}
}

func (h handler) readHosts(ctx context.Context) (*apiv1.JobsReadResponse, error) {
	return h.Read(ctx, &apiv1.JobsReadRequest{Kind: apiv1.JobsReadKind_JOBS_READ_KIND_HOSTS})
}

// moveHost looks the host up first: the log does not know hosts that have no worker.
func (h handler) moveHost(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	move := &apiv1.RequestMove{}
	check := func() error {
		if move.Host == "" || move.Pool == "" {
			return errors.New("a move needs a host and a pool")
		}
		return nil
	}
	if !decodeValid(w, r, move, check) {
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), requestTimeout)
	defer cancel()
	resp, err := h.readHosts(ctx)
	if !readSucceeded(w, resp, err) {
		return
	}
	if !slices.ContainsFunc(resp.Hosts, func(listed *apiv1.HostRecord) bool { return listed.Host == move.Host }) {
		writeError(w, http.StatusNotFound, "there is no host "+strconv.Quote(move.Host))
		return
	}
	outcome, err := h.RequestMove(ctx, move)
	writeOutcome(w, outcome, err)
}

// writeMessage answers with a message as JSON.
func writeMessage(w http.ResponseWriter, m proto.Message) {
	data, err := protojson.Marshal(m)
	if err != nil {
		writeError(w, http.StatusInternalServerError, err.Error())
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(data) // a reader that is gone needs no answer
}

// HTTPStatus is the HTTP status of an outcome and an error: 503 for what was not done
// and never will be, 504 for what is in doubt.
func HTTPStatus(o apiv1.JobOutcome, err error) int {
	var unavailable *control.UnavailableError
	switch {
	case errors.As(err, &unavailable):
		return http.StatusServiceUnavailable
	case err != nil:
		return http.StatusGatewayTimeout
	}
	switch o {
	case apiv1.JobOutcome_JOB_OUTCOME_OK:
		return http.StatusOK
	case apiv1.JobOutcome_JOB_OUTCOME_NO_QUEUE, apiv1.JobOutcome_JOB_OUTCOME_NO_WAVE, apiv1.JobOutcome_JOB_OUTCOME_NO_POOL:
		return http.StatusNotFound
	case apiv1.JobOutcome_JOB_OUTCOME_CONFLICT:
		return http.StatusConflict
	case apiv1.JobOutcome_JOB_OUTCOME_NO_HOSTS:
		return http.StatusNotImplemented
	case apiv1.JobOutcome_JOB_OUTCOME_NO_JOB:
		return http.StatusGone
	case apiv1.JobOutcome_JOB_OUTCOME_INVALID:
		return http.StatusBadRequest
	}
	return http.StatusServiceUnavailable
}

// outcomeMessages explain what an outcome's name does not.
var outcomeMessages = map[apiv1.JobOutcome]string{
	apiv1.JobOutcome_JOB_OUTCOME_NO_POOL:  "the configuration in force has no such pool",
	apiv1.JobOutcome_JOB_OUTCOME_CONFLICT: "the host is in a maintenance wave or on another move, or was moved a moment ago",
	apiv1.JobOutcome_JOB_OUTCOME_NO_HOSTS: "this deployment has no interface to its hosts",
}

func writeOutcome(w http.ResponseWriter, o apiv1.JobOutcome, err error) {
	status := HTTPStatus(o, err)
	if status == http.StatusServiceUnavailable {
		w.Header().Set("Retry-After", strconv.Itoa(int(retryAfter/time.Second)))
	}
	if status == http.StatusOK {
		writeJSON(w, status, struct{}{})
		return
	}
	message, known := outcomeMessages[o]
	if !known {
		message = o.String()
	}
	if err != nil {
		message = err.Error()
	}
	writeError(w, status, message)
}

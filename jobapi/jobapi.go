// Package jobapi implements the HTTP API of queues and submitted jobs, and its client.
// Bodies are JSON encodings of the messages in api/v1 (jobs.proto).
//
//	PUT    /v1/queues              submits a QueueConfiguration; the highest version is in effect
//	GET    /v1/queues              returns the configuration in effect as it was submitted
//	POST   /v1/queues/NAME/hold    holds a queue: none of its tasks starts; ?operator= names the sender
//	POST   /v1/queues/NAME/release withdraws that
//	GET    /v1/holds               returns the holds of all queues as JobsReadResponse.queues
//	GET    /v1/accounts            returns the client accounts as JobsReadResponse.accounts
//	POST   /v1/jobs                submits a JobSpec; idempotent by ID
//	POST   /v1/jobs/ID/prioritize  puts a job before the others of its priority; ?operator= names the sender
//	GET    /v1/jobs?host=&path=    returns the state of a job, or the pending jobs of a queue
//	DELETE /v1/jobs?host=&path=    cancels a job
//	GET    /v1/explanations/ID     returns a JobExplanation: the job's tasks, runs and waits
//	POST   /v1/waves               submits a MaintenanceWave; idempotent by number
//	GET    /v1/waves/NUMBER        returns the progress of the wave's hosts as a WaveRecord
//	GET    /v1/hosts               returns all hosts as JobsReadResponse.hosts
//	POST   /v1/hosts/move          submits a RequestMove; idempotent
//	GET    /v1/zones               returns all availability zones as JobsReadResponse.zones
//	POST   /v1/zones/ZONE/cordon   cordons an availability zone; ?operator= names the sender
//	POST   /v1/zones/ZONE/uncordon withdraws that
//
// Status 503, with Retry-After, means that the request was not executed and never will be; it says nothing
// about an earlier request for the same job. Status 429 means the same of a job whose client account or
// queue is at a limit, or that was not accepted under the load; in the second case the caller may return
// after Retry-After.
// Status 504 means that its outcome is unknown; the request may be sent again.
package jobapi

import (
	"context"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/julienschmidt/httprouter"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"

	apiv1 "github.com/cairnlift/cairnlift/api/v1"
	"github.com/cairnlift/cairnlift/cordon"
	"github.com/cairnlift/cairnlift/jobqueue"
)

const (
	queuesPath = "/v1/queues"
	jobsPath   = "/v1/jobs"
	wavesPath  = "/v1/waves"
	// explanationsPath is not below jobsPath, because the administration API uses paths below
	// jobsPath to explain the jobs in the operators' configuration text.
	explanationsPath = "/v1/explanations"
	hostsPath        = "/v1/hosts"
	movePath         = "/move"
	zonesPath        = "/v1/zones"
	workersPath      = "/v1/workers"
	cordonPath       = "/cordon"
	uncordonPath     = "/uncordon"
	accountsPath     = "/v1/accounts"
	holdsPath        = "/v1/holds"
	holdPath         = "/hold"
	releasePath      = "/release"
	prioritizePath   = "/prioritize"
	// maxBody bounds the body of a request or response in bytes.
	maxBody = 8 << 20
	// requestTimeout bounds a request. It is somewhat longer than two elections take.
	requestTimeout = 5 * time.Second
	// retryAfter is the delay before callers retry after a 503: an election takes about as long.
	retryAfter = time.Second
)

// Backend provides access to the control group. *jobclient.Client implements it but for the orders of
// OrderZone, OrderQueue and PrioritizeJob, which *cordon.Receiver does.
type Backend interface {
	PutQueues(ctx context.Context, c *apiv1.QueueConfiguration) (apiv1.JobOutcome, error)
	Submit(ctx context.Context, spec *apiv1.JobSpec) (apiv1.JobOutcome, error)
	Cancel(ctx context.Context, host, path, id string) (apiv1.JobOutcome, error)
	PutWave(ctx context.Context, w *apiv1.MaintenanceWave) (apiv1.JobOutcome, error)
	RequestMove(ctx context.Context, r *apiv1.RequestMove) (apiv1.JobOutcome, error)
	OrderZone(ctx context.Context, o cordon.Order) (apiv1.JobOutcome, error)
	OrderQueue(ctx context.Context, o cordon.QueueOrder) (apiv1.JobOutcome, error)
	PrioritizeJob(ctx context.Context, id, operator string) (apiv1.JobOutcome, error)
	Read(ctx context.Context, r *apiv1.JobsReadRequest) (*apiv1.JobsReadResponse, error)
}

// Status is the response to a read.
type Status struct {
	// State is the state of a job: queued, running, succeeded, failed or canceled.
	State string `json:"state,omitempty"`
	// Pending is the number of pending jobs of a queue.
	Pending *uint32 `json:"pending,omitempty"`
}

// Paths returns the http.ServeMux patterns that the handler serves. The other paths below jobsPath belong
// to the administration API.
func Paths() []string {
	return []string{queuesPath, queuesPath + "/", holdsPath, accountsPath, jobsPath, "POST " + jobsPath + "/{id}" + prioritizePath,
		explanationsPath + "/", wavesPath, wavesPath + "/", hostsPath, hostsPath + "/", zonesPath, zonesPath + "/", workersPath}
}

// Handler returns a handler that serves the API and leaves the accounts of submitted jobs empty.
func Handler(b Backend) http.Handler { return HandlerWithAccounts(b, Accounts{}) }

// HandlerWithAccounts returns a handler that serves the API.
func HandlerWithAccounts(b Backend, a Accounts) http.Handler {
	h := handler{b, a}
	r := httprouter.New()
	r.PUT(queuesPath, h.putQueues)
	r.GET(queuesPath, h.getQueues)
	r.POST(queuesPath+"/*order", h.orderQueue)
	r.GET(holdsPath, h.getHolds)
	r.GET(accountsPath, h.getAccounts)
	r.POST(jobsPath, h.submit)
	r.POST(jobsPath+"/:id"+prioritizePath, h.prioritize)
	r.GET(jobsPath, h.read)
	r.DELETE(jobsPath, h.cancel)
	r.GET(explanationsPath+"/:id", h.explain)
	r.POST(wavesPath, h.putWave)
	r.GET(wavesPath+"/:number", h.getWave)
	r.GET(hostsPath, h.getHosts)
	r.POST(hostsPath+movePath, h.moveHost)
	r.GET(zonesPath, h.getZones)
	r.GET(workersPath, h.getWorkers)
	r.POST(zonesPath+"/:zone"+cordonPath, h.orderZone(true))
	r.POST(zonesPath+"/:zone"+uncordonPath, h.orderZone(false))
	return http.TimeoutHandler(withDeadline(http.MaxBytesHandler(r, maxBody)), requestTimeout+time.Second, "timeout")
}

// withDeadline bounds the context of a request from its head on. When the TimeoutHandler answers 503, a request
// whose body was slow must not have been sent.
func withDeadline(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		ctx, cancel := context.WithTimeout(r.Context(), requestTimeout)
		defer cancel()
		h.ServeHTTP(w, r.WithContext(ctx))
	})
}

type handler struct {
	Backend
	accounts Accounts
}

// decode reads a message from a request body. Unknown fields are refused, because they indicate a
// mistake by the client.
func decode(r *http.Request, m proto.Message) error {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return errors.Wrap(err, "body")
	}
	return errors.Wrap(protojson.Unmarshal(body, m), "body")
}

// decodeValid reads and validates a message. If it is invalid, decodeValid writes an error response
// and returns false.
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
	outcome, err := h.PutQueues(r.Context(), c)
	writeOutcome(w, outcome, err)
}

func (h handler) getQueues(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	resp, err := h.Read(r.Context(), &apiv1.JobsReadRequest{Kind: apiv1.JobsReadKind_JOBS_READ_KIND_CONFIGURATION})
	if err != nil || resp.Outcome != apiv1.JobOutcome_JOB_OUTCOME_OK {
		writeError(w, http.StatusServiceUnavailable, "the configuration in effect is unknown")
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(resp.Document) // a client that has disconnected needs no response
}

func (h handler) submit(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	spec := &apiv1.JobSpec{}
	if !decodeValid(w, r, spec, func() error { return h.accounts.checkJob(r, spec) }) {
		return
	}
	outcome, err := h.Submit(r.Context(), spec)
	h.accounts.Count(spec.Account, outcome, err)
	writeOutcome(w, outcome, err)
}

// requestedJob returns the job or queue that a request names; id is empty for a queue.
func requestedJob(r *http.Request) (host, path, id string) {
	q := r.URL.Query()
	host, path = q.Get("host"), q.Get("path")
	return host, path, path[strings.LastIndexByte(path, '/')+1:]
}

func (h handler) read(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	host, path, id := requestedJob(r)
	q := &apiv1.JobsReadRequest{Kind: apiv1.JobsReadKind_JOBS_READ_KIND_JOB, Host: host, Path: path, Id: id}
	if id == "" {
		q.Kind = apiv1.JobsReadKind_JOBS_READ_KIND_QUEUE
	}
	resp, err := h.Read(r.Context(), q)
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
	host, path, id := requestedJob(r)
	outcome, err := h.Cancel(r.Context(), host, path, id)
	writeOutcome(w, outcome, err)
}

func (h handler) explain(w http.ResponseWriter, r *http.Request, p httprouter.Params) {
	resp, err := h.Read(r.Context(), &apiv1.JobsReadRequest{
		Kind: apiv1.JobsReadKind_JOBS_READ_KIND_EXPLANATION, Id: p.ByName("id"),
	})
	if readSucceeded(w, resp, err) {
		writeMessage(w, resp.Explanation)
	}
}

// readSucceeded reports whether a read found what was requested; otherwise it writes an error
// response.
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

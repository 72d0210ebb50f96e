// Package admin implements the administration API: the HTTP handler that an entry serves on
// its admin address, and the client. The API is JSON over HTTP; the health checks and the
// metrics are plain text.
package admin

import (
	"context"
	"net/http"
	"time"

	"github.com/julienschmidt/httprouter"
	"github.com/rcrowley/go-metrics"

	apiv1 "github.com/cairnlift/cairnlift/api/v1"
	"github.com/cairnlift/cairnlift/spec"
)

// Limits of the API.
const (
	// maxTextBodyBytes leaves space for the escape sequences that JSON adds to a text.
	maxTextBodyBytes = 2*spec.MaxTextBytes + 1<<16
	maxBodyBytes     = 1 << 20
	// maxConcurrentRequests excludes requests with a text and watches, which have their
	// own limits: maxConcurrentTexts and maxConcurrentWatches.
	maxConcurrentRequests = 64
	maxConcurrentTexts    = 4
	maxConcurrentWatches  = 256
	requestTimeout        = 15 * time.Second
	maxWatchWait          = 50 * time.Second
	defaultWatchWait      = 30 * time.Second
	maxCanceledJobs       = 10_000
	maxNameBytes          = 256
	maxDecisions          = 1_000
)

// Backend executes the requests of the API. Its errors are *Error, *control.UnavailableError
// or *control.UnknownError; the API reports any other error as an unknown outcome.
type Backend interface {
	// Propose commits a command, like control.Service.
	Propose(ctx context.Context, cmd *apiv1.Command) (*apiv1.Result, error)
	// Configuration returns the newest configuration known to this process; version 0 if
	// there is none.
	Configuration() *apiv1.Configuration
	// Changed returns a channel that is closed at the next configuration change.
	Changed() <-chan struct{}
	// Ready returns nil while the process accepts new work, otherwise the reason.
	Ready() error
	// Status returns the named sections, or all of them if none is named.
	Status(ctx context.Context, sections []string) (*Status, error)
	Explain(ctx context.Context, job string) (*Explanation, error)
	Drain(ctx context.Context, r DrainRequest) (*DrainResponse, error)
	Members(ctx context.Context) (*MemberList, error)
	// AddMember adds a replica to the control group, as a learner first. Adding a member
	// again with the same address has no effect.
	AddMember(ctx context.Context, m Member) error
	// RemoveMember removes a replica from the control group. Removing a replica that is
	// not a member has no effect.
	RemoveMember(ctx context.Context, name string) error
	Decisions(ctx context.Context, q DecisionQuery) (*DecisionList, error)
}

type handler struct {
	backend      Backend
	registry     metrics.Registry
	requestSlots chan struct{}
	textSlots    chan struct{}
	watchSlots   chan struct{}
}

// Handler returns the HTTP handler of the API. It exposes the registry's metrics at /metrics.
func Handler(b Backend, registry metrics.Registry) http.Handler {
	h := &handler{
		backend:      b,
		registry:     registry,
		requestSlots: make(chan struct{}, maxConcurrentRequests),
		textSlots:    make(chan struct{}, maxConcurrentTexts),
		watchSlots:   make(chan struct{}, maxConcurrentWatches),
	}
	r := httprouter.New()
	r.GET("/livez", h.live)
	r.GET("/readyz", h.ready)
	r.GET("/metrics", h.metrics)
	r.GET("/v1/configuration", withLimits(h.requestSlots, h.configuration))
	r.GET("/v1/watch", h.watch)
	r.GET("/v1/status", withLimits(h.requestSlots, h.status))
	r.GET("/v1/jobs/:job/explanation", withLimits(h.requestSlots, h.explain))
	r.GET("/v1/members", withLimits(h.requestSlots, h.members))
	r.GET("/v1/decisions", withLimits(h.requestSlots, h.decisions))
	r.POST("/v1/submissions", withLimits(h.textSlots, h.submit))
	r.POST("/v1/validations", withLimits(h.textSlots, h.validate))
	r.POST("/v1/drains", withLimits(h.requestSlots, h.drain))
	r.POST("/v1/cancellations", withLimits(h.requestSlots, h.cancel))
	r.POST("/v1/members", withLimits(h.requestSlots, h.addMember))
	r.DELETE("/v1/members/:name", withLimits(h.requestSlots, h.removeMember))
	r.NotFound = http.HandlerFunc(notFound)
	r.MethodNotAllowed = http.HandlerFunc(notFound)
	return r
}

func notFound(w http.ResponseWriter, r *http.Request) {
	writeError(w, Errorf(CodeNotFound, "there is no %s %.200q", r.Method, r.URL.Path))
}

// jsonEndpoint handles one request and returns the value that is encoded as the JSON body of
// the response.
type jsonEndpoint func(r *http.Request, p httprouter.Params) (any, error)

// withLimits limits the number of concurrent requests to the capacity of slots, and the
// duration of each request to requestTimeout. Without the limit on concurrency, a burst of
// large texts would exhaust the memory.
func withLimits(slots chan struct{}, endpoint jsonEndpoint) httprouter.Handle {
	return func(w http.ResponseWriter, r *http.Request, p httprouter.Params) {
		select {
		case slots <- struct{}{}:
			defer func() { <-slots }()
		default:
			writeError(w, overloadedError())
			return
		}
		ctx, cancel := context.WithTimeout(r.Context(), requestTimeout)
		defer cancel()
		respond(w, r.WithContext(ctx), p, endpoint)
	}
}

func overloadedError() *Error {
	e := Errorf(CodeOverloaded, "too many concurrent requests")
	e.RetryAfterMs = defaultRetryAfter.Milliseconds()
	return e
}

func respond(w http.ResponseWriter, r *http.Request, p httprouter.Params, endpoint jsonEndpoint) {
	body, err := endpoint(r, p)
	if err != nil {
		writeError(w, toAPIError(err))
		return
	}
	writeJSON(w, http.StatusOK, body)
}

// Package admin is the administration API: its HTTP handler on the entry's admin
// address, and its client. The API is JSON over HTTP; the probes and the metrics
// are plain text.
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

// Bounds of the API.
const (
	// maxTextBodyBytes leaves room for the escapes that JSON adds to a text.
	maxTextBodyBytes = 2*spec.MaxTextBytes + 1<<16
	maxBodyBytes     = 1 << 20
	// maxConcurrentRequests requests are worked on at a time, those with a text and
	// watches not counted: they have bounds of their own.
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

// Backend is what the API works on. Errors are *Error, *control.UnavailableError
// or *control.UnknownError; any other is answered as an unknown outcome.
type Backend interface {
	// Propose commits a command, as control.Service does.
	Propose(ctx context.Context, cmd *apiv1.Command) (*apiv1.Result, error)
	// Configuration returns the newest configuration known here; version 0 when none.
	Configuration() *apiv1.Configuration
	// Changed returns a channel that is closed at the next configuration change.
	Changed() <-chan struct{}
	// Ready returns nil while the process takes new work, else the reason.
	Ready() error
	// Status returns the named sections, all of them when none is named.
	Status(ctx context.Context, sections []string) (*Status, error)
	Explain(ctx context.Context, job string) (*Explanation, error)
	Drain(ctx context.Context, r DrainRequest) (*DrainResponse, error)
	Members(ctx context.Context) (*MemberList, error)
	// AddMember takes a replica in, as a learner first. Adding one that is there
	// under the same address changes nothing.
	AddMember(ctx context.Context, m Member) error
	// RemoveMember takes a replica out. Removing an absent one changes nothing.
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

// Handler serves the API. The registry's metrics are shown at /metrics.
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

// jsonEndpoint answers one request with a value that becomes its JSON body.
type jsonEndpoint func(r *http.Request, p httprouter.Params) (any, error)

// withLimits bounds how many requests are worked on at a time and how long each
// may take. Without the first bound a burst of large texts would exhaust memory.
func withLimits(places chan struct{}, do jsonEndpoint) httprouter.Handle {
	return func(w http.ResponseWriter, r *http.Request, p httprouter.Params) {
		select {
		case places <- struct{}{}:
			defer func() { <-places }()
		default:
			writeError(w, overloadedError())
			return
		}
		ctx, cancel := context.WithTimeout(r.Context(), requestTimeout)
		defer cancel()
		respond(w, r.WithContext(ctx), p, do)
	}
}

func overloadedError() *Error {
	e := Errorf(CodeOverloaded, "too many requests at a time")
	e.RetryAfterMs = defaultRetryAfter.Milliseconds()
	return e
}

func respond(w http.ResponseWriter, r *http.Request, p httprouter.Params, do jsonEndpoint) {
	body, err := do(r, p)
	if err != nil {
		writeError(w, toAPIError(err))
		return
	}
	writeJSON(w, http.StatusOK, body)
}

package admin

import (
	"context"
	"math"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/julienschmidt/httprouter"

	"github.com/cairnlift/cairnlift/metricstext"
)

var statusSections = []string{SectionProcesses, SectionWorkers, SectionTargets, SectionJobs}

func (h *handler) live(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	writeText(w, http.StatusOK, "ok\n")
}

func (h *handler) ready(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	if err := h.backend.Ready(); err != nil {
		writeText(w, http.StatusServiceUnavailable, "not ready: "+err.Error()+"\n")
		return
	}
	writeText(w, http.StatusOK, "ok\n")
}

func (h *handler) metrics(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	writeText(w, http.StatusOK, metricstext.Format(h.registry))
}

func (h *handler) configuration(*http.Request, httprouter.Params) (any, error) {
	c := h.backend.Configuration()
	return &Configuration{Version: c.GetVersion(), Digest: c.GetTextDigest(), Text: c.GetText()}, nil
}

func (h *handler) status(r *http.Request, _ httprouter.Params) (any, error) {
	var selected []string
	if s := r.URL.Query().Get("sections"); s != "" {
		selected = strings.Split(s, ",")
	}
	for _, s := range selected {
		if !slices.Contains(statusSections, s) {
			return nil, Errorf(CodeBadRequest, "there is no section %.80q; there are %s", s, strings.Join(statusSections, ", "))
		}
	}
	return h.backend.Status(r.Context(), selected)
}

func (h *handler) explain(r *http.Request, p httprouter.Params) (any, error) {
	return h.backend.Explain(r.Context(), p.ByName("job"))
}

func (h *handler) members(r *http.Request, _ httprouter.Params) (any, error) {
	return h.backend.Members(r.Context())
}

func (h *handler) decisions(r *http.Request, _ httprouter.Params) (any, error) {
	const defaultLimit = 50
	limit, err := queryInt(r, "limit", maxDecisions, defaultLimit)
	if err != nil {
		return nil, err
	}
	q := r.URL.Query()
	return h.backend.Decisions(r.Context(), DecisionQuery{Part: q.Get("part"), Subject: q.Get("subject"), Limit: int(limit)})
}

// watch responds when there is a configuration newer than the version in the query, or when the
// wait time has elapsed. Watches have a separate limit on concurrency, so that long watches
// don't block submissions of other operators.
func (h *handler) watch(w http.ResponseWriter, r *http.Request, p httprouter.Params) {
	select {
	case h.watchSlots <- struct{}{}:
		defer func() { <-h.watchSlots }()
	default:
		writeError(w, overloadedError())
		return
	}
	respond(w, r, p, h.waitForNewer)
}

func (h *handler) waitForNewer(r *http.Request, _ httprouter.Params) (any, error) {
	after, err := queryInt(r, "after", math.MaxUint64, 0)
	if err != nil {
		return nil, err
	}
	wait, err := queryDuration(r, "wait", maxWatchWait, defaultWatchWait)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(r.Context(), wait)
	defer cancel()
	for {
		// The channel must be read before the configuration: a change between the two calls
		// then closes it.
		changed := h.backend.Changed()
		c := h.backend.Configuration()
		if c.GetVersion() > after {
			return &WatchResponse{Version: c.GetVersion(), Digest: c.GetTextDigest(), Changed: true}, nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return &WatchResponse{Version: c.GetVersion(), Digest: c.GetTextDigest()}, nil
		}
	}
}

func writeText(w http.ResponseWriter, status int, text string) {
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	w.WriteHeader(status)
	_, _ = w.Write([]byte(text)) // fails only if the client has disconnected
}

// NewServer returns an HTTP server with timeouts for the API. It closes the connection of a
// client that sends its request too slowly or does not read the response.
func NewServer(address string, h http.Handler) *http.Server {
	const (
		headerTimeout  = 5 * time.Second
		readTimeout    = 20 * time.Second
		idleTimeout    = 2 * time.Minute
		maxHeaderBytes = 16 << 10
	)
	return &http.Server{
		Addr:              address,
		Handler:           h,
		ReadHeaderTimeout: headerTimeout,
		ReadTimeout:       readTimeout,
		WriteTimeout:      maxWatchWait + readTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
	}
}

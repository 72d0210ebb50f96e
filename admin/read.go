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
	var wanted []string
	if s := r.URL.Query().Get("sections"); s != "" {
		wanted = strings.Split(s, ",")
	}
	for _, s := range wanted {
		if !slices.Contains(statusSections, s) {
			return nil, Errorf(CodeBadRequest, "there is no section %.80q; there are %s", s, strings.Join(statusSections, ", "))
		}
	}
	return h.backend.Status(r.Context(), wanted)
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

// watch answers once there is a configuration newer than the one in the query,
// or when its wait is over. Watches have a limit of their own: operators who
// watch must not keep others from submitting.
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
		// The channel is taken first: a change between the two calls closes it.
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
	_, _ = w.Write([]byte(text)) // a client that went away gets nothing
}

// NewServer returns a server with the API's timeouts. A client that sends its
// request byte by byte, or never reads its answer, is cut off.
func NewServer(address string, h http.Handler) *http.Server {
	const (
		headerBound = 5 * time.Second
		readBound   = 20 * time.Second
		idleBound   = 2 * time.Minute
		maxHeader   = 16 << 10
	)
	return &http.Server{
		Addr:              address,
		Handler:           h,
		ReadHeaderTimeout: headerBound,
		ReadTimeout:       readBound,
		WriteTimeout:      maxWatchWait + readBound,
		IdleTimeout:       idleBound,
		MaxHeaderBytes:    maxHeader,
	}
}

package fakes

import (
	"context"
	"encoding/json"
	"io"
	"math/rand"
	"net"
	"net/http"
	"os"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/julienschmidt/httprouter"
	"github.com/sourcegraph/conc"

	"github.com/cairnlift/cairnlift/worker"
)

const (
	targetShutdownGrace = 30 * time.Second
	// quietPeriod without a request follows a target's leave, so that requests
	// its agent let through just before are served.
	quietPeriod       = 200 * time.Millisecond
	drainPollInterval = 10 * time.Millisecond
)

// TargetConfig describes a stand-in target.
type TargetConfig struct {
	Announcement Announcement
	// Work is how long a request takes when it does not say itself.
	Work   time.Duration
	Faults TargetFaults
	Seed   int64
	// NoRecord is for measurements: requests are not recorded.
	NoRecord bool
}

// ExecutedRequest is one line of a target's record, written before the work begins.
// Equal request ids on several lines mean that the request ran several times.
type ExecutedRequest struct {
	Target    string        `json:"target"`
	CallerID  string        `json:"caller_id"`
	RequestID string        `json:"request_id"`
	Method    string        `json:"method"`
	URI       string        `json:"uri"`
	At        time.Duration `json:"at_ns"`
	// Process tells starts of a target apart.
	Process int `json:"process"`
	// Left marks the line that says when the agent took note that the target
	// leaves; it is no request.
	Left bool `json:"left,omitempty"`
}

// Target answers requests for one service.
type Target struct {
	cfg           TargetConfig
	record        *Recorder[ExecutedRequest]
	inFlight      atomic.Int64
	lastRequestAt atomic.Int64
	swap          swapper

	mu     sync.Mutex
	rng    *rand.Rand
	faults TargetFaults
}

// NewTarget returns a target.
func NewTarget(cfg TargetConfig, record *Recorder[ExecutedRequest]) *Target {
	return &Target{
		cfg:    cfg,
		record: record,
		rng:    rand.New(rand.NewSource(cfg.Seed)),
		faults: cfg.Faults,
	}
}

// Serve announces the target to its agent and answers on listener. When ctx
// ends it leaves: it takes its announcement back, finishes what its agent still
// sends, and returns.
func (t *Target) Serve(ctx context.Context, listener net.Listener, agent string) error {
	serving, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	var wg conc.WaitGroup
	defer wg.Wait()
	wg.Go(func() {
		defer stop()
		NewAnnouncer(agent, t.cfg.Announcement).Run(ctx, t.recordLeave)
		t.drain()
	})
	return serve(serving, listener, t.Handler(), targetShutdownGrace)
}

// recordLeave records that the agent has taken note of the leave.
func (t *Target) recordLeave() {
	t.record.Add(ExecutedRequest{Target: t.cfg.Announcement.Name, At: worker.Now(), Process: os.Getpid(), Left: true})
}

// drain waits until no request is in progress nor was seen lately.
func (t *Target) drain() {
	t.lastRequestAt.Store(int64(worker.Now()))
	for t.inFlight.Load() > 0 || worker.Now()-time.Duration(t.lastRequestAt.Load()) < quietPeriod {
		time.Sleep(drainPollInterval)
	}
}

// Handler returns the target's HTTP interface: PathTargetRecord and
// PathTargetFaults for tests, anything else is a request.
func (t *Target) Handler() http.Handler {
	r := httprouter.New()
	r.HandlerFunc(http.MethodGet, PathTargetRecord, t.serveRecord)
	r.HandlerFunc(http.MethodPut, PathTargetFaults, t.setFaults)
	r.HandleMethodNotAllowed = false
	r.NotFound = http.HandlerFunc(t.answer)
	return r
}

// Paths that the stand-in target keeps for tests.
const (
	PathTargetRecord = "/fake/record"
	PathTargetFaults = "/fake/faults"
)

func (t *Target) serveRecord(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, t.record.Values())
}

func (t *Target) setFaults(w http.ResponseWriter, r *http.Request) {
	var f TargetFaults
	if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.faults = f
}

func (t *Target) answer(w http.ResponseWriter, r *http.Request) {
	t.inFlight.Add(1)
	defer t.inFlight.Add(-1)
	t.lastRequestAt.Store(int64(worker.Now()))
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		http.Error(w, "the body is short", http.StatusBadRequest)
		return
	}
	t.recordRequest(r)
	t.work(r)
	size, _ := strconv.Atoi(r.Header.Get(HeaderAnswerBytes))
	whole := Answer(r.Header.Get(HeaderCallerID), r.Method, r.URL.RequestURI(), body, min(size, maxBodyBytes))
	t.respond(w, reply{requestID: r.Header.Get(HeaderRequestID), body: whole})
}

func (t *Target) recordRequest(r *http.Request) {
	if t.cfg.NoRecord {
		return
	}
	t.record.Add(ExecutedRequest{
		Target:    t.cfg.Announcement.Name,
		CallerID:  r.Header.Get(HeaderCallerID),
		RequestID: r.Header.Get(HeaderRequestID),
		Method:    r.Method,
		URI:       r.URL.RequestURI(),
		At:        worker.Now(),
		Process:   os.Getpid(),
	})
}

// work takes its time even when the caller is gone: work that has begun is not
// undone by a cut connection.
func (t *Target) work(r *http.Request) {
	d := t.cfg.Work
	if ms, err := strconv.Atoi(r.Header.Get(HeaderWorkMS)); err == nil {
		d = time.Duration(ms) * time.Millisecond
	}
	if d > 0 {
		time.Sleep(d)
	}
}

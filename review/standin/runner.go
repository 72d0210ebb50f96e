package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/signal"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	apiv1 "github.com/cairnlift/cairnlift/api/v1"
	"github.com/cairnlift/cairnlift/fakes"
	"github.com/cairnlift/cairnlift/jobqueue"
	"github.com/cairnlift/cairnlift/platform/platformtest"
)

const (
	startPath = "/run-start"
	// lateShare is the share of the starts that get no answer and are carried out minLate to maxLate later, for
	// lateTime after each SIGUSR1.
	lateShare        = 0.5
	lateTime         = 5500 * time.Millisecond
	minLate, maxLate = 2 * time.Second, 12 * time.Second
	// servesOn is how long a runner serves on after the acknowledgement that it drains; the pages say at least
	// drain_ms, "and a little longer (at times many seconds)".
	servesOn = 5 * time.Second
)

// The events of a runner beside those of the project's stand-in.
const (
	drainAcknowledged platformtest.EventKind = "draining acknowledged"
	startedLate       platformtest.EventKind = "run began late"
	left              platformtest.EventKind = "runner left"
)

// runner is one life of a runner that leaves some starts without an answer and carries them out late.
type runner struct {
	life     *platformtest.WorkerIncarnation
	settings platformtest.WorkerSettings
	// lateUntil is until when it leaves starts without an answer, in Unix milliseconds.
	lateUntil atomic.Int64
	// starting serializes the starts; late is whether the current one is carried out late.
	starting sync.Mutex
	late     bool
	output   sync.Mutex
}

// runRunner runs one life of a runner until SIGTERM makes it drain and leave.
func runRunner(s platformtest.WorkerSettings) error {
	listener, err := net.Listen("tcp", s.Address)
	if err != nil {
		return err
	}
	r := &runner{settings: s}
	go r.awaitLateTime()
	r.life = &platformtest.WorkerIncarnation{ID: s.ID, StartedMs: time.Now().UnixMilli(), Address: s.Address}
	r.life.Worker = fakes.NewRunWorker(&apiv1.JobWorker{
		Id: s.ID, Pool: s.Pool, AvailabilityZone: s.Zone, Labels: s.Labels, CpuMilli: s.CPUMilli, MemoryMb: s.MemoryMB,
	}, nil)
	r.life.Worker.ClockStartMs, r.life.Worker.Observer = s.ClockStartMs, r
	r.life.Worker.Work = func(jobqueue.RunID, string) fakes.Work { return fakes.Work{Duration: 500 * time.Millisecond} }
	r.write(platformtest.Event{Kind: platformtest.IncarnationStarted}, time.Now())
	go r.announce()
	go func() {
		for ; ; time.Sleep(20 * time.Millisecond) {
			r.life.Worker.Running() // ends the runs that are over
		}
	}()
	server := &http.Server{Handler: r}
	return server.Serve(listener)
}

// awaitLateTime leaves starts without an answer after each SIGUSR1.
func (r *runner) awaitLateTime() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGUSR1)
	for range signals {
		r.lateUntil.Store(time.Now().Add(lateTime).UnixMilli())
	}
}

// announce sends heartbeats; after SIGTERM it announces at once that the runner drains, and ends the runner later.
func (r *runner) announce() {
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM)
	heartbeat := "/Instances.Heartbeat/" + r.settings.ID
	var leavesAt time.Time
	draining := false
	for sequence := uint64(1); ; sequence++ {
		wait := time.Duration(r.settings.HeartbeatMs) * time.Millisecond
		acknowledged := r.post(heartbeat, r.life.Heartbeat(sequence))
		if !acknowledged {
			wait = 250 * time.Millisecond
		}
		if draining && acknowledged && leavesAt.IsZero() {
			r.write(platformtest.Event{Kind: drainAcknowledged}, time.Now())
			leavesAt = time.Now().Add(servesOn)
		}
		if !leavesAt.IsZero() && time.Now().After(leavesAt) {
			r.post("/Instances.Deregister/"+r.settings.ID, r.life.Departure())
			r.write(platformtest.Event{Kind: left}, time.Now())
			os.Exit(exitHeld)
		}
		select {
		case <-stop:
			draining = true
			r.life.Worker.Drain()
		case <-time.After(wait):
		}
	}
}

func (r *runner) post(path, body string) bool {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+r.settings.Registry+path, strings.NewReader(body))
	if err != nil {
		return false
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return false
	}
	defer func() { _ = resp.Body.Close() }() // the body is not used
	return resp.StatusCode == http.StatusOK
}

// ServeHTTP carries out a call, or leaves a start without an answer and carries it out late.
func (r *runner) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	if req.URL.Path != startPath {
		r.life.ServeHTTP(w, req)
		return
	}
	body, err := io.ReadAll(req.Body)
	if err != nil {
		return // the connection broke off
	}
	if time.Now().UnixMilli() >= r.lateUntil.Load() || rand.Float64() >= lateShare {
		r.start(w, req, body, false)
		return
	}
	copied := req.Clone(context.Background())
	time.AfterFunc(minLate+rand.N(maxLate-minLate), func() { r.start(&discard{header: http.Header{}}, copied, body, true) })
	<-req.Context().Done()
	panic(http.ErrAbortHandler)
}

// start carries out a start.
func (r *runner) start(w http.ResponseWriter, req *http.Request, body []byte, late bool) {
	r.starting.Lock()
	defer r.starting.Unlock()
	defer func() {
		if late {
			_ = recover() // the stand-in aborts calls of a life that has ended
		}
	}()
	r.late = late
	req.Body = io.NopCloser(bytes.NewReader(body))
	r.life.ServeHTTP(w, req)
}

// discard is a response that nobody gets.
type discard struct{ header http.Header }

// Header implements http.ResponseWriter.
func (d *discard) Header() http.Header { return d.header }

// Write implements http.ResponseWriter.
func (d *discard) Write(p []byte) (int, error) { return len(p), nil }

// WriteHeader implements http.ResponseWriter.
func (d *discard) WriteHeader(int) {}

// RunBegan implements fakes.RunObserver. It is called while a start is carried out.
func (r *runner) RunBegan(run jobqueue.RunID, at time.Time) {
	kind := platformtest.RunStarted
	if r.late {
		kind = startedLate
	}
	r.write(platformtest.Event{Kind: kind, Task: platformtest.TaskName(run.Task), Run: run.Number}, at)
}

// RunEnded implements fakes.RunObserver.
func (r *runner) RunEnded(run jobqueue.RunID, kind apiv1.RunEndKind, at time.Time) {
	how := strings.ToLower(strings.TrimPrefix(kind.String(), "RUN_END_KIND_"))
	r.write(platformtest.Event{Kind: platformtest.RunEnded, Task: platformtest.TaskName(run.Task), Run: run.Number, EndKind: how}, at)
}

// LeaseExpired implements fakes.RunObserver.
func (r *runner) LeaseExpired(at time.Time) {
	r.write(platformtest.Event{Kind: platformtest.LeaseExpired}, at)
}

// write writes an event of the runner, one line each.
func (r *runner) write(e platformtest.Event, at time.Time) {
	e.AtMicros, e.Worker, e.StartedMs = at.UnixMicro(), r.settings.ID, r.life.StartedMs
	data, err := json.Marshal(e)
	if err != nil {
		panic(err) // an event has only numbers and strings
	}
	r.output.Lock()
	defer r.output.Unlock()
	fmt.Println(string(data))
}

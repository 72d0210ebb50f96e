package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"

	apiv1 "github.com/cairnlift/cairnlift/api/v1"
	"github.com/cairnlift/cairnlift/fakes"
	"github.com/cairnlift/cairnlift/jobqueue"
	"github.com/cairnlift/cairnlift/platform/platformtest"
)

// behavior is what the tasks of a job do; the job's spec holds it.
type behavior struct {
	WorkMs int64 `json:"work_ms"`
	Lasts  bool  `json:"lasts"`
	// CrashMs is how long after its start each run crashes its runner, by the run's number, from the beginning
	// again after the last one.
	CrashMs []int64 `json:"crash_ms"`
}

// workOf returns what a run does.
func workOf(run jobqueue.RunID, spec string) fakes.Work {
	var b behavior
	if err := json.Unmarshal([]byte(spec), &b); err != nil {
		return fakes.Work{Duration: time.Second}
	}
	work := fakes.Work{Duration: time.Duration(b.WorkMs) * time.Millisecond}
	if b.Lasts {
		work = fakes.Work{LongRunning: true, Startup: 300 * time.Millisecond}
	}
	if n := uint64(len(b.CrashMs)); n > 0 {
		work.CrashAfter = time.Duration(b.CrashMs[(run.Number-1)%n]) * time.Millisecond
	}
	return work
}

// eventLog writes the events of one life of a runner, one line each; it implements fakes.RunObserver.
type eventLog struct {
	worker string
	born   int64
	mu     sync.Mutex
}

func (l *eventLog) write(e platformtest.Event, at time.Time) {
	e.AtMicros, e.Worker, e.StartedMs = at.UnixMicro(), l.worker, l.born
	data, err := json.Marshal(e)
	if err != nil {
		panic(err) // an event has only numbers and strings
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	fmt.Println(string(data))
}

// RunBegan implements fakes.RunObserver.
func (l *eventLog) RunBegan(run jobqueue.RunID, at time.Time) {
	l.write(platformtest.Event{Kind: platformtest.RunStarted, Task: platformtest.TaskName(run.Task), Run: run.Number}, at)
}

// RunEnded implements fakes.RunObserver.
func (l *eventLog) RunEnded(run jobqueue.RunID, kind apiv1.RunEndKind, at time.Time) {
	how := strings.ToLower(strings.TrimPrefix(kind.String(), "RUN_END_KIND_"))
	l.write(platformtest.Event{Kind: platformtest.RunEnded, Task: platformtest.TaskName(run.Task), Run: run.Number, EndKind: how}, at)
}

// LeaseExpired implements fakes.RunObserver.
func (l *eventLog) LeaseExpired(at time.Time) {
	l.write(platformtest.Event{Kind: platformtest.LeaseExpired}, at)
}

// crashed is the event that a run crashed its runner.
const crashed platformtest.EventKind = "runner crashed"

// runRunner runs one life of a runner, which a task may crash: the process then ends without a word.
func runRunner(s platformtest.WorkerSettings) error {
	listener, err := net.Listen("tcp", s.Address)
	if err != nil {
		return err
	}
	life := &platformtest.WorkerIncarnation{ID: s.ID, StartedMs: time.Now().UnixMilli(), Address: s.Address}
	log := &eventLog{worker: s.ID, born: life.StartedMs}
	life.Worker = fakes.NewRunWorker(&apiv1.JobWorker{
		Id: s.ID, Pool: s.Pool, AvailabilityZone: s.Zone, Labels: s.Labels, CpuMilli: s.CPUMilli, MemoryMb: s.MemoryMB,
	}, nil)
	life.Worker.ClockStartMs, life.Worker.Work, life.Worker.Observer = s.ClockStartMs, workOf, log
	life.Worker.OnCrash = func() {
		log.write(platformtest.Event{Kind: crashed}, time.Now())
		os.Exit(exitBroken)
	}
	log.write(platformtest.Event{Kind: platformtest.IncarnationStarted}, time.Now())
	go announce(life, s)
	go func() {
		for {
			life.Worker.Running() // ends the runs that are over
			time.Sleep(20 * time.Millisecond)
		}
	}()
	return life.Server().Serve(listener)
}

// announce sends the runner's heartbeats, as soon as it has started and again soon after one that failed.
func announce(life *platformtest.WorkerIncarnation, s platformtest.WorkerSettings) {
	for sequence := uint64(1); ; sequence++ {
		wait := time.Duration(s.HeartbeatMs) * time.Millisecond
		if !post("http://"+s.Registry+"/Instances.Heartbeat/"+s.ID, life.Heartbeat(sequence)) {
			wait = 250 * time.Millisecond
		}
		time.Sleep(wait)
	}
}

// post reports whether a message was acknowledged within a second.
func post(url, body string) bool {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, strings.NewReader(body))
	if err != nil {
		return false
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return false
	}
	defer func() { _ = resp.Body.Close() }() // the body is not used
	_, _ = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode == http.StatusOK
}

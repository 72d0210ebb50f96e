package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	holdMaxMs       = 6000
	heartbeatMs     = 1500
	clockStartMs    = 482_000
	stopTime        = 100 * time.Millisecond
	longTaskStartup = 150 * time.Millisecond
	maxWaitMs       = 2000
	maxListedEnds   = 500
)

// work is what a task does, as its job's spec says: "lasts", or "work_ms=N".
type work struct {
	lasts bool
	takes time.Duration
}

func parseWork(spec string) work {
	if strings.Contains(spec, "lasts") {
		return work{lasts: true}
	}
	ms, err := strconv.Atoi(strings.TrimPrefix(spec, "work_ms="))
	if err != nil {
		ms = 1000
	}
	return work{takes: time.Duration(ms) * time.Millisecond}
}

type run struct {
	task    string
	number  uint64
	work    work
	began   time.Time
	stopsAt time.Time
}

func (r *run) percent(now time.Time) int {
	total := r.work.takes
	if r.work.lasts {
		total = longTaskStartup
	}
	return int(min(100, 100*now.Sub(r.began)/total))
}

// taskEvent is the beginning or the end of a run, as the runner sees it.
type taskEvent struct {
	at      time.Time
	machine string
	task    string
	run     uint64
	// how is "" for a beginning, and "gone" for a run that ended with its runner.
	how string
	// atWork: the run was at work when it ended.
	atWork bool
}

// runner is one life of a machine's runner. It does what the pages say of runners.
type runner struct {
	m    *machine
	id   string
	born time.Time

	mu       sync.Mutex
	gone     bool
	token    uint64
	deadline int64
	running  map[string]*run
	highest  map[string]uint64
	ended    [][]any
	lastEnd  uint64
	changed  chan struct{}
	server   *http.Server
	stopBeat context.CancelFunc
	// hangAfter is the job whose end is the last thing that the runner tells before it stalls for
	// hangFor; empty if it doesn't stall. Until hungUntil it answers nothing and does nothing.
	hangAfter string
	hangFor   time.Duration
	hungUntil time.Time
}

func startRunner(m *machine, id string) (*runner, error) {
	l, err := net.Listen("tcp", m.app)
	if err != nil {
		return nil, err
	}
	r := &runner{m: m, id: id, born: time.Now(), running: map[string]*run{}, highest: map[string]uint64{}, changed: make(chan struct{})}
	r.server = &http.Server{Handler: r}
	go func() { _ = r.server.Serve(l) }()
	ctx, cancel := context.WithCancel(context.Background())
	r.stopBeat = cancel
	go r.beat(ctx)
	go r.advanceLoop(ctx)
	return r, nil
}

// end ends the life of the runner with everything that runs on it.
func (r *runner) end() {
	r.stopBeat()
	r.mu.Lock()
	r.gone = true
	now := time.Now()
	for _, one := range r.running {
		r.m.d.event(taskEvent{now, r.m.name, one.task, one.number, "gone", one.percent(now) == 100})
	}
	r.running = map[string]*run{}
	r.mu.Unlock()
	_ = r.server.Close()
}

func (r *runner) clockMs(now time.Time) int64 { return clockStartMs + now.Sub(r.born).Milliseconds() }

func (r *runner) beat(ctx context.Context) {
	client := &http.Client{Timeout: time.Second}
	for sequence := 1; ctx.Err() == nil; sequence++ {
		body := map[string]any{
			"service": serviceName, "address": r.m.app, "zone": r.m.zone, "version": "v1", "slots": 8, "state": "ready",
			"cold_remaining_ms": 0, "capacity": map[string]int{"cpu": r.m.cpu, "mem_mb": 32768, "gpus": 0},
			"labels": r.m.labels, "clock_ms": r.clockMs(time.Now()), "sequence": sequence,
		}
		text, _ := json.Marshal(body)
		req, _ := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+r.m.controlPlane+"/Instances.Heartbeat/"+r.id, bytes.NewReader(text))
		req.Header.Set("Content-Type", "application/json")
		if resp, err := client.Do(req); err == nil {
			_ = resp.Body.Close()
			r.m.mu.Lock()
			r.m.lastBeat = resp.StatusCode
			r.m.mu.Unlock()
		}
		select {
		case <-ctx.Done():
		case <-time.After(heartbeatMs * time.Millisecond):
		}
	}
}

func (r *runner) advanceLoop(ctx context.Context) {
	for ctx.Err() == nil {
		r.mu.Lock()
		r.advance(time.Now())
		r.mu.Unlock()
		time.Sleep(5 * time.Millisecond)
	}
}

// advance ends the runs that are done, stopped or whose lease has lapsed. The caller holds r.mu.
func (r *runner) advance(now time.Time) {
	if r.gone {
		return
	}
	lapsed := r.clockMs(now) >= r.deadline
	for _, one := range r.running {
		switch {
		case !one.work.lasts && now.Sub(one.began) >= one.work.takes:
			r.finish(one, "done", now)
		case !one.stopsAt.IsZero() && now.After(one.stopsAt):
			r.finish(one, "stopped", now)
		case lapsed:
			r.finish(one, "lapsed", now)
		}
	}
}

func (r *runner) finish(one *run, how string, now time.Time) {
	delete(r.running, one.task)
	r.lastEnd++
	r.ended = append(r.ended, []any{r.lastEnd, one.task, one.number, how, ""})
	r.m.d.event(taskEvent{now, r.m.name, one.task, one.number, how, one.percent(now) == 100})
	close(r.changed)
	r.changed = make(chan struct{})
}

type runnerCall struct {
	Task         string `json:"task"`
	Run          uint64 `json:"run"`
	Spec         string `json:"spec"`
	DeadlineMs   int64  `json:"deadline_ms"`
	FencingToken uint64 `json:"fencing_token"`
	AckCursor    uint64 `json:"ack_cursor"`
	WaitMs       int64  `json:"wait_ms"`
}

func (r *runner) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	body, err := io.ReadAll(req.Body)
	if err != nil {
		return
	}
	if req.URL.Path == "/health" {
		w.Header().Set("X-Instance-Id", r.id)
		return
	}
	var c runnerCall
	if json.Unmarshal(body, &c) != nil {
		reply(w, http.StatusBadRequest, map[string]any{})
		return
	}
	r.mu.Lock()
	now := time.Now()
	if now.Before(r.hungUntil) {
		left := r.hungUntil.Sub(now)
		r.mu.Unlock()
		r.m.d.rec.printf("runner of %s stalls %s %s run %d", r.m.name, req.URL.Path, c.Task, c.Run)
		select {
		case <-req.Context().Done():
		case <-time.After(left):
		}
		panic(http.ErrAbortHandler)
	}
	r.advance(now)
	clock := r.clockMs(now)
	refuse := func(status int, reason string) {
		r.mu.Unlock()
		body := map[string]any{"clock_ms": clock}
		if reason != "" {
			body["reason"] = reason
		}
		reply(w, status, body)
	}
	if expected := req.Header.Get("X-Expect-Instance"); r.gone || expected != "" && expected != r.id {
		refuse(http.StatusMisdirectedRequest, "")
		return
	}
	if c.FencingToken < r.token {
		refuse(http.StatusConflict, "fence")
		return
	}
	r.token = c.FencingToken
	switch req.URL.Path {
	case "/run-start":
		status, reason := r.start(c, now)
		refuse(status, reason)
	case "/run-stop":
		r.highest[c.Task] = max(r.highest[c.Task], c.Run)
		if one := r.running[c.Task]; one != nil && one.number <= c.Run && one.stopsAt.IsZero() {
			one.stopsAt = now.Add(stopTime)
		}
		refuse(http.StatusOK, "")
	case "/pace":
		refuse(http.StatusOK, "")
	case "/hold":
		r.hold(w, c, now)
	default:
		refuse(http.StatusNotFound, "")
	}
}

// prolong takes a deadline. The caller holds r.mu.
func (r *runner) prolong(deadlineMs int64, now time.Time) {
	r.deadline = max(r.deadline, min(deadlineMs, r.clockMs(now)+holdMaxMs))
}

func (r *runner) start(c runnerCall, now time.Time) (status int, reason string) {
	if c.DeadlineMs <= r.clockMs(now) {
		return http.StatusConflict, "late"
	}
	r.prolong(c.DeadlineMs, now)
	if one := r.running[c.Task]; one != nil && one.number == c.Run {
		return http.StatusOK, ""
	}
	if c.Run <= r.highest[c.Task] || r.running[c.Task] != nil {
		return http.StatusConflict, "old"
	}
	r.highest[c.Task] = c.Run
	r.running[c.Task] = &run{task: c.Task, number: c.Run, work: parseWork(c.Spec), began: now}
	r.m.d.event(taskEvent{at: now, machine: r.m.name, task: c.Task, run: c.Run})
	return http.StatusOK, ""
}

// hold answers a look at the lists; it waits for an end if it may. It is called with r.mu held.
func (r *runner) hold(w http.ResponseWriter, c runnerCall, now time.Time) {
	if c.DeadlineMs > 0 {
		r.prolong(c.DeadlineMs, now)
	}
	r.ended = slices.DeleteFunc(r.ended, func(e []any) bool { return e[0].(uint64) <= c.AckCursor })
	if len(r.ended) == 0 && c.WaitMs > 0 {
		changed := r.changed
		r.mu.Unlock()
		select {
		case <-changed:
		case <-time.After(time.Duration(min(c.WaitMs, maxWaitMs)) * time.Millisecond):
		}
		r.mu.Lock()
	}
	if r.gone {
		r.mu.Unlock()
		reply(w, http.StatusMisdirectedRequest, map[string]any{})
		return
	}
	now = time.Now()
	running := [][]any{}
	for _, one := range r.running {
		running = append(running, []any{one.task, one.number, "", one.percent(now), 100})
	}
	ended := slices.Clone(r.ended[:min(len(r.ended), maxListedEnds)])
	if ended == nil {
		ended = [][]any{}
	}
	body := map[string]any{"clock_ms": r.clockMs(now), "running": running, "ended": ended}
	told := slices.ContainsFunc(ended, func(e []any) bool { return strings.HasPrefix(e[1].(string), r.hangAfter+".") })
	stall := r.hangAfter != "" && told && r.hungUntil.IsZero()
	if stall {
		r.hungUntil = now.Add(r.hangFor)
		r.m.d.rec.printf("runner of %s tells the end of %s and stalls for %v", r.m.name, r.hangAfter, r.hangFor)
	}
	r.mu.Unlock()
	reply(w, http.StatusOK, body)
}

func reply(w http.ResponseWriter, status int, body any) {
	text, _ := json.Marshal(body)
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(text)
}

// machine is a side machine: its agent is a process, and its runner a stand-in.
type machine struct {
	d                 *deployment
	name, ip, zone    string
	app, controlPlane string
	labels            []string
	cpu               int
	mu                sync.Mutex
	lives             int
	runner            *runner
	state             string
	// lastBeat is the status of the last answer to a heartbeat.
	lastBeat int
	upkeeps  map[uint64]bool
	token    uint64
}

// stallAfter makes the machine's runner stall once it has told the end of a job's task.
func (m *machine) stallAfter(job string, d time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.runner.mu.Lock()
	defer m.runner.mu.Unlock()
	m.runner.hangAfter, m.runner.hangFor = job, d
}

// stalledAt returns when the machine's runner began to stall, false if it has not.
func (m *machine) stalledAt() (time.Time, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.runner.mu.Lock()
	defer m.runner.mu.Unlock()
	return m.runner.hungUntil.Add(-m.runner.hangFor), !m.runner.hungUntil.IsZero()
}

// runnerID returns the id of a life of the machine's runner.
func (m *machine) runnerID(life int) string {
	return fmt.Sprintf("i-%s-%d", strings.ReplaceAll(m.ip, ".", ""), life)
}

// nextRunner starts the next life of the machine's runner.
func (m *machine) nextRunner() error {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.lives++
	r, err := startRunner(m, m.runnerID(m.lives))
	if err != nil {
		return err
	}
	m.runner, m.state = r, "up"
	return nil
}

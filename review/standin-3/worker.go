package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// work is what the tasks of a job do. The job's spec holds it as JSON.
type work struct {
	// WorkMs is how long a task works; 0 means until it is stopped.
	WorkMs int64 `json:"work_ms"`
	// TailMs is the tail latency that a task reports, CPU the processor time that it uses at full pace.
	TailMs int64 `json:"tail_ms"`
	CPU    int64 `json:"cpu"`
	// Crashes makes the task crash its worker; see crasher.
	Crashes bool `json:"crashes,omitempty"`
}

// worker is a runner as PROTOCOL.md describes it. It doesn't guard its capacity.
type worker struct {
	id, address, registry, service, zone string
	born                                 time.Time
	cpu, mem                             int64
	rec                                  *record
	server                               *http.Server

	mu         sync.Mutex
	fence      uint64
	deadline   int64
	running    map[string]*run
	newest     map[string]uint64
	ended      [][]any
	number     int64
	lapsed     int
	dead       bool
	crasher    *crasher
	endedAt    map[string]time.Time
	firstBegan map[string]time.Time
}

type run struct {
	task    string
	number  uint64
	began   time.Time
	work    work
	percent int
}

func newWorker(id, ip, service, zone string, cpu, mem int64, rec *record) *worker {
	return &worker{id: id, address: ip + ":8165", registry: ip + ":8166", service: service, zone: zone, cpu: cpu, mem: mem, rec: rec,
		born: time.Now(), running: map[string]*run{}, newest: map[string]uint64{}, endedAt: map[string]time.Time{}, firstBegan: map[string]time.Time{}}
}

func (w *worker) clock() int64 { return 1000 + time.Since(w.born).Milliseconds() }

func (w *worker) start() error {
	l, err := net.Listen("tcp", w.address)
	if err != nil {
		return err
	}
	w.server = &http.Server{Handler: w}
	go func() { _ = w.server.Serve(l) }()
	go w.beat()
	return nil
}

func (w *worker) beat() {
	client := &http.Client{Timeout: time.Second}
	for n := 1; !w.hasCrashed(); n++ {
		body, _ := json.Marshal(map[string]any{
			"service": w.service, "address": w.address, "zone": w.zone, "version": "v1", "slots": 8, "state": "ready", "cold_remaining_ms": 0,
			"capacity": map[string]int64{"cpu": w.cpu, "mem_mb": w.mem, "gpus": 0}, "labels": []string{"a", "r1-1"},
			"clock_ms": w.clock(), "sequence": n, "born": w.born.UnixMilli(),
		})
		wait := 1500 * time.Millisecond
		resp, err := client.Post("http://"+w.registry+"/Instances.Heartbeat/"+w.id, "application/json", strings.NewReader(string(body)))
		if err != nil {
			wait = 250 * time.Millisecond
		} else {
			_, _ = io.Copy(io.Discard, resp.Body)
			_ = resp.Body.Close()
		}
		time.Sleep(wait)
	}
}

type call struct {
	Task     string `json:"task"`
	Run      uint64 `json:"run"`
	Spec     string `json:"spec"`
	Deadline int64  `json:"deadline_ms"`
	Fence    uint64 `json:"fencing_token"`
	Cursor   int64  `json:"ack_cursor"`
	WaitMs   int64  `json:"wait_ms"`
	Percent  int    `json:"percent"`
}

func (w *worker) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	if r.Method == http.MethodGet {
		rw.WriteHeader(http.StatusOK)
		return
	}
	var c call
	body, err := io.ReadAll(r.Body)
	if err == nil {
		err = json.Unmarshal(body, &c)
	}
	if err != nil {
		reply(rw, http.StatusBadRequest, map[string]any{})
		return
	}
	if r.Header.Get("X-Expect-Instance") != w.id {
		reply(rw, http.StatusMisdirectedRequest, map[string]any{})
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.dead {
		panic(http.ErrAbortHandler)
	}
	w.advance()
	answer := map[string]any{"clock_ms": w.clock(), "born": w.born.UnixMilli()}
	if c.Fence < w.fence {
		answer["reason"] = "fence"
		reply(rw, http.StatusConflict, answer)
		return
	}
	w.fence = c.Fence
	switch r.URL.Path {
	case "/run-start":
		if reason := w.startRun(c); reason != "" {
			answer["reason"] = reason
			reply(rw, http.StatusConflict, answer)
			return
		}
	case "/run-stop":
		w.newest[c.Task] = max(w.newest[c.Task], c.Run)
		if t := w.running[c.Task]; t != nil && t.number <= c.Run {
			w.end(t, "stopped")
		}
	case "/pace":
		if t := w.running[c.Task]; t != nil && t.number == c.Run {
			t.percent = c.Percent
		}
	case "/hold":
		w.hold(c)
		answer["clock_ms"] = w.clock()
		answer["running"], answer["ended"] = w.lists()
	}
	reply(rw, http.StatusOK, answer)
}

// startRun begins a run, or returns the reason why it doesn't.
func (w *worker) startRun(c call) string {
	if c.Deadline <= w.clock() {
		return "late"
	}
	w.extend(c.Deadline)
	if t := w.running[c.Task]; t != nil && t.number == c.Run {
		return ""
	}
	if w.running[c.Task] != nil || c.Run <= w.newest[c.Task] {
		return "old"
	}
	t := &run{task: c.Task, number: c.Run, began: time.Now(), percent: 100}
	if err := json.Unmarshal([]byte(c.Spec), &t.work); err != nil {
		t.work = work{WorkMs: 100}
	}
	w.running[c.Task] = t
	if t.work.Crashes && w.crasher != nil {
		w.crasher.began(w, t)
	}
	if _, begun := w.firstBegan[c.Task]; !begun {
		w.firstBegan[c.Task] = t.began
	}
	w.rec.add("%s began %s run %d", w.id, c.Task, c.Run)
	return ""
}

const maxHoldMs = 6000

func (w *worker) extend(deadline int64) {
	w.deadline = max(w.deadline, min(deadline, w.clock()+maxHoldMs))
}

// hold renews the lease, forgets ends, and waits for an end. The caller holds w.mu.
func (w *worker) hold(c call) {
	if c.Deadline > 0 {
		w.extend(c.Deadline)
	}
	for len(w.ended) > 0 && w.ended[0][0].(int64) <= c.Cursor {
		w.ended = w.ended[1:]
	}
	until := time.Now().Add(time.Duration(min(c.WaitMs, 2000)) * time.Millisecond)
	for len(w.ended) == 0 && time.Now().Before(until) {
		w.mu.Unlock()
		time.Sleep(10 * time.Millisecond)
		w.mu.Lock()
		w.advance()
	}
}

func (w *worker) lists() (running, ended [][]any) {
	running, ended = [][]any{}, [][]any{}
	for _, t := range w.running {
		figure, percent := t.work.TailMs, 100
		if figure == 0 {
			figure = t.work.CPU * int64(t.percent) / 100
		}
		if t.work.WorkMs > 0 {
			percent = int(min(99, 100*time.Since(t.began).Milliseconds()/t.work.WorkMs))
		}
		running = append(running, []any{t.task, t.number, "", percent, figure})
	}
	return running, append(ended, w.ended[:min(len(w.ended), 500)]...)
}

// advance ends the runs that are done, or whose lease has expired. The caller holds w.mu.
func (w *worker) advance() {
	for _, t := range w.running {
		switch {
		case t.work.WorkMs > 0 && time.Since(t.began).Milliseconds() >= t.work.WorkMs:
			w.end(t, "done")
		case w.deadline <= w.clock():
			w.end(t, "lapsed")
		}
	}
}

func (w *worker) end(t *run, how string) {
	delete(w.running, t.task)
	w.endedAt[t.task] = time.Now()
	w.newest[t.task] = max(w.newest[t.task], t.number)
	w.number++
	if how == "lapsed" {
		w.lapsed++
	}
	w.ended = append(w.ended, []any{w.number, t.task, t.number, how, ""})
	w.rec.add("%s ended %s run %d %s", w.id, t.task, t.number, how)
}

func (w *worker) hasCrashed() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.dead
}

// lapses returns how many runs ended because their lease had expired.
func (w *worker) lapses() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance()
	return w.lapsed
}

func reply(rw http.ResponseWriter, status int, body any) {
	text, err := json.Marshal(body)
	if err != nil {
		panic(fmt.Sprintf("answers consist of numbers and strings: %v", err))
	}
	rw.Header().Set("Content-Type", "application/json")
	rw.Header().Set("Content-Length", strconv.Itoa(len(text)))
	rw.WriteHeader(status)
	_, _ = rw.Write(text)
}

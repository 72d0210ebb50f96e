package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

const (
	crashesRun = 60 * time.Second
	// runnerBack is how long a crashed worker is away.
	runnerBack = 2 * time.Second
	// crashesBefore and startsAfter are the rule's: three starts more after three crashes.
	crashesBefore, startsAfter = 3, 3
)

// crashAfterMs is how long the task works before it crashes its worker, start by start.
var crashAfterMs = []int64{3000, 6000, 1500, 8500, 700, 4500, 2200}

// crasher counts the starts and crashes of the task that crashes its workers.
type crasher struct {
	mu      sync.Mutex
	d       *deployment
	crashes int
	// starts are those after the first three crashes.
	starts, total int
	lost          int
}

// began is called when a worker begins the task. The worker's mutex is held.
func (c *crasher) began(w *worker, t *run) {
	c.mu.Lock()
	defer c.mu.Unlock()
	after := time.Duration(crashAfterMs[c.total%len(crashAfterMs)]) * time.Millisecond
	c.total++
	if c.crashes >= crashesBefore {
		c.starts++
	}
	c.d.rec.add("start %d of the task that crashes its workers, on %s, after %d crashes; crash due in %v", c.total, w.id, c.crashes, after)
	time.AfterFunc(after, func() { c.crash(w, t) })
}

// crash ends a worker and all its runs if the run is still at work, and starts it again under another id.
func (c *crasher) crash(w *worker, t *run) {
	w.mu.Lock()
	if w.dead || w.running[t.task] != t {
		w.mu.Unlock()
		return
	}
	w.dead = true
	others := len(w.running) - 1
	w.running = map[string]*run{}
	_ = w.server.Close()
	w.mu.Unlock()
	c.mu.Lock()
	c.crashes++
	c.lost += others
	c.d.rec.add("%s has crashed under the task, crash %d; %d other runs were there", w.id, c.crashes, others)
	c.mu.Unlock()
	time.Sleep(runnerBack)
	if !c.d.closed() {
		c.d.replaceWorker(w)
	}
}

func (d *deployment) replaceWorker(old *worker) {
	for i, w := range d.workersNow() {
		if w != old {
			continue
		}
		next := newWorker(fmt.Sprintf("i-%08x", rand.Uint32()), d.side(i), service, zone, old.cpu, old.mem, d.rec)
		next.crasher = old.crasher
		for range 50 {
			if next.start() == nil {
				break
			}
			time.Sleep(20 * time.Millisecond)
		}
		d.replaced(i, next)
		d.rec.add("%s is in the place of %s", next.id, old.id)
	}
}

// crashes has a client submit a job with one task that crashes each worker that starts it, or one that does not.
func crashes(rec *record, trouble bool) (broken []string, err error) {
	d, err := newDeployment(rec, 3, 11)
	if err != nil {
		return nil, err
	}
	defer d.stop()
	if err := d.start(configuration(1, "/small/", "/batch/")); err != nil {
		return nil, err
	}
	time.Sleep(4 * time.Second)
	c := &crasher{d: d}
	for _, w := range d.servers {
		w.mu.Lock()
		w.crasher = c
		w.mu.Unlock()
	}
	spec, _ := json.Marshal(work{WorkMs: 20_000, CPU: 100, Crashes: trouble})
	id := fmt.Sprintf("%016x", rand.Uint64())
	status, _ := d.call(http.MethodPost, d.front(0)+":8161", routeHost, "/batch/"+id, map[string]any{
		"spec": string(spec), "steps": []map[string]any{{"count": 1, "cpu": 100, "mem_mb": 16, "estimated_ms": 20_000}},
	}, 3*time.Second)
	rec.add("client A: POST /batch/%s, answer %d", id, status)
	if status != http.StatusOK {
		return nil, fmt.Errorf("the job got answer %d", status)
	}
	s := small(d, time.Now().Add(crashesRun))
	_, state := d.call(http.MethodGet, d.front(0)+":8161", routeHost, "/batch/"+id, nil, 3*time.Second)
	c.mu.Lock()
	defer c.mu.Unlock()
	rec.add("the job is %q; %d crashes, %d starts in all, %d after the first three crashes; %d runs of others were lost with the workers", state, c.crashes, c.total, c.starts, c.lost)
	broken = d.judge(s)
	if c.starts >= startsAfter {
		broken = append(broken, fmt.Sprintf("BUDGET: the task was started %d times more after three workers had crashed under it", c.starts))
	}
	return broken, nil
}

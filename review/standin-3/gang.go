package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"
)

const (
	largeGang    = 20_000
	smallGang    = 20
	lastingTasks = 11
	gangRun      = 40 * time.Second
)

// gang has one client submit one job with a gang, which is large or small. The workers have room for it many
// times over. Another client submits small jobs, and one job of lasting tasks runs.
func gang(rec *record, trouble bool) (broken []string, err error) {
	d, err := newDeployment(rec, 3, 11)
	if err != nil {
		return nil, err
	}
	defer d.stop()
	if err := d.start(configuration(1, "/small/", "/batch/")); err != nil {
		return nil, err
	}
	time.Sleep(4 * time.Second)
	lasting, _ := json.Marshal(work{TailMs: 20})
	lastingJob := fmt.Sprintf("%016x", rand.Uint64())
	status, _ := d.call(http.MethodPost, d.front(0)+":8161", routeHost, "/small/"+lastingJob, map[string]any{
		"spec": string(lasting), "steps": []map[string]any{{"count": lastingTasks, "cpu": 1000, "mem_mb": 1000, "long_running": true, "anti_affinity": 1}},
	}, 3*time.Second)
	rec.add("client B: POST /small/%s, %d tasks that last, answer %d", lastingJob, lastingTasks, status)
	if status != http.StatusOK {
		return nil, fmt.Errorf("the lasting job got answer %d", status)
	}
	time.Sleep(3 * time.Second)
	count := smallGang
	if trouble {
		count = largeGang
	}
	spec, _ := json.Marshal(work{WorkMs: 5000, CPU: 1})
	body := map[string]any{"spec": string(spec), "steps": []map[string]any{{"count": count, "cpu": 1, "mem_mb": 1, "estimated_ms": 5000, "gang": true}}}
	text, _ := json.Marshal(body)
	id := fmt.Sprintf("%016x", rand.Uint64())
	status, _ = d.call(http.MethodPost, d.front(0)+":8161", routeHost, "/batch/"+id, body, 3*time.Second)
	rec.add("client A: POST /batch/%s, %d bytes: %s, answer %d", id, len(text), text, status)
	served := small(d, time.Now().Add(gangRun))
	away := d.lastingAway(lastingJob)
	state := d.state(0, lastingJob)
	lapsed := 0
	for _, w := range d.servers {
		lapsed += w.lapses()
	}
	rec.add("the lasting job is %q; %d of its %d tasks had no run for 3 s, and none for the 6 s before; runs that lapsed on sound workers: %d", state, away, lastingTasks, lapsed)
	broken = d.judge(served)
	if away > 0 {
		broken = append(broken, fmt.Sprintf("LOST: %d of %d tasks that last had nothing running for 3 s, 6 s and more after their last run; %d runs lapsed", away, lastingTasks, lapsed))
	}
	if state == "" || state == "unknown" {
		broken = append(broken, "LOST: the job of lasting tasks gets no answer finish_s after the traffic")
	}
	return broken, nil
}

// lastingAway returns how many of a job's tasks had no run for 3 s, and none in the 6 s before. The workers
// are asked 40 times.
func (d *deployment) lastingAway(job string) int {
	seen := map[string]bool{}
	since := time.Now().Add(-6 * time.Second)
	for until := time.Now().Add(idle); time.Now().Before(until); time.Sleep(75 * time.Millisecond) {
		for _, w := range d.servers {
			w.lastRuns(job, since, seen)
		}
	}
	return lastingTasks - len(seen)
}

// lastRuns adds the tasks of a job that run, or whose run ended after a time.
func (w *worker) lastRuns(job string, since time.Time, seen map[string]bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance()
	for task := range w.running {
		if strings.HasPrefix(task, job+".") {
			seen[task] = true
		}
	}
	for task, at := range w.endedAt {
		if strings.HasPrefix(task, job+".") && at.After(since) {
			seen[task] = true
		}
	}
}

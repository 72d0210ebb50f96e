package main

import (
	"bytes"
	"encoding/json"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

const finishTime = 14 * time.Second

// playForeignHeartbeat has another writer send one heartbeat to each agent as it starts, before the next one
// of the runner: it bears the runner's id and names a service that is not there. Then a job is handed in.
func playForeignHeartbeat(d *deployment, trouble bool) (broken bool, err error) {
	d.agentDelay = 50 * time.Millisecond // the runner has sent its first heartbeat, to nobody
	labels := [][]string{{"a", "r1"}, {"a", "r1"}, {"a", "r2"}, {"a", "r2"}}
	if err := d.start(8000, labels...); err != nil {
		return false, err
	}
	var started sync.WaitGroup
	for _, m := range d.machines {
		started.Go(func() {
			for end := time.Now().Add(10 * time.Second); !m.agentListens() && time.Now().Before(end); {
				time.Sleep(5 * time.Millisecond)
			}
			if trouble {
				d.rec.printf("another writer's heartbeat at %s: %d", m.name, m.foreignHeartbeat(m.runnerID(1)))
			}
		})
	}
	started.Wait()
	if err := d.operator(http.MethodPost, "/Config.Put", configuration(1, "/queue/")); err != nil {
		return false, err
	}
	time.Sleep(10 * time.Second)
	id := newJobID()
	job := map[string]any{"spec": "work_ms=1000", "steps": []map[string]any{{"count": 4, "cpu": 1000, "mem_mb": 64, "estimated_ms": 1000}}}
	if a := d.client(0, http.MethodPost, "/queue/"+id, job); a.status != http.StatusOK {
		return false, errNotAccepted
	}
	accepted := time.Now()
	// The job is the last of the traffic. finish_s after that it is asked for, and for 3 s more.
	for time.Since(accepted) < finishTime+4*time.Second {
		a := d.client(1, http.MethodGet, "/queue/"+id, nil)
		if strings.Contains(a.body, "succeeded") {
			return false, nil
		}
		time.Sleep(2 * time.Second)
	}
	for _, m := range d.machines {
		m.mu.Lock()
		d.rec.printf("runner of %s: the last heartbeat, state ready, was answered %d; it runs %d tasks", m.name, m.lastBeat, m.runner.load())
		m.mu.Unlock()
	}
	d.rec.printf("LOST: %.0f s after it was accepted job %s has nothing running; %d of 4 tasks have begun, and %d runners are idle",
		time.Since(accepted).Seconds(), id, d.begun(id), len(d.machines))
	return true, nil
}

// agentListens reports whether the machine's agent accepts heartbeats.
func (m *machine) agentListens() bool {
	conn, err := net.DialTimeout("tcp", m.controlPlane, 200*time.Millisecond)
	if err != nil {
		return false
	}
	_ = conn.Close()
	return true
}

// foreignHeartbeat sends the heartbeat of another writer under an id, and returns the status of the answer.
func (m *machine) foreignHeartbeat(id string) int {
	body, _ := json.Marshal(map[string]any{
		"service": "zk91x", "address": m.app, "zone": m.zone, "version": "v1", "slots": 8, "state": "ready", "cold_remaining_ms": 0,
		"capacity": map[string]int{"cpu": m.cpu, "mem_mb": 32768, "gpus": 0}, "labels": m.labels, "clock_ms": clockStartMs, "sequence": 1,
	})
	client := &http.Client{Timeout: time.Second}
	resp, err := client.Post("http://"+m.controlPlane+"/Instances.Heartbeat/"+id, "application/json", bytes.NewReader(body))
	if err != nil {
		return 0
	}
	_ = resp.Body.Close()
	return resp.StatusCode
}

func (r *runner) load() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.running)
}

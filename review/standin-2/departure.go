package main

import (
	"net/http"
	"strings"
	"syscall"
	"time"
)

// playForeignDeparture kills the agent of one machine. As it is back, before its runner's next heartbeat,
// another writer's heartbeat arrives there, which bears the id of another machine's runner and names a
// service that is not there. The tasks of that runner are watched.
func playForeignDeparture(d *deployment, trouble bool) (broken bool, err error) {
	if err := d.start(8000, siteLabels("a")...); err != nil {
		return false, err
	}
	if err := d.operator(http.MethodPost, "/Config.Put", configuration(1, "/queue/")); err != nil {
		return false, err
	}
	id := newJobID()
	job := map[string]any{"spec": "work_ms=20000", "steps": []map[string]any{{"count": 22, "cpu": 1000, "mem_mb": 64, "estimated_ms": 20000}}}
	if a := d.client(0, http.MethodPost, "/queue/"+id, job); a.status != http.StatusOK {
		return false, errNotAccepted
	}
	if !waitFor(10*time.Second, func() bool { return d.begun(id) == 22 }) {
		return false, errNotBegun
	}
	time.Sleep(4 * time.Second)
	busy, other := d.machines[0], d.machines[0]
	for _, m := range d.machines {
		if m.load() > busy.load() {
			busy = m
		}
	}
	for _, m := range d.machines {
		if m != busy {
			other = m
		}
	}
	d.rec.printf("%d tasks of the job run on %s", busy.load(), busy.name)
	d.signal(other.name+"/agent", syscall.SIGKILL)
	if trouble {
		if !waitFor(5*time.Second, func() bool { return !other.agentListens() }) {
			return false, errNotBegun
		}
		for end := time.Now().Add(10 * time.Second); !other.agentListens() && time.Now().Before(end); {
			time.Sleep(5 * time.Millisecond)
		}
		d.rec.printf("another writer's heartbeat at %s, with the id of the runner of %s: %d", other.name, busy.name, other.foreignHeartbeat(busy.runnerID(1)))
	}
	time.Sleep(12 * time.Second)
	return d.ranTwice(id), nil
}

// ranTwice reports whether two runs of a task of a job were at the same time, on runners that are up.
func (d *deployment) ranTwice(job string) bool {
	broken := false
	running := map[string][]string{}
	for _, e := range d.eventsOf(job) {
		if e.how != "" {
			if i := indexOf(running[e.task], e.machine); i >= 0 {
				running[e.task] = append(running[e.task][:i:i], running[e.task][i+1:]...)
			}
			continue
		}
		if len(running[e.task]) > 0 {
			d.rec.printf("TWICE: run %d of %s begins on %s while it runs on %s", e.run, e.task, e.machine, strings.Join(running[e.task], ", "))
			broken = true
		}
		running[e.task] = append(running[e.task], e.machine)
	}
	return broken
}

func indexOf(list []string, s string) int {
	for i, x := range list {
		if x == s {
			return i
		}
	}
	return -1
}

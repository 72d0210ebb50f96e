package main

import (
	"encoding/json"
	"net/http"
	"time"
)

const (
	stallTime = 5500 * time.Millisecond
	contact   = 3 * time.Second
)

// playPending has a runner stall while starts are ordered there, kills the leader, and asks how many jobs
// of the queue are pending.
func playPending(d *deployment, trouble bool) (broken bool, err error) {
	if err := d.start(8000, siteLabels("w")...); err != nil {
		return false, err
	}
	if err := d.operator(http.MethodPost, "/Config.Put", configuration(1, "/first/", "/queue/")); err != nil {
		return false, err
	}
	step := func(cpu int) []map[string]any {
		return []map[string]any{{"count": 1, "cpu": cpu, "mem_mb": 64, "estimated_ms": 1000, "requirements": "w"}}
	}
	before := newJobID()
	if a := d.client(0, http.MethodPost, "/first/"+before, map[string]any{"spec": "work_ms=7000", "steps": step(8000)}); a.status != http.StatusOK {
		return false, errNotAccepted
	}
	if !waitFor(10*time.Second, func() bool { return d.begun(before) == 1 }) {
		return false, errNotBegun
	}
	worker := d.machines[0]
	if trouble {
		worker.stallAfter(before, stallTime)
	}
	var jobs []string
	for range 4 {
		id := newJobID()
		if a := d.client(0, http.MethodPost, "/queue/"+id, map[string]any{"spec": "work_ms=1000", "steps": step(2000)}); a.status != http.StatusOK {
			return false, errNotAccepted
		}
		jobs = append(jobs, id)
	}
	accepted := time.Now()
	begun := func() (n int) {
		for _, id := range jobs {
			n += min(1, d.begun(id))
		}
		return n
	}
	if !trouble {
		time.Sleep(6 * time.Second) // visible_ms and 2 s, and a margin
		broken := d.pendingTooFew(0, len(jobs)-begun())
		if !waitFor(10*time.Second, func() bool { return begun() == len(jobs) }) {
			return false, errNotBegun
		}
		return broken, nil
	}
	var stalled time.Time
	if !waitFor(15*time.Second, func() (ok bool) { stalled, ok = worker.stalledAt(); return ok }) {
		return false, errNotBegun
	}
	time.Sleep(250 * time.Millisecond)
	leader, found := d.leader()
	if !found {
		return false, errNotBegun
	}
	d.signal(leader, 9)
	time.Sleep(2 * restartDelay)
	// From here on nothing is done to the core. After contact_ms it is stable, and the others are in touch.
	calm := d.startedAt(leader).Add(contact + 200*time.Millisecond)
	time.Sleep(time.Until(calm))
	for time.Since(stalled) < stallTime-300*time.Millisecond {
		for front := range frontMachines {
			if frontName(front)+"/control" == leader {
				continue
			}
			d.rec.printf("%d of %d jobs, accepted %.1f s ago, have not begun", len(jobs)-begun(), len(jobs), time.Since(accepted).Seconds())
			if d.pendingTooFew(front, len(jobs)-begun()) {
				broken = true
			}
		}
		time.Sleep(200 * time.Millisecond)
	}
	return broken, nil
}

// pendingTooFew asks an entry for the pending jobs, and reports whether it gives under half of the jobs
// that wait.
func (d *deployment) pendingTooFew(front, waiting int) bool {
	a := d.call(http.MethodGet, d.address(1+front, frontendPort), queueHost, "/queue/", nil, time.Second)
	var got struct {
		Pending *int `json:"pending"`
	}
	if a.status != http.StatusOK || json.Unmarshal([]byte(a.body), &got) != nil || got.Pending == nil {
		return false
	}
	if 2**got.Pending >= waiting {
		return false
	}
	d.rec.printf("MIXED: %d pending, but %d jobs wait", *got.Pending, waiting)
	return true
}

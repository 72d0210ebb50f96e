package main

import (
	"net/http"
	"time"
)

// playRemovedRoute removes a route whose path prefix lies below that of another route of the same host,
// while jobs that were accepted there are open.
func playRemovedRoute(d *deployment, trouble bool) (broken bool, err error) {
	if err := d.start(8000, []string{"a", "r1"}, []string{"a", "r2"}, []string{"a", "r3"}); err != nil {
		return false, err
	}
	if err := d.operator(http.MethodPost, "/Config.Put", configuration(1, "/boards/", "/boards/urgent/")); err != nil {
		return false, err
	}
	kept, cancelled := newJobID(), newJobID()
	job := map[string]any{"spec": "work_ms=9000", "steps": []map[string]any{
		{"count": 2, "cpu": 500, "mem_mb": 64, "estimated_ms": 9000},
		{"count": 2, "cpu": 500, "mem_mb": 64, "estimated_ms": 9000, "after": []int{0}},
	}}
	for _, id := range []string{kept, cancelled} {
		if a := d.client(0, http.MethodPost, "/boards/urgent/"+id, job); a.status != http.StatusOK {
			return false, errNotAccepted
		}
	}
	if !waitFor(10*time.Second, func() bool { return d.begun(kept) == 2 && d.begun(cancelled) == 2 }) {
		return false, errNotBegun
	}
	if a := d.client(1, http.MethodGet, "/boards/urgent/"+kept, nil); a.status != http.StatusOK {
		return false, errNotAccepted
	}
	if trouble {
		if err := d.operator(http.MethodPost, "/Config.Put", configuration(2, "/boards/")); err != nil {
			return false, err
		}
	}
	time.Sleep(4 * time.Second) // more than config_apply_ms, visible_ms and contact_ms
	for front := range frontMachines {
		a := d.client(front, http.MethodGet, "/boards/urgent/"+kept, nil)
		if a.status == http.StatusGone {
			d.rec.printf("LOST: job %s was accepted, nobody has cancelled it, and the answer is 410", kept)
			broken = true
		}
	}
	a := d.client(0, http.MethodDelete, "/boards/urgent/"+cancelled, nil)
	acknowledged := time.Now()
	if a.status != http.StatusOK && a.status != http.StatusGone {
		d.rec.printf("the cancel was not acknowledged: %d", a.status)
		return broken, nil
	}
	time.Sleep(14 * time.Second)
	for _, e := range d.eventsOf(cancelled) {
		if late := e.at.Sub(acknowledged); e.how == "" && late > 3*time.Second {
			d.rec.printf("UNASKED: %s begins %.1f s after the cancel of its job was acknowledged", e.task, late.Seconds())
			broken = true
		}
	}
	return broken, nil
}

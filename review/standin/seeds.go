package main

import (
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

// The bounds of the settings that the case of the new seeds is judged by.
const (
	recoveryTime = 12 * time.Second
	finishTime   = 14 * time.Second
	downTime     = 1200 * time.Millisecond
)

const (
	shortJob   = `{"spec":"{\"work_ms\":300}","steps":[{"count":2,"cpu":500,"mem_mb":256,"estimated_ms":300}]}`
	lastingJob = `{"spec":"{\"lasts\":true}","steps":[{"count":2,"cpu":1000,"mem_mb":512,"estimated_ms":300,"long_running":true}]}`
)

// playSeeds plays the case of the new seeds: the settings name three control hosts without a disk, later all
// processes are killed at the same moment and start again.
func playSeeds(d *deployment, trouble bool) int {
	c := &caller{record: d.record}
	var ips, diskless []string
	for _, m := range d.fronts() {
		ips = append(ips, m.ip)
		if !m.disk {
			diskless = append(diskless, m.ip)
		}
	}
	if err := d.startAll(); err != nil {
		d.record.add("not started: %v", err)
		return exitNotRun
	}
	workers, err := d.startWorkers("worker")
	defer func() {
		for _, w := range workers {
			w.kill()
		}
	}()
	if err != nil || !c.put(ips, configuration(1), 20*time.Second) {
		d.record.add("the first configuration was not acknowledged: %v", err)
		return exitNotRun
	}
	d.bootstrap = false
	if err := d.writeSettings(); err != nil {
		return exitNotRun
	}
	lasting := newID()
	if !waitFor(20*time.Second, func() bool { return c.submit(ips[0], lasting, lastingJob) == http.StatusOK }) {
		return exitNotRun
	}
	accepted, sent := traffic(c, ips, 6*time.Second)
	before := len(accepted)
	d.record.add("before: %d of %d requests served", before, sent)
	if 4*before < sent {
		return exitNotRun
	}
	if trouble {
		d.seeds = diskless
		if err := d.writeSettings(); err != nil {
			return exitNotRun
		}
		d.record.add("the settings name new seeds: %v", d.seeds)
		time.Sleep(3 * time.Second)
	}
	if !c.put(ips, configuration(2), 5*time.Second) {
		d.record.add("the second configuration was not acknowledged")
		return exitNotRun
	}
	if trouble {
		d.record.add("all processes are killed")
		d.killAll()
		time.Sleep(downTime)
		if err := d.startAll(); err != nil {
			return exitNotRun
		}
		d.record.add("all processes are started")
	}
	time.Sleep(recoveryTime)
	later, sent := traffic(c, ips, 8*time.Second)
	d.record.add("after: %d of %d requests served", len(later), sent)
	time.Sleep(finishTime)
	lost := countUntold(c, ips, append(accepted, lasting))
	d.record.add("%d of %d jobs that were accepted before are told by no machine", lost, len(accepted)+1)
	idle := absent(d.events(workers), lasting, time.Now())
	d.record.add("tasks that last and don't run: %v", idle)
	if ended := d.exits(); len(ended) > 0 {
		d.record.add("processes that ended by themselves: %v", ended)
		return exitNotRun
	}
	if lost > 0 || len(idle) > 0 {
		d.record.add("LOST is broken")
		return exitBroken
	}
	if 4*len(later) < sent {
		d.record.add("RECOVER is broken")
		return exitBroken
	}
	return exitHeld
}

// traffic submits a job every quarter of a second, each at a machine drawn by lot and then, without a
// success, at further ones. It returns the jobs that were accepted and the number of jobs.
func traffic(c *caller, ips []string, length time.Duration) (accepted []string, sent int) {
	var mu sync.Mutex
	var calls sync.WaitGroup
	for end := time.Now().Add(length); time.Now().Before(end); time.Sleep(250 * time.Millisecond) {
		sent++
		calls.Go(func() {
			id := newID()
			for _, i := range rand.Perm(len(ips))[:3] {
				if c.submit(ips[i], id, shortJob) == http.StatusOK {
					mu.Lock()
					defer mu.Unlock()
					accepted = append(accepted, id)
					return
				}
			}
		})
	}
	calls.Wait()
	return accepted, sent
}

// countUntold asks for all jobs at the same time and returns how many no machine tells the state of.
func countUntold(c *caller, ips, jobs []string) int {
	answers := make(chan bool, len(jobs))
	for _, id := range jobs {
		go func() { answers <- told(c, ips, id) }()
	}
	untold := 0
	for range jobs {
		if !<-answers {
			untold++
		}
	}
	return untold
}

// told reports whether any machine tells the state of a job.
func told(c *caller, ips []string, id string) bool {
	answers := make(chan bool, len(ips))
	for _, ip := range ips {
		go func() {
			status, _ := c.state(ip, id)
			answers <- status == http.StatusOK
		}()
	}
	any := false
	for range ips {
		any = <-answers || any
	}
	return any
}

// absent returns the tasks of a job that have begun once and don't run at a given time, although their last
// run ended over 9 s before: 6 s and 3 s are allowed.
func absent(events []event, job string, now time.Time) []string {
	type key struct {
		task string
		run  uint64
	}
	running := map[key]bool{}
	lastEnd := map[string]time.Time{}
	for _, e := range events {
		k := key{e.Task, e.Run}
		switch {
		case len(e.Task) < len(job) || e.Task[:len(job)] != job:
		case e.Kind == "run began":
			running[k] = true
			lastEnd[e.Task] = time.Time{}
		case e.Kind == "run ended":
			delete(running, k)
			lastEnd[e.Task] = e.at
		}
	}
	runs := map[string]bool{}
	for k := range running {
		runs[k.task] = true
	}
	var list []string
	for task, at := range lastEnd {
		if !runs[task] && now.Sub(at) > 9*time.Second {
			list = append(list, task)
		}
	}
	return list
}

package main

import (
	"fmt"
	"net/http"
	"syscall"
	"time"

	"github.com/cairnlift/cairnlift/platform/platformtest"
)

const (
	leavingRunners = 8
	leavingRounds  = 8
	// drainTime is the bound of the rule.
	drainTime = 2 * time.Second
	// wideJob is one of the jobs whose tasks are on their way when a runner begins to drain. The site's quick jobs,
	// 4.46 a second, come 2.6 times as often for 3 s.
	wideJob      = `{"spec":"x","steps":[{"count":24,"cpu":300,"mem_mb":64,"estimated_ms":500}]}`
	jobsPerRound = 33
	jobInterval  = 90 * time.Millisecond
	// leavesAtJob is the job of a round after which the runner is asked to leave.
	leavesAtJob = 22
)

// playLeaving plays the case of the starts on runners that leave: for some seconds, half of the starts get no answer
// and are carried out late, and meanwhile one runner of eight drains; it leaves and is followed by a new one.
func playLeaving(d *deployment, trouble bool) int {
	c := &caller{record: d.record}
	var ips []string
	for _, m := range d.fronts() {
		ips = append(ips, m.ip)
	}
	if err := d.startAll(); err != nil {
		d.record.add("not started: %v", err)
		return exitNotRun
	}
	workers, err := d.startWorkers("runner")
	defer func() {
		for _, w := range workers {
			w.kill()
		}
	}()
	if err != nil || !c.put(ips, configuration(1), 20*time.Second) {
		d.record.add("the first configuration was not acknowledged: %v", err)
		return exitNotRun
	}
	time.Sleep(4 * time.Second)
	for round := range leavingRounds {
		if trouble {
			for _, w := range workers {
				w.signal(syscall.SIGUSR1)
			}
		}
		leaving := workers[round%len(workers)]
		for i := range jobsPerRound {
			if i == leavesAtJob && trouble {
				d.record.add("%s is asked to leave", leaving.name)
				leaving.signal(syscall.SIGTERM)
			}
			next := time.Now().Add(jobInterval)
			if status := c.submit(ips[i%len(ips)], newID(), wideJob); status != http.StatusOK {
				d.record.add("a job was answered %d", status)
			}
			time.Sleep(time.Until(next))
		}
		time.Sleep(servesOn + 1500*time.Millisecond)
		if trouble && waitFor(3*time.Second, func() bool { return !leaving.running() }) {
			if err := leaving.start(); err != nil {
				d.record.add("%s: %v", leaving.name, err)
				return exitNotRun
			}
		}
		time.Sleep(time.Second)
	}
	late := startsWhileDraining(d.events(workers))
	for _, line := range late {
		d.record.add("%s", line)
	}
	if ended := d.exits(); len(ended) > 0 {
		d.record.add("processes that ended by themselves: %v", ended)
		return exitNotRun
	}
	if len(late) > 0 {
		d.record.add("DRAIN is broken")
		return exitBroken
	}
	return exitHeld
}

// startsWhileDraining returns the starts that were carried out at once, later than drainTime after the runner's
// agent had acknowledged that the runner drains.
func startsWhileDraining(events []event) []string {
	acknowledged := map[string]time.Time{}
	var list []string
	for _, e := range events {
		at, draining := acknowledged[e.Worker]
		switch {
		case e.Kind == drainAcknowledged:
			acknowledged[e.Worker] = e.at
		case e.Kind == platformtest.RunStarted && draining && e.at.Sub(at) > drainTime:
			list = append(list, fmt.Sprintf("%s was started on %s %.3f s after the draining was acknowledged", e.Task, e.Worker, e.at.Sub(at).Seconds()))
		}
	}
	return list
}

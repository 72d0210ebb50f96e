package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/cairnlift/cairnlift/platform/platformtest"
)

const (
	// backAfter is how long after a crash the runner is back.
	backAfter = 2 * time.Second
	// playTime is how long the task that crashes its runners is observed.
	playTime = 60 * time.Second
	// crashesBefore is the number of crashed runners from which on starts are counted, and startsAllowed how
	// many starts may follow.
	crashesBefore = 3
	startsAllowed = 2
)

// besideJob has a task that lasts on each of the four runners.
const besideJob = `{"spec":"{\"lasts\":true}","steps":[{"count":4,"cpu":1000,"mem_mb":512,"estimated_ms":300,"long_running":true,"anti_affinity":1}]}`

// playCrashes plays the case of a task that crashes each runner that starts it, each time after another time
// of its work.
func playCrashes(d *deployment, trouble bool) int {
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
	stop := restartCrashed(d, workers)
	defer stop()
	if err != nil || !c.put(ips, configuration(1), 20*time.Second) {
		d.record.add("the first configuration was not acknowledged: %v", err)
		return exitNotRun
	}
	d.bootstrap = false
	if err := d.writeSettings(); err != nil {
		return exitNotRun
	}
	beside := newID()
	if !waitFor(20*time.Second, func() bool {
		return c.submit(ips[0], beside, besideJob) == http.StatusOK
	}) {
		return exitNotRun
	}
	time.Sleep(2 * time.Second)
	spec := `{\"work_ms\":9000,\"crash_ms\":[3000,6000,1500,8500,700,4500,2200]}`
	if !trouble {
		spec = `{\"work_ms\":9000}`
	}
	crashing := newID()
	body := fmt.Sprintf(`{"spec":"%s","steps":[{"count":1,"cpu":500,"mem_mb":256,"estimated_ms":9000}]}`, spec)
	if c.submit(ips[1], crashing, body) != http.StatusOK {
		return exitNotRun
	}
	waitFor(playTime, func() bool {
		time.Sleep(time.Second)
		_, state := c.state(ips[2], crashing)
		return state == "failed" || state == "succeeded"
	})
	stop()
	events := d.events(workers)
	if ended := d.exits(); len(ended) > 0 {
		d.record.add("processes that ended by themselves: %v", ended)
		return exitNotRun
	}
	starts, runners := startsAfterCrashes(events, crashing)
	d.record.add("runners that crashed under the task, in order: %v", runners)
	d.record.add("starts of the task after %d of them had crashed: %d", crashesBefore, starts)
	d.record.add("runs of the job beside it, of 4 tasks: %d", countStarts(events, beside))
	if starts > startsAllowed {
		d.record.add("BUDGET is broken")
		return exitBroken
	}
	return exitHeld
}

// restartCrashed starts each runner again some seconds after it has ended, until the returned function is called,
// which kills them.
func restartCrashed(d *deployment, workers []*process) (stop func()) {
	done := make(chan struct{})
	var restarts sync.WaitGroup
	for _, w := range workers {
		restarts.Go(func() {
			for {
				select {
				case <-done:
					w.kill()
					return
				case <-w.ended:
				}
				select {
				case <-done:
					return
				case <-time.After(backAfter):
				}
				if err := w.start(); err != nil {
					d.record.add("%s: %v", w.name, err)
					return
				}
			}
		})
	}
	var once sync.Once
	return func() {
		once.Do(func() { close(done) })
		restarts.Wait()
	}
}

// startsAfterCrashes returns how often a job's task was started after crashesBefore runners had crashed under it,
// and which runners crashed under it.
func startsAfterCrashes(events []event, job string) (starts int, runners []string) {
	runningOn := ""
	for _, e := range events {
		switch {
		case e.Kind == platformtest.RunStarted && strings.HasPrefix(e.Task, job):
			runningOn = e.Worker
			if len(runners) >= crashesBefore {
				starts++
			}
		case e.Kind == platformtest.RunEnded && strings.HasPrefix(e.Task, job):
			runningOn = ""
		case e.Kind == crashed && e.Worker == runningOn:
			runners = append(runners, e.Worker)
			runningOn = ""
		}
	}
	return starts, runners
}

func countStarts(events []event, job string) int {
	n := 0
	for _, e := range events {
		if e.Kind == platformtest.RunStarted && strings.HasPrefix(e.Task, job) {
			n++
		}
	}
	return n
}

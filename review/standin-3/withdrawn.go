package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	manyCancels   = 10_200
	fewCancels    = 100
	withdrawnJobs = 10
	// keptJobs are submitted beside them and not cancelled: a quarter of the client's jobs are withdrawn.
	keptJobs = 30
	// heldFor is how long the link holds the submissions of client B, and cancelAfter when it cancels them.
	heldFor     = 7 * time.Second
	cancelAfter = 2 * time.Second
	cancelBound = 3 * time.Second
)

// withdrawn has one client cancel jobs that nobody submitted, many or few. Another client submits jobs over a
// link that holds them for seconds, gives up, and cancels them over another link, which is acknowledged.
func withdrawn(rec *record, trouble bool) (broken []string, err error) {
	d, err := newDeployment(rec, 3, 2)
	if err != nil {
		return nil, err
	}
	defer d.stop()
	if err := d.start(configuration(1, "/small/", "/batch/")); err != nil {
		return nil, err
	}
	time.Sleep(4 * time.Second)
	calls := fewCancels
	if trouble {
		calls = manyCancels
	}
	rec.add("client A: DELETE of jobs that nobody submitted, answers %v", cancelUnknown(d, calls))
	acknowledged := map[string]time.Time{}
	var mu sync.Mutex
	var jobs sync.WaitGroup
	go submitKept(d)
	for range withdrawnJobs {
		id := fmt.Sprintf("%016x", rand.Uint64())
		jobs.Add(1)
		go func() {
			defer jobs.Done()
			sent := time.Now()
			go func() {
				rec.add("client B: POST /small/%s over the link that holds it: answer %d", id, d.heldSubmit(id))
			}()
			time.Sleep(cancelAfter)
			for range 5 {
				status, _ := d.call(http.MethodDelete, d.front(1)+":8161", routeHost, "/small/"+id, nil, 3*time.Second)
				rec.add("client B: DELETE /small/%s, %.1f s after its submission: answer %d", id, time.Since(sent).Seconds(), status)
				if status == http.StatusOK || status == http.StatusGone {
					mu.Lock()
					acknowledged[id] = time.Now()
					mu.Unlock()
					return
				}
			}
		}()
	}
	jobs.Wait()
	time.Sleep(heldFor + 5*time.Second)
	for id, at := range acknowledged {
		for _, w := range d.servers {
			if begun, ok := w.firstStart(id); ok && begun.Sub(at) > cancelBound {
				broken = append(broken, fmt.Sprintf("UNASKED: %s was told to start a task of %s %.1f s after its cancel was acknowledged", w.id, id, begun.Sub(at).Seconds()))
			}
		}
	}
	rec.add("client B: %d cancels acknowledged, %d jobs started later than cancel_ms after that", len(acknowledged), len(broken))
	if len(acknowledged) < withdrawnJobs {
		return nil, fmt.Errorf("%d of %d cancels were acknowledged", len(acknowledged), withdrawnJobs)
	}
	return broken, nil
}

// submitKept submits the jobs of client B that it does not cancel.
func submitKept(d *deployment) {
	answers := map[int]int{}
	for range keptJobs {
		spec, _ := json.Marshal(work{WorkMs: 500, CPU: 100})
		status, _ := d.call(http.MethodPost, d.front(2)+":8161", routeHost, fmt.Sprintf("/small/%016x", rand.Uint64()), map[string]any{
			"spec": string(spec), "steps": []map[string]any{{"count": 1, "cpu": 100, "mem_mb": 16, "estimated_ms": 500}},
		}, 3*time.Second)
		answers[status]++
	}
	d.rec.add("client B: %d jobs that it does not cancel, answers %v", keptJobs, answers)
}

// cancelUnknown cancels jobs that don't exist, and returns the number of answers by status.
func cancelUnknown(d *deployment, calls int) map[int]int {
	const callers = 8
	var mu sync.Mutex
	answers := map[int]int{}
	var all sync.WaitGroup
	for c := range callers {
		all.Add(1)
		go func() {
			defer all.Done()
			for range calls / callers {
				status, _ := d.call(http.MethodDelete, d.front(c%d.controls)+":8161", routeHost, fmt.Sprintf("/batch/%016x", rand.Uint64()), nil, 3*time.Second)
				mu.Lock()
				answers[status]++
				mu.Unlock()
			}
		}()
	}
	all.Wait()
	return answers
}

// heldSubmit submits a job over a link that holds the request for heldFor. It returns the status that the
// entry answers, which the client does not wait for.
func (d *deployment) heldSubmit(id string) (status int) {
	spec, _ := json.Marshal(work{WorkMs: 500, CPU: 100})
	body, _ := json.Marshal(map[string]any{"spec": string(spec), "steps": []map[string]any{{"count": 1, "cpu": 100, "mem_mb": 16, "estimated_ms": 500}}})
	request := fmt.Sprintf("POST /small/%s HTTP/1.1\r\nHost: %s\r\nContent-Type: application/json\r\nX-Deadline-Ms: 3000\r\nContent-Length: %d\r\n\r\n%s", id, routeHost, len(body), body)
	time.Sleep(heldFor)
	conn, err := net.Dial("tcp", d.front(0)+":8161")
	if err != nil {
		return 0
	}
	defer func() { _ = conn.Close() }()
	if _, err := conn.Write([]byte(request)); err != nil {
		return 0
	}
	_ = conn.SetReadDeadline(time.Now().Add(4 * time.Second))
	var line [64]byte
	if _, err := conn.Read(line[:]); err != nil {
		return 0
	}
	_, _ = fmt.Sscanf(string(line[:]), "HTTP/1.1 %d", &status)
	return status
}

// firstStart returns when the worker first began a task of a job.
func (w *worker) firstStart(job string) (at time.Time, begun bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for task, t := range w.firstBegan {
		if strings.HasPrefix(task, job+".") && (!begun || t.Before(at)) {
			at, begun = t, true
		}
	}
	return at, begun
}

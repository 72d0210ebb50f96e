package soak

import (
	"fmt"
	"net/http"
	"time"
)

const (
	// maxStartAfterCancel is how long after an acknowledged cancellation a run may still begin.
	maxStartAfterCancel = 3 * time.Second
	// maxStopTime is how long the runs of a canceled job may continue while no fault occurs.
	maxStopTime = 4 * time.Second
)

// addViolation records a guarantee that was violated.
func (rep *report) addViolation(format string, values ...any) {
	rep.violations = append(rep.violations, fmt.Sprintf(format, values...))
}

// checkJob compares the responses that a job's caller received with the runs of the job.
func (rep *report) checkJob(j submittedJob) {
	runs := rep.rec.runsOfJob(j.ID)
	if j.Refused {
		if len(runs) > 0 {
			rep.addViolation("%s: refused, but a run began at %s", j.ID, runs[0].start.Format(clockFormat))
		}
		return
	}
	rep.checkState(j, runs)
	if !j.Canceled.IsZero() {
		rep.checkCanceled(j, runs)
	}
}

func (rec *record) runsOfJob(id string) []*run {
	var list []*run
	for _, r := range rec.runs {
		if jobOf(r.task) == id {
			list = append(list, r)
		}
	}
	return list
}

// checkState compares a job's final state with the workers' records.
func (rep *report) checkState(j submittedJob, runs []*run) {
	if j.Status != http.StatusOK {
		rep.addViolation("%s: accepted at %s, but the final query of its state returned status %d", j.ID, j.Accepted.Format(clockFormat), j.Status)
		return
	}
	step := j.Job.Steps[0]
	done, failed := map[string]bool{}, map[string]int{}
	for _, r := range runs {
		switch r.outcome {
		case "done":
			done[r.task] = true
		case "failed":
			failed[r.task]++
		}
	}
	wrong, maxFailures := false, 0
	for _, times := range failed {
		maxFailures = max(maxFailures, times)
	}
	switch j.State {
	case "queued", "running":
		wrong = !j.Canceled.IsZero() && j.Canceled.Before(rep.rec.end.Add(-maxStopTime))
	case "succeeded":
		wrong = len(done) != int(step.Count)
	case "failed":
		wrong = maxFailures < batchAttempts || step.LongRunning
	case "canceled":
		wrong = j.CancelSent.IsZero()
	default:
		wrong = true
	}
	if wrong {
		rep.addViolation("%s: wrong final state %q: %d runs, %d of %d tasks done, at most %d failed runs of one task, accepted %s, cancel acknowledged %s", j.ID, j.State,
			len(runs), len(done), step.Count, maxFailures, j.Accepted.Format(clockFormat), j.Canceled.Format(clockFormat))
	}
}

// wantedPart returns the part of a gap before the caller requested the cancellation of the job, and whether
// there is one.
func (j submittedJob) wantedPart(g gap) (gap, bool) {
	if !j.CancelSent.IsZero() && g.to.After(j.CancelSent) {
		g.to, g.next = j.CancelSent, nil
	}
	return g, g.from.Before(g.to)
}

// checkCanceled finds runs that begin or continue too long after an acknowledged cancellation. A run may
// begin later if its start was sent before and then delayed by a faulty link or a paused worker.
func (rep *report) checkCanceled(j submittedJob, runs []*run) {
	for _, r := range runs {
		late := r.start.After(j.Canceled.Add(maxStartAfterCancel))
		if late && !rep.rec.mayBeDelayed(r.incarnation.worker, r.start.Add(-maxStartAfterCancel), r.start) {
			rep.addViolation("%s: run %d on %s began at %s, cancel acknowledged at %s", r.task, r.number, r.incarnation.worker,
				r.start.Format(clockFormat), j.Canceled.Format(clockFormat))
		}
		if at, on := rep.stillRunning(r, maxTime(j.Canceled, r.start)); on {
			rep.addViolation("%s: run %d on %s is still running at %s, cancel acknowledged at %s", r.task, r.number, r.incarnation.worker,
				at.Format(clockFormat), j.Canceled.Format(clockFormat))
		}
	}
}

// stillRunning reports whether a run continues although, after a moment, maxStopTime passed without a fault
// and its worker is reachable. It returns the first sampled time at which this is the case.
func (rep *report) stillRunning(r *run, since time.Time) (time.Time, bool) {
	for at := since.Add(maxStopTime); at.Before(r.end); at = at.Add(sampleInterval) {
		faultFree := rep.rec.longestFaultFree(at.Add(-maxStopTime), at) == maxStopTime
		if faultFree && rep.rec.reachable(r.incarnation.worker, at) {
			return at, true
		}
	}
	return time.Time{}, false
}

// checkDone finds runs of a task that begin after the acknowledgement of an end "done". An end does not
// count if the worker's lease expired between the end and its acknowledgement, because the run was
// declared lost before.
func (rep *report) checkDone(task string) {
	var done *run
	for _, r := range rep.rec.runsOf(task) {
		if done != nil && r.start.After(done.ackedAt) {
			rep.addViolation("%s: run %d on %s began at %s after run %d on %s was done, acknowledged at %s", task, r.number, r.incarnation.worker,
				r.start.Format(clockFormat), done.number, done.incarnation.worker, done.ackedAt.Format(clockFormat))
		}
		if r.acknowledged && !r.leaseExpiredBeforeAck && r.outcome == "done" && (done == nil || r.ackedAt.Before(done.ackedAt)) {
			done = r
		}
	}
}

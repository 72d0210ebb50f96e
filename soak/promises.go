package soak

import (
	"fmt"
	"net/http"
	"time"
)

const (
	// maxStartAfterCancel is how long after an acknowledged cancel a run may still begin.
	maxStartAfterCancel = 3 * time.Second
	// maxStopTime is how long all must have been calm for a canceled job to have stopped.
	maxStopTime = 4 * time.Second
)

func (rep *report) addViolation(format string, values ...any) {
	rep.violations = append(rep.violations, fmt.Sprintf(format, values...))
}

// checkJob judges what a job's caller was told.
func (rep *report) checkJob(j submittedJob) {
	runs := rep.rec.runsOfJob(j.ID)
	if j.Refused {
		if len(runs) > 0 {
			rep.addViolation("%s: refused, and a run began at %s", j.ID, runs[0].start.Format(clockFormat))
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

// checkState compares a job's state at the end with what the workers saw.
func (rep *report) checkState(j submittedJob, runs []*run) {
	if j.Status != http.StatusOK {
		rep.addViolation("%s: accepted at %s, and asked for its state in the end: status %d", j.ID, j.Accepted.Format(clockFormat), j.Status)
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
	wrong, most := false, 0
	for _, times := range failed {
		most = max(most, times)
	}
	switch j.State {
	case "queued", "running":
		wrong = !j.Canceled.IsZero() && j.Canceled.Before(rep.rec.end.Add(-maxStopTime))
	case "succeeded":
		wrong = len(done) != int(step.Count)
	case "failed":
		wrong = most < batchAttempts || step.LongRunning
	case "canceled":
		wrong = j.CancelSent.IsZero()
	default:
		wrong = true
	}
	if wrong {
		rep.addViolation("%s: %q in the end; %d runs, %d of %d tasks done, one failed %d times, accepted %s, cancel acknowledged %s", j.ID, j.State,
			len(runs), len(done), step.Count, most, j.Accepted.Format(clockFormat), j.Canceled.Format(clockFormat))
	}
}

// wantedPart is the part of a gap before the caller asked for the job's end.
func (j submittedJob) wantedPart(g gap) (gap, bool) {
	if !j.CancelSent.IsZero() && g.to.After(j.CancelSent) {
		g.to, g.next = j.CancelSent, nil
	}
	return g, g.from.Before(g.to)
}

// checkCanceled looks for runs that begin or go on after a cancel. A start that was sent before and
// that a disturbed link or a worker that stood still held up may begin later.
func (rep *report) checkCanceled(j submittedJob, runs []*run) {
	for _, r := range runs {
		late := r.start.After(j.Canceled.Add(maxStartAfterCancel))
		if late && !rep.rec.mayBeDelayed(r.incarnation.worker, r.start.Add(-maxStartAfterCancel), r.start) {
			rep.addViolation("%s: run %d on %s began at %s, cancel acknowledged at %s", r.task, r.number, r.incarnation.worker,
				r.start.Format(clockFormat), j.Canceled.Format(clockFormat))
		}
		if at, on := rep.stillRunning(r, maxTime(j.Canceled, r.start)); on {
			rep.addViolation("%s: run %d on %s goes on at %s, cancel acknowledged at %s", r.task, r.number, r.incarnation.worker,
				at.Format(clockFormat), j.Canceled.Format(clockFormat))
		}
	}
}

// stillRunning reports whether a run goes on when all has been calm for long enough since a moment.
func (rep *report) stillRunning(r *run, since time.Time) (time.Time, bool) {
	for at := since.Add(maxStopTime); at.Before(r.end); at = at.Add(sampleInterval) {
		calm := rep.rec.longestFaultFree(at.Add(-maxStopTime), at) == maxStopTime
		if calm && rep.rec.reachable(r.incarnation.worker, at) {
			return at, true
		}
	}
	return time.Time{}, false
}

// checkDone looks for runs of a task after an end "done" that was acknowledged. One whose
// worker's lease ran out between the two doesn't count: the run was given up before.
func (rep *report) checkDone(task string) {
	var done *run
	for _, r := range rep.rec.runsOf(task) {
		if done != nil && r.start.After(done.ackedAt) {
			rep.addViolation("%s: run %d on %s began at %s, run %d on %s was done, which was acknowledged at %s", task, r.number, r.incarnation.worker,
				r.start.Format(clockFormat), done.number, done.incarnation.worker, done.ackedAt.Format(clockFormat))
		}
		if r.acknowledged && !r.leaseExpiredBeforeAck && r.outcome == "done" && (done == nil || r.ackedAt.Before(done.ackedAt)) {
			done = r
		}
	}
}

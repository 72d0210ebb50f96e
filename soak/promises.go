package soak

import (
	"fmt"
	"net/http"
	"time"
)

const (
	// beginsAfterCancel is how long after an acknowledged cancel a run may still begin.
	beginsAfterCancel = 3 * time.Second
	// stopsWithin is how long all must have been calm for a canceled job to have stopped.
	stopsWithin = 4 * time.Second
)

func (rep *report) breaks(format string, values ...any) {
	rep.promises = append(rep.promises, fmt.Sprintf(format, values...))
}

// judgeJob judges what a job's caller was told.
func (rep *report) judgeJob(j submittedJob) {
	runs := rep.rec.runsOfJob(j.ID)
	if j.Refused {
		if len(runs) > 0 {
			rep.breaks("%s: refused, and a run began at %s", j.ID, runs[0].began.Format(clockFormat))
		}
		return
	}
	rep.judgeState(j, runs)
	if !j.Canceled.IsZero() {
		rep.judgeCanceled(j, runs)
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

// judgeState compares a job's state at the end with what the workers saw.
func (rep *report) judgeState(j submittedJob, runs []*run) {
	if j.Status != http.StatusOK {
		rep.breaks("%s: accepted at %s, and asked for its state in the end: status %d", j.ID, j.Accepted.Format(clockFormat), j.Status)
		return
	}
	step := j.Job.Steps[0]
	done, failed := map[string]bool{}, map[string]int{}
	for _, r := range runs {
		switch r.how {
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
		wrong = !j.Canceled.IsZero() && j.Canceled.Before(rep.rec.end.Add(-stopsWithin))
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
		rep.breaks("%s: %q in the end; %d runs, %d of %d tasks done, one failed %d times, accepted %s, cancel acknowledged %s", j.ID, j.State,
			len(runs), len(done), step.Count, most, j.Accepted.Format(clockFormat), j.Canceled.Format(clockFormat))
	}
}

// wanted is the part of a gap before the caller asked for the job's end.
func (j submittedJob) wanted(g gap) (gap, bool) {
	if !j.CancelSent.IsZero() && g.to.After(j.CancelSent) {
		g.to, g.next = j.CancelSent, nil
	}
	return g, g.from.Before(g.to)
}

// judgeCanceled looks for runs that begin or go on after a cancel. A start that was sent before and
// that a disturbed link or a worker that stood still held up may begin later.
func (rep *report) judgeCanceled(j submittedJob, runs []*run) {
	for _, r := range runs {
		late := r.began.After(j.Canceled.Add(beginsAfterCancel))
		if late && !rep.rec.heldUp(r.life.worker, r.began.Add(-beginsAfterCancel), r.began) {
			rep.breaks("%s: run %d on %s began at %s, cancel acknowledged at %s", r.task, r.number, r.life.worker,
				r.began.Format(clockFormat), j.Canceled.Format(clockFormat))
		}
		if at, on := rep.goesOn(r, maxTime(j.Canceled, r.began)); on {
			rep.breaks("%s: run %d on %s goes on at %s, cancel acknowledged at %s", r.task, r.number, r.life.worker,
				at.Format(clockFormat), j.Canceled.Format(clockFormat))
		}
	}
}

// goesOn reports whether a run goes on when all has been calm for long enough since a moment.
func (rep *report) goesOn(r *run, since time.Time) (time.Time, bool) {
	for at := since.Add(stopsWithin); at.Before(r.end); at = at.Add(sampleEvery) {
		calm := rep.rec.calmWithin(at.Add(-stopsWithin), at) == stopsWithin
		if calm && rep.rec.reachable(r.life.worker, at) {
			return at, true
		}
	}
	return time.Time{}, false
}

// judgeDone looks for runs of a task after an end "done" that was acknowledged. One whose
// worker's lease ran out between the two doesn't count: the run was given up before.
func (rep *report) judgeDone(task string) {
	var done *run
	for _, r := range rep.rec.runsOf(task) {
		if done != nil && r.began.After(done.ackedAt) {
			rep.breaks("%s: run %d on %s began at %s, run %d on %s was done, which was acknowledged at %s", task, r.number, r.life.worker,
				r.began.Format(clockFormat), done.number, done.life.worker, done.ackedAt.Format(clockFormat))
		}
		if r.acknowledged && !r.lapsedBefore && r.how == "done" && (done == nil || r.ackedAt.Before(done.ackedAt)) {
			done = r
		}
	}
}

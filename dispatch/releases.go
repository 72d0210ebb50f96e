package dispatch

import (
	"time"

	"github.com/cairnlift/cairnlift/admission"
	apiv1 "github.com/cairnlift/cairnlift/api/v1"
	"github.com/cairnlift/cairnlift/jobqueue"
)

const (
	// releaseInterval is the resolution of the times at which running tasks are expected to end, and
	// maxReleases bounds the number of these times: tasks that end later count at the last one.
	releaseInterval = 100 * time.Millisecond
	maxReleases     = 100
	// releasesKnownAfter is how long after a leader took over it has had two reports of each worker.
	releasesKnownAfter = time.Second
	// minProgress is the progress, in percent, from which on the end of a run follows from it.
	minProgress = 10
	allPercent  = 100
	// overduePart is the part of the time that a run has worked which it is expected to go on for, if it
	// reports no progress and has worked for longer than expected.
	overduePart = 8
)

// releases are the processors, in thousandths, that running tasks are expected to release, by the time from
// the computation on in intervals.
type releases [maxReleases]int64

func (r *releases) add(s *apiv1.JobStep, in time.Duration) {
	if s.LongRunning || s.Backfill {
		return
	}
	r[min(maxReleases-1, max(0, int(in/releaseInterval)))] += s.CpuMilli
}

// addRunning adds the runs that the log contains.
func (r *releases) addRunning(l *leaderState, m *jobqueue.Machine, expected func(*apiv1.JobStep) time.Duration, now time.Time) {
	for _, w := range m.Workers() {
		for _, run := range w.Runs {
			r.add(run.Step, l.remaining(run, expected(run.Step), now))
		}
	}
}

// remaining returns the time in which a run is expected to end: by its progress if it reports any, else by the
// time that tasks of its step usually take.
func (l *leaderState) remaining(run *jobqueue.Run, expected time.Duration, now time.Time) time.Duration {
	o, seen := l.observed[run.ID]
	if !seen {
		return expected
	}
	worked := o.Worked()
	left := expected - worked
	if o.Percent >= minProgress && o.Percent <= allPercent {
		left = worked * time.Duration(allPercent-o.Percent) / time.Duration(o.Percent)
	} else if left <= 0 {
		left = worked / overduePart
	}
	return max(0, left-now.Sub(o.At))
}

// list returns the releases that are expected some time after the computation.
func (r *releases) list(after time.Duration) []admission.Release {
	var list []admission.Release
	for i, milli := range r {
		if milli > 0 {
			list = append(list, admission.Release{In: max(0, time.Duration(i+1)*releaseInterval-after), CoreMilli: milli})
		}
	}
	return list
}

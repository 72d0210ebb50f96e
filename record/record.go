// Package record sums up, from the log lines of many processes, where time was lost: by
// queue, availability zone and second, and by cause. Operators ask it after a bad morning;
// package trace answers the same for one job.
package record

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/cairnlift/cairnlift/trace"
)

// Record is what the lines of some time come to.
type Record struct {
	First, Last time.Time
	// LeaderlessTime is the time without a leader.
	LeaderlessTime time.Duration
	Queues         []Queue
	LongRunning    []LongRunning
	Intervals      []Interval
}

// Queue is what became of the jobs of a queue that were handed in in an availability zone.
type Queue struct {
	Path, Zone string
	Outcomes   [numOutcomes]int
	Canceled   int
	// Refused are the submissions that were refused, in all zones.
	Refused int
	// LateBreakdown accounts for the time of the jobs that ended late.
	LateBreakdown Breakdown
}

// LongRunning is what the long-running jobs of a queue lost in an availability zone.
type LongRunning struct {
	Path, Zone string
	Windows    int
	// LostWindows counts the windows of which half or more was lost, by the cause that took most.
	LostWindows [numCauses]int
	Breakdown   Breakdown
}

// Interval is what happened within some seconds.
type Interval struct {
	From      time.Time
	Submitted int
	Finished  [numOutcomes]int
	// Events counts lines by cause: waiting steps, ends, tails over their objectives.
	Events [numCauses]int
	// LostWindows counts the windows of long-running jobs, as LongRunning does.
	LostWindows [numCauses]int
}

// Options say how to sum up.
type Options struct {
	// Window is the length of windows and intervals; 2 s when 0.
	Window time.Duration
}

const defaultWindow = 2 * time.Second

// Summarize sums up the lines of one or many processes.
func Summarize(lines []trace.Line, o Options) *Record {
	o.Window = cmp.Or(o.Window, defaultWindow)
	h := newHistory(lines)
	r := &Record{First: h.first, Last: h.last}
	for _, away := range h.leaderless {
		r.LeaderlessTime += away.length()
	}
	b := builder{r: r, h: h, o: o, queues: map[queueZone]*Queue{}, longRunning: map[queueZone]*LongRunning{}}
	for _, j := range h.sortedJobs() {
		b.addJob(j)
	}
	for _, e := range h.events {
		if i := b.interval(e.at); i != nil {
			i.Events[e.cause]++
		}
	}
	b.finish()
	return r
}

// queueZone is a queue's path and an availability zone.
type queueZone struct{ path, zone string }

func compareQueueZones(a, b queueZone) int {
	return cmp.Or(cmp.Compare(a.path, b.path), cmp.Compare(a.zone, b.zone))
}

type builder struct {
	r           *Record
	h           *history
	o           Options
	queues      map[queueZone]*Queue
	longRunning map[queueZone]*LongRunning
}

// interval returns the interval of a moment.
func (b *builder) interval(at time.Time) *Interval {
	if at.Before(b.r.First) || at.After(b.r.Last) {
		return nil
	}
	n := int(at.Sub(b.r.First) / b.o.Window)
	for len(b.r.Intervals) <= n {
		from := b.r.First.Add(time.Duration(len(b.r.Intervals)) * b.o.Window)
		b.r.Intervals = append(b.r.Intervals, Interval{From: from})
	}
	return &b.r.Intervals[n]
}

func (b *builder) addJob(j *job) {
	if j.submittedAt.IsZero() {
		return // Handed in before the lines begin.
	}
	if i := b.interval(j.submittedAt); i != nil {
		i.Submitted++
	}
	if j.isLongRunning() {
		b.addLongRunning(j)
		return
	}
	at := queueZone{j.path, j.zone}
	q := b.queues[at]
	if q == nil {
		q = &Queue{Path: j.path, Zone: j.zone}
		b.queues[at] = q
	}
	if !j.canceledAt.IsZero() {
		q.Canceled++
		return
	}
	outcome := j.outcome()
	q.Outcomes[outcome]++
	if outcome == Late || outcome == TooLate {
		q.LateBreakdown.add(b.h.criticalPath(j))
	}
	if i := b.interval(j.finishedAt); i != nil {
		i.Finished[outcome]++
	}
}

func (b *builder) addLongRunning(j *job) {
	at := queueZone{j.path, j.zone}
	l := b.longRunning[at]
	if l == nil {
		l = &LongRunning{Path: j.path, Zone: j.zone}
		b.longRunning[at] = l
	}
	for _, w := range b.h.windows(j, b.o.Window) {
		l.Windows++
		l.Breakdown.add(w.Breakdown)
		const half = 2
		if w.Breakdown.Lost()*half < w.TaskTime {
			continue
		}
		l.LostWindows[w.Cause()]++
		if i := b.interval(w.From); i != nil {
			i.LostWindows[w.Cause()]++
		}
	}
}

func (b *builder) finish() {
	for _, at := range slices.SortedFunc(maps.Keys(b.queues), compareQueueZones) {
		q := b.queues[at]
		q.Refused = b.h.refused[q.Path]
		b.r.Queues = append(b.r.Queues, *q)
	}
	for _, at := range slices.SortedFunc(maps.Keys(b.longRunning), compareQueueZones) {
		b.r.LongRunning = append(b.r.LongRunning, *b.longRunning[at])
	}
}

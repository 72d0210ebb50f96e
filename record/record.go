// Package record summarizes, from the log lines of many processes, how much time was lost, by
// queue, availability zone, interval and cause. Operators use it after an incident; package trace
// answers the same question for a single job.
package record

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/cairnlift/cairnlift/trace"
)

// Record is the summary of the lines of a period.
type Record struct {
	First, Last time.Time
	// LeaderlessTime is the total time without a leader.
	LeaderlessTime time.Duration
	Queues         []Queue
	LongRunning    []LongRunning
	Intervals      []Interval
}

// Queue summarizes the jobs of a queue that were submitted in an availability zone.
type Queue struct {
	Path, Zone string
	Outcomes   [numOutcomes]int
	Canceled   int
	// Refused is the number of refused submissions in all availability zones.
	Refused int
	// LateBreakdown divides the time of the jobs that finished late by cause.
	LateBreakdown Breakdown
}

// LongRunning summarizes the time that the long-running jobs of a queue lost in an availability
// zone.
type LongRunning struct {
	Path, Zone string
	Windows    int
	// LostWindows counts the windows of which half or more was lost, by the cause of most of the loss.
	LostWindows [numCauses]int
	Breakdown   Breakdown
}

// Interval counts the events of an interval.
type Interval struct {
	From      time.Time
	Submitted int
	Finished  [numOutcomes]int
	// Events counts lines by cause: waiting steps, ends of runs, tail latencies that exceed their
	// objectives.
	Events [numCauses]int
	// LostWindows counts the lost windows of long-running jobs, as LongRunning.LostWindows does.
	LostWindows [numCauses]int
}

// Options configure Summarize.
type Options struct {
	// Window is the length of windows and intervals; 0 means 2 s.
	Window time.Duration
}

const defaultWindow = 2 * time.Second

// Summarize returns the summary of the lines of one or more processes, which are in causal order.
func Summarize(lines []trace.Line, o Options) *Record {
	o.Window = cmp.Or(o.Window, defaultWindow)
	h := newHistory(lines)
	r := &Record{First: h.first, Last: h.last}
	for _, s := range h.leaderless {
		r.LeaderlessTime += s.length()
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

// queueZone identifies a queue, by its path, in an availability zone.
type queueZone struct{ path, zone string }

func compareQueueZones(a, b queueZone) int {
	return cmp.Or(cmp.Compare(a.path, b.path), cmp.Compare(a.zone, b.zone))
}

// builder builds a record from a history.
type builder struct {
	r           *Record
	h           *history
	o           Options
	queues      map[queueZone]*Queue
	longRunning map[queueZone]*LongRunning
}

// interval returns the interval that contains the given time; nil if it is outside the record.
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
		return // submitted before the first line
	}
	if i := b.interval(j.submittedAt); i != nil {
		i.Submitted++
	}
	if j.isLongRunning() {
		b.addLongRunning(j)
		return
	}
	key := queueZone{j.path, j.zone}
	q := b.queues[key]
	if q == nil {
		q = &Queue{Path: j.path, Zone: j.zone}
		b.queues[key] = q
	}
	if !j.canceledAt.IsZero() {
		q.Canceled++
		return
	}
	outcome := j.outcome()
	q.Outcomes[outcome]++
	if outcome == Late {
		q.LateBreakdown.add(b.h.criticalPath(j))
	}
	if i := b.interval(j.finishedAt); i != nil {
		i.Finished[outcome]++
	}
}

func (b *builder) addLongRunning(j *job) {
	key := queueZone{j.path, j.zone}
	l := b.longRunning[key]
	if l == nil {
		l = &LongRunning{Path: j.path, Zone: j.zone}
		b.longRunning[key] = l
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
	for _, key := range slices.SortedFunc(maps.Keys(b.queues), compareQueueZones) {
		q := b.queues[key]
		q.Refused = b.h.refused[q.Path]
		b.r.Queues = append(b.r.Queues, *q)
	}
	for _, key := range slices.SortedFunc(maps.Keys(b.longRunning), compareQueueZones) {
		b.r.LongRunning = append(b.r.LongRunning, *b.longRunning[key])
	}
}

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
	// LeaderAway is the time without a leader.
	LeaderAway  time.Duration
	Queues      []Queue
	LongRunning []LongRunning
	Intervals   []Interval
}

// Queue is what became of the jobs of a queue that were handed in in an availability zone.
type Queue struct {
	Path, Zone string
	Outcomes   [outcomes]int
	Canceled   int
	// Refused are the submissions that were refused, in all zones.
	Refused int
	// Late accounts for the time of the jobs that ended late.
	Late Costs
}

// LongRunning is what the long-running jobs of a queue lost in an availability zone.
type LongRunning struct {
	Path, Zone string
	Windows    int
	// LostBy counts the windows of which half or more was lost, by the cause that took most.
	LostBy [causes]int
	Costs  Costs
}

// Interval is what happened within some seconds.
type Interval struct {
	From     time.Time
	HandedIn int
	Ended    [outcomes]int
	// Events counts lines by cause: waiting steps, ends, tails over their objectives.
	Events [causes]int
	// LostWindows counts the windows of long-running jobs, as LongRunning does.
	LostWindows [causes]int
}

// Options say how to sum up.
type Options struct {
	// Window is the length of windows and intervals; 2 s when 0.
	Window time.Duration
}

const defaultWindow = 2 * time.Second

// Of sums up the lines of one or many processes.
func Of(lines []trace.Line, o Options) *Record {
	o.Window = cmp.Or(o.Window, defaultWindow)
	h := read(lines)
	r := &Record{First: h.first, Last: h.last}
	for _, away := range h.away {
		r.LeaderAway += away.length()
	}
	b := builder{r: r, h: h, o: o, queues: map[place]*Queue{}, longRunning: map[place]*LongRunning{}}
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

// place is a queue's path and an availability zone.
type place struct{ path, zone string }

func comparePlaces(a, b place) int {
	return cmp.Or(cmp.Compare(a.path, b.path), cmp.Compare(a.zone, b.zone))
}

type builder struct {
	r           *Record
	h           *history
	o           Options
	queues      map[place]*Queue
	longRunning map[place]*LongRunning
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
	if j.handedIn.IsZero() {
		return // Handed in before the lines begin.
	}
	if i := b.interval(j.handedIn); i != nil {
		i.HandedIn++
	}
	if j.isLongRunning() {
		b.addLongRunning(j)
		return
	}
	at := place{j.path, j.zone}
	q := b.queues[at]
	if q == nil {
		q = &Queue{Path: j.path, Zone: j.zone}
		b.queues[at] = q
	}
	if !j.canceled.IsZero() {
		q.Canceled++
		return
	}
	outcome := j.outcome()
	q.Outcomes[outcome]++
	if outcome == Late || outcome == TooLate {
		q.Late.add(b.h.chain(j))
	}
	if i := b.interval(j.over); i != nil {
		i.Ended[outcome]++
	}
}

func (b *builder) addLongRunning(j *job) {
	at := place{j.path, j.zone}
	l := b.longRunning[at]
	if l == nil {
		l = &LongRunning{Path: j.path, Zone: j.zone}
		b.longRunning[at] = l
	}
	for _, w := range b.h.windows(j, b.o.Window) {
		l.Windows++
		l.Costs.add(w.Costs)
		const half = 2
		if w.Costs.Lost()*half < w.Tasks {
			continue
		}
		l.LostBy[w.Cause()]++
		if i := b.interval(w.From); i != nil {
			i.LostWindows[w.Cause()]++
		}
	}
}

func (b *builder) finish() {
	for _, at := range slices.SortedFunc(maps.Keys(b.queues), comparePlaces) {
		q := b.queues[at]
		q.Refused = b.h.refused[q.Path]
		b.r.Queues = append(b.r.Queues, *q)
	}
	for _, at := range slices.SortedFunc(maps.Keys(b.longRunning), comparePlaces) {
		b.r.LongRunning = append(b.r.LongRunning, *b.longRunning[at])
	}
}

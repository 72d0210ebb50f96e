package soak

import (
	"bytes"
	"cmp"
	"encoding/json"
	"os"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/cairnlift/cairnlift/platform/platformtest"
)

// life is a life of a worker.
type life struct {
	worker     string
	bornMs     int64
	began, end time.Time
}

// run is a run of a task on a life of a worker.
type run struct {
	task       string
	number     uint64
	life       *life
	began, end time.Time
	// how it ended; "died" with its worker, "runs" when it had not ended.
	how string
}

// record is what the workers wrote and what was done to them.
type record struct {
	lives  []*life
	runs   []*run
	faults []fault
	end    time.Time
}

// readRecord reads the workers' lines. What had not ended by end is taken to end then.
func readRecord(c *cluster, end time.Time) (*record, error) {
	rec := &record{end: end}
	for _, f := range c.faults.all() {
		if f.at().Before(end) {
			rec.faults = append(rec.faults, f)
		}
	}
	for i, h := range c.hosts {
		data, err := os.ReadFile(h.worker.output)
		if err != nil {
			return nil, errors.Wrap(err, "record")
		}
		rec.readWorker(workerName(i), data)
	}
	slices.SortFunc(rec.runs, func(a, b *run) int { return a.began.Compare(b.began) })
	return rec, nil
}

func (rec *record) readWorker(name string, data []byte) {
	var now *life
	open := map[string]*run{}
	for line := range bytes.Lines(data) {
		var e platformtest.Event
		if json.Unmarshal(line, &e) != nil || e.Kind == "" || e.At().After(rec.end) {
			continue // another line, or one cut off by the end of the process
		}
		switch e.Kind {
		case platformtest.LifeBegan:
			now = &life{worker: name, bornMs: e.BornMs, began: e.At()}
			now.end = rec.endOf(now)
			rec.lives = append(rec.lives, now)
			open = map[string]*run{}
		case platformtest.RunBegan:
			r := &run{task: e.Task, number: e.Run, life: now, began: e.At(), end: now.end, how: "died"}
			if now.end.Equal(rec.end) {
				r.how = "runs"
			}
			open[e.Task] = r
			rec.runs = append(rec.runs, r)
		case platformtest.RunEnded:
			if r := open[e.Task]; r != nil && r.number == e.Run {
				r.end, r.how = e.At(), e.How
			}
		}
	}
}

// endOf is when a life ended by a kill.
func (rec *record) endOf(l *life) time.Time {
	for _, f := range rec.faults {
		if f.Process == l.worker && f.What == "ended" && f.at().After(l.began) {
			return f.at()
		}
	}
	return rec.end
}

// runsOf returns the runs of a task in the order of their begin.
func (rec *record) runsOf(task string) []*run {
	var list []*run
	for _, r := range rec.runs {
		if r.task == task {
			list = append(list, r)
		}
	}
	return list
}

// gap is a time without a run of a task that lasts.
type gap struct {
	task string
	step platformtest.Step
	// after is the run before it; nil before the first one.
	after *run
	// next is the run after it; nil where there was none.
	next     *run
	from, to time.Time
}

func (g gap) length() time.Duration { return g.to.Sub(g.from) }

// gapsOf returns the times without a run of a task since it was accepted.
func (rec *record) gapsOf(task string, step platformtest.Step, since time.Time) []gap {
	var gaps []gap
	covered := since
	var last *run
	for _, r := range rec.runsOf(task) {
		if r.began.After(covered) {
			gaps = append(gaps, gap{task: task, step: step, after: last, next: r, from: covered, to: r.began})
		}
		if r.end.After(covered) || last == nil {
			covered, last = maxTime(covered, r.end), r
		}
	}
	if covered.Before(rec.end) {
		gaps = append(gaps, gap{task: task, step: step, after: last, from: covered, to: rec.end})
	}
	return gaps
}

func maxTime(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

func byLength(a, b gap) int { return cmp.Compare(b.length(), a.length()) }

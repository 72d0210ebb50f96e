package soak

import (
	"bytes"
	"cmp"
	"encoding/json"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/cairnlift/cairnlift/platform/platformtest"
)

// incarnation is a life of a worker.
type incarnation struct {
	worker     string
	sick       bool
	start, end time.Time
	// leaseExpiredAt is when its lease last ran out.
	leaseExpiredAt time.Time
	// ackedEnds is how many ends have been acknowledged.
	ackedEnds uint64
	runs      []*run
}

// run is a run of a task on a life of a worker.
type run struct {
	task        string
	number      uint64
	incarnation *incarnation
	start, end  time.Time
	// acknowledged: the agent let the worker forget its end, at ackedAt.
	acknowledged bool
	// leaseExpiredBeforeAck: the worker's lease ran out between the end and that.
	leaseExpiredBeforeAck bool
	ackedAt               time.Time
	// outcome it ended; "died" with its worker, "runs" when it had not ended.
	outcome string
}

// record is what the workers wrote and what was done to them.
type record struct {
	incarnations []*incarnation
	runs         []*run
	faults       []fault
	end          time.Time
	// byProcess are the first indexed faults by what they were done to.
	byProcess     map[string][]fault
	indexedFaults int
}

// readRecord reads the workers' lines. What had not ended by end is taken to end then.
func readRecord(folder string, end time.Time) (*record, error) {
	rec := &record{end: end}
	if err := rec.readFaults(filepath.Join(folder, faultsFile)); err != nil {
		return nil, err
	}
	paths, err := filepath.Glob(filepath.Join(folder, "w*.log"))
	if err != nil {
		return nil, errors.Wrap(err, "record")
	}
	for _, path := range paths {
		data, err := os.ReadFile(path)
		if err != nil {
			return nil, errors.Wrap(err, "record")
		}
		rec.readWorkerEvents(strings.TrimSuffix(filepath.Base(path), ".log"), data)
	}
	slices.SortFunc(rec.runs, func(a, b *run) int { return a.start.Compare(b.start) })
	return rec, nil
}

func (rec *record) readFaults(path string) error {
	data, err := os.ReadFile(path)
	if err != nil {
		return errors.Wrap(err, "record of faults")
	}
	for line := range bytes.Lines(data) {
		var f fault
		if err := json.Unmarshal(line, &f); err != nil {
			return errors.Wrap(err, "record of faults")
		}
		if f.at().Before(rec.end) {
			rec.faults = append(rec.faults, f)
		}
	}
	return nil
}

func (rec *record) readWorkerEvents(name string, data []byte) {
	var now *incarnation
	open := map[string]*run{}
	var ended []*run
	for line := range bytes.Lines(data) {
		var e platformtest.Event
		if json.Unmarshal(line, &e) != nil || e.Kind == "" || e.At().After(rec.end) {
			continue // another line, or one cut off by the end of the process
		}
		switch e.Kind {
		case platformtest.IncarnationStarted:
			now = &incarnation{worker: name, sick: e.FailsAllRuns, start: e.At()}
			now.end = rec.endOf(now)
			rec.incarnations = append(rec.incarnations, now)
			open, ended = map[string]*run{}, nil
		case platformtest.RunStarted:
			r := &run{task: e.Task, number: e.Run, incarnation: now, start: e.At(), end: now.end, outcome: "died"}
			if now.end.Equal(rec.end) {
				r.outcome = "runs"
			}
			open[e.Task] = r
			rec.runs, now.runs = append(rec.runs, r), append(now.runs, r)
		case platformtest.RunEnded:
			if r := open[e.Task]; r != nil && r.number == e.Run {
				r.end, r.outcome = e.At(), e.EndKind
				ended = append(ended, r)
			}
		case platformtest.LeaseExpired:
			now.leaseExpiredAt = e.At()
		case platformtest.EndsAcknowledged:
			for ; len(ended) > 0 && now.ackedEnds < e.Ends; now.ackedEnds++ {
				ended[0].acknowledged, ended[0].ackedAt = true, e.At()
				ended[0].leaseExpiredBeforeAck = now.leaseExpiredAt.After(ended[0].end)
				ended = ended[1:]
			}
		}
	}
}

// endOf is when a life ended by a kill.
func (rec *record) endOf(l *incarnation) time.Time {
	for _, f := range rec.faults {
		if f.Process == l.worker && f.What == "ended" && f.at().After(l.start) {
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
	// previous is the run before it; nil before the first one.
	previous *run
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
		if r.start.After(covered) {
			gaps = append(gaps, gap{task: task, step: step, previous: last, next: r, from: covered, to: r.start})
		}
		if r.end.After(covered) || last == nil {
			covered, last = maxTime(covered, r.end), r
		}
	}
	if covered.Before(rec.end) {
		gaps = append(gaps, gap{task: task, step: step, previous: last, from: covered, to: rec.end})
	}
	return gaps
}

func maxTime(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

func compareLength(a, b gap) int { return cmp.Compare(b.length(), a.length()) }

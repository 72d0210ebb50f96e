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

// incarnation is an incarnation of a worker, from its start to its end.
type incarnation struct {
	worker     string
	sick       bool
	start, end time.Time
	// leaseExpiredAt is when its lease last expired.
	leaseExpiredAt time.Time
	// ackedEnds is the number of run ends that have been acknowledged.
	ackedEnds uint64
	runs      []*run
}

// run is a run of a task on an incarnation of a worker.
type run struct {
	task        string
	number      uint64
	incarnation *incarnation
	start, end  time.Time
	// acknowledged is whether the agent acknowledged the end, at ackedAt, so that the worker may forget it.
	acknowledged bool
	// leaseExpiredBeforeAck is whether the worker's lease expired between the end and its acknowledgement.
	leaseExpiredBeforeAck bool
	ackedAt               time.Time
	// outcome is how the run ended: "died" if its worker died, "runs" if it had not ended.
	outcome string
}

// record holds the events that the workers recorded, and the faults.
type record struct {
	incarnations []*incarnation
	runs         []*run
	faults       []fault
	end          time.Time
	// byProcess groups the first indexedFaults faults by process or link.
	byProcess     map[string][]fault
	indexedFaults int
}

// readRecord reads the faults and the workers' events. Runs and incarnations that had not ended by end are
// taken to end then.
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
		return errors.Wrap(err, "fault log")
	}
	for line := range bytes.Lines(data) {
		var f fault
		if err := json.Unmarshal(line, &f); err != nil {
			return errors.Wrap(err, "fault log")
		}
		if f.at().Before(rec.end) {
			rec.faults = append(rec.faults, f)
		}
	}
	return nil
}

// readWorkerEvents adds the events in a worker's output to the record.
func (rec *record) readWorkerEvents(name string, data []byte) {
	var current *incarnation
	open := map[string]*run{}
	var ended []*run
	for line := range bytes.Lines(data) {
		var e platformtest.Event
		if json.Unmarshal(line, &e) != nil || e.Kind == "" || e.At().After(rec.end) {
			continue // not an event, or cut off by the end of the process
		}
		switch e.Kind {
		case platformtest.IncarnationStarted:
			current = &incarnation{worker: name, sick: e.FailsAllRuns, start: e.At()}
			current.end = rec.endOf(current)
			rec.incarnations = append(rec.incarnations, current)
			open, ended = map[string]*run{}, nil
		case platformtest.RunStarted:
			r := &run{task: e.Task, number: e.Run, incarnation: current, start: e.At(), end: current.end, outcome: "died"}
			if current.end.Equal(rec.end) {
				r.outcome = "runs"
			}
			open[e.Task] = r
			rec.runs, current.runs = append(rec.runs, r), append(current.runs, r)
		case platformtest.RunEnded:
			if r := open[e.Task]; r != nil && r.number == e.Run {
				r.end, r.outcome = e.At(), e.EndKind
				ended = append(ended, r)
			}
		case platformtest.LeaseExpired:
			current.leaseExpiredAt = e.At()
		case platformtest.EndsAcknowledged:
			for ; len(ended) > 0 && current.ackedEnds < e.Ends; current.ackedEnds++ {
				ended[0].acknowledged, ended[0].ackedAt = true, e.At()
				ended[0].leaseExpiredBeforeAck = current.leaseExpiredAt.After(ended[0].end)
				ended = ended[1:]
			}
		}
	}
}

// endOf returns when an incarnation's process ended, or the end of the record if it had not.
func (rec *record) endOf(l *incarnation) time.Time {
	for _, f := range rec.faults {
		if f.Process == l.worker && f.What == "ended" && f.at().After(l.start) {
			return f.at()
		}
	}
	return rec.end
}

// runsOf returns the runs of a task in the order of their start.
func (rec *record) runsOf(task string) []*run {
	var list []*run
	for _, r := range rec.runs {
		if r.task == task {
			list = append(list, r)
		}
	}
	return list
}

// gap is a time without a run of a long-running task.
type gap struct {
	task string
	step platformtest.Step
	// previous is the run before the gap; nil before the first run.
	previous *run
	// next is the run after the gap; nil if there was none.
	next     *run
	from, to time.Time
}

func (g gap) length() time.Duration { return g.to.Sub(g.from) }

// gapsOf returns the gaps between the runs of a task since its job was accepted.
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

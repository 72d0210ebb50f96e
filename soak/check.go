package soak

import (
	"cmp"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/cairnlift/cairnlift/platform/platformtest"
)

const (
	// maxTaskGap is how long a long-running task may be without a run while no fault occurs.
	maxTaskGap = 9 * time.Second
	// faultFreeBefore is how long before a moment no fault may have occurred for that moment to count as a
	// violation.
	faultFreeBefore = 7 * time.Second
	// freeCapacityBefore is how long before such a moment the workers must have had free capacity for
	// minFreeCapacity tasks of the same step.
	freeCapacityBefore = 3 * time.Second
	minFreeCapacity    = 2
	// sampleInterval is the interval between two samples of the free capacity.
	sampleInterval = 50 * time.Millisecond
	// minShownGap is the shortest gap that the report lists.
	minShownGap = 3 * time.Second
)

// checkedGap is a gap with the checker's findings about it.
type checkedGap struct {
	gap
	// violated is whether the gap was too long although no fault occurred and there was free capacity.
	violated bool
	// faultFree is the longest time within the gap without a fault.
	faultFree time.Duration
	// freeCapacity is the least free capacity within freeCapacityBefore of its end, in tasks of its step.
	freeCapacity int
}

// report holds the findings about the tasks of a soak run.
type report struct {
	rec *record
	// tasks is the number of long-running tasks.
	tasks int
	gaps  []checkedGap
	// overlaps are the runs of a task that began while another run of it had not ended.
	overlaps []string
	// violations are the guarantees to callers that were violated.
	violations []string
	steps      map[string]platformtest.Step
	// controlLog are the log lines of the control hosts.
	controlLog []logLine
	cordons    []zoneCordon
}

// Check checks the soak run whose records are in a folder, and writes a report on its long-running tasks.
// It returns the number of findings.
func Check(folder string, out io.Writer) (int, error) {
	s, err := readSummary(folder)
	if err != nil {
		return 0, err
	}
	rep, err := check(folder, s)
	if err != nil {
		return 0, err
	}
	excerpts, err := rep.excerpts(folder)
	if err != nil {
		return 0, err
	}
	if err := os.WriteFile(filepath.Join(folder, "excerpts.txt"), []byte(excerpts), 0o600); err != nil {
		return 0, errors.Wrap(err, "excerpts")
	}
	_, err = fmt.Fprintf(out, "%s, %s\n%s", s.Title, folder, rep.text())
	return rep.findings(), errors.Wrap(err, "report")
}

func check(folder string, s summary) (*report, error) {
	rec, err := readRecord(folder, s.End)
	if err != nil {
		return nil, err
	}
	rep := &report{rec: rec, steps: map[string]platformtest.Step{}, cordons: s.Cordons}
	if rep.controlLog, err = readLogs(folder, "control-*.log"); err != nil {
		return nil, err
	}
	rec.faults = append(rec.faults, leadershipChanges(rep.controlLog)...)
	slices.SortStableFunc(rec.faults, func(a, b fault) int { return cmp.Compare(a.AtMicros, b.AtMicros) })
	for _, j := range s.Jobs {
		rep.steps[j.ID] = j.Job.Steps[0]
	}
	for _, j := range s.Jobs {
		step := j.Job.Steps[0]
		rep.checkJob(j)
		for i := range step.Count {
			task := fmt.Sprintf("%s.0.0.%d", j.ID, i)
			rep.checkOverlaps(task)
			rep.checkDone(task)
			if !step.LongRunning || j.Refused {
				continue
			}
			rep.tasks++
			for _, g := range rec.gapsOf(task, step, j.Accepted) {
				if g, counts := j.wantedPart(g); counts {
					rep.gaps = append(rep.gaps, rep.checkGap(g))
				}
			}
		}
	}
	rep.checkConfigurations(s.Changes, s.Reads)
	rep.checkCordons(s.Cordons)
	slices.SortFunc(rep.gaps, func(a, b checkedGap) int { return compareLength(a.gap, b.gap) })
	return rep, nil
}

// checkOverlaps finds runs of a task that overlap in time.
func (rep *report) checkOverlaps(task string) {
	var last *run
	for _, r := range rep.rec.runsOf(task) {
		if last != nil && r.start.Before(last.end) {
			rep.overlaps = append(rep.overlaps, fmt.Sprintf("%s: run %d on %s overlaps run %d on %s", task, r.number, r.incarnation.worker, last.number, last.incarnation.worker))
		}
		if last == nil || r.end.After(last.end) {
			last = r
		}
	}
}

// checkGap decides whether a gap is too long: maxTaskGap or more after its beginning there is a moment
// before which no fault occurred and the workers had free capacity for long enough.
func (rep *report) checkGap(g gap) checkedGap {
	j := checkedGap{gap: g, faultFree: rep.rec.longestFaultFree(g.from, g.to), freeCapacity: rep.leastFreeCapacity(g, g.to.Add(-freeCapacityBefore), g.to)}
	for at := g.from.Add(maxTaskGap); !j.violated && !at.After(g.to); at = at.Add(sampleInterval) {
		faultFree := rep.rec.longestFaultFree(at.Add(-faultFreeBefore), at) == faultFreeBefore
		j.violated = faultFree && rep.leastFreeCapacity(g, at.Add(-freeCapacityBefore), at) >= minFreeCapacity
	}
	return j
}

// longestFaultFree returns the length of the longest interval without a fault between two moments.
func (rec *record) longestFaultFree(from, to time.Time) time.Duration {
	longest, since := time.Duration(0), from
	for _, f := range rec.faults {
		if f.at().Before(from) || f.at().After(to) {
			continue
		}
		longest, since = max(longest, f.at().Sub(since)), f.at()
	}
	return max(longest, to.Sub(since))
}

// leastFreeCapacity returns the least free capacity for the step of a gap's task between two moments.
func (rep *report) leastFreeCapacity(g gap, from, to time.Time) int {
	least := rep.freeCapacity(g, from)
	for at := maxTime(from, g.from); at.Before(to) && least > 0; at = at.Add(sampleInterval) {
		least = min(least, rep.freeCapacity(g, at))
	}
	return least
}

// freeCapacity returns how many more tasks of a step fit on the workers that are running, reachable, not
// sick and not in a cordoned zone at a moment.
func (rep *report) freeCapacity(g gap, at time.Time) int {
	sum := 0
	for _, l := range rep.rec.incarnations {
		if !l.sick && !l.start.After(at) && l.end.After(at) && rep.rec.reachable(l.worker, at) && !rep.mayBeCordoned(l.worker, at) {
			sum += rep.freeCapacityOn(l, g, at)
		}
	}
	return sum
}

// freeCapacityOn returns how many more tasks of a step fit on one worker at a moment. Backfill tasks count by
// their memory only.
func (rep *report) freeCapacityOn(l *incarnation, g gap, at time.Time) int {
	cpu, memory, sameJob := int64(workerCPUMilli), int64(workerMemoryMB), int64(0)
	for _, r := range l.runs {
		if r.start.After(at) || !r.end.After(at) {
			continue
		}
		step := rep.steps[jobOf(r.task)]
		memory -= step.MemoryMB
		if !step.Backfill {
			cpu -= step.CPU
		}
		if jobOf(r.task) == jobOf(g.task) {
			sameJob++
		}
	}
	fit := min(cpu/g.step.CPU, memory/g.step.MemoryMB)
	if g.step.MaxPerWorker > 0 {
		fit = min(fit, int64(g.step.MaxPerWorker)-sameJob)
	}
	return int(max(0, fit))
}

// jobOf returns the id of a task's job.
func jobOf(task string) string {
	job, _, _ := strings.Cut(task, ".")
	return job
}

// findings returns the number of findings.
func (rep *report) findings() int {
	count := len(rep.overlaps) + len(rep.violations)
	for _, g := range rep.gaps {
		if g.violated {
			count++
		}
	}
	return count
}

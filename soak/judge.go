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
	// maxAway is how long a task that lasts may be without a run when all is calm.
	maxAway = 9 * time.Second
	// calmBefore is how long nothing may have befallen a process before a moment that counts.
	calmBefore = 7 * time.Second
	// roomBefore is how long there must have been room for the task twice over.
	roomBefore = 3 * time.Second
	roomNeeded = 2
	// sampleEvery is how often room is looked at.
	sampleEvery = 50 * time.Millisecond
	// shownFrom is the shortest gap that is shown.
	shownFrom = 3 * time.Second
)

// judgedGap is a gap with what can be said of it.
type judgedGap struct {
	gap
	// broken: it lasted too long though all was calm and there was room.
	broken bool
	// calm is the longest time within it without a fault.
	calm time.Duration
	// room is the least room in its last seconds, in tasks of its step.
	room int
}

// report is what became of the tasks that last.
type report struct {
	rec   *record
	tasks int
	gaps  []judgedGap
	twice []string
	// promises are those that callers were given and that were broken.
	promises []string
	steps    map[string]platformtest.Step
	// leader are the lines of the control hosts.
	leader []logLine
}

// Judge judges the play whose records are in a folder, and writes what became of the tasks
// that last. It returns how many findings there are.
func Judge(folder string, out io.Writer) (int, error) {
	s, err := readSummary(folder)
	if err != nil {
		return 0, err
	}
	rep, err := judge(folder, s)
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
	return rep.broken(), errors.Wrap(err, "report")
}

func judge(folder string, s summary) (*report, error) {
	rec, err := readRecord(folder, s.End)
	if err != nil {
		return nil, err
	}
	rep := &report{rec: rec, steps: map[string]platformtest.Step{}}
	if rep.leader, err = readLogs(folder, "control-*.log"); err != nil {
		return nil, err
	}
	rec.faults = append(rec.faults, leaderChanges(rep.leader)...)
	slices.SortStableFunc(rec.faults, func(a, b fault) int { return cmp.Compare(a.AtMicros, b.AtMicros) })
	for _, j := range s.Jobs {
		rep.steps[j.ID] = j.Job.Steps[0]
	}
	for _, j := range s.Jobs {
		step := j.Job.Steps[0]
		rep.judgeJob(j)
		for i := range step.Count {
			task := fmt.Sprintf("%s.0.0.%d", j.ID, i)
			rep.judgeTwice(task)
			rep.judgeDone(task)
			if !step.LongRunning || j.Refused {
				continue
			}
			rep.tasks++
			for _, g := range rec.gapsOf(task, step, j.Accepted) {
				if g, counts := j.wanted(g); counts {
					rep.gaps = append(rep.gaps, rep.judgeGap(g))
				}
			}
		}
	}
	rep.judgeConfigurations(s.Changes, s.Reads)
	slices.SortFunc(rep.gaps, func(a, b judgedGap) int { return byLength(a.gap, b.gap) })
	return rep, nil
}

// judgeTwice looks for two runs of a task at the same time.
func (rep *report) judgeTwice(task string) {
	var last *run
	for _, r := range rep.rec.runsOf(task) {
		if last != nil && r.began.Before(last.end) {
			rep.twice = append(rep.twice, fmt.Sprintf("%s: run %d on %s beside run %d on %s", task, r.number, r.life.worker, last.number, last.life.worker))
		}
		if last == nil || r.end.After(last.end) {
			last = r
		}
	}
}

func (rep *report) judgeGap(g gap) judgedGap {
	j := judgedGap{gap: g, calm: rep.rec.calmWithin(g.from, g.to), room: rep.leastRoom(g, g.to.Add(-roomBefore), g.to)}
	for at := g.from.Add(maxAway); !j.broken && !at.After(g.to); at = at.Add(sampleEvery) {
		calm := rep.rec.calmWithin(at.Add(-calmBefore), at) == calmBefore
		j.broken = calm && rep.leastRoom(g, at.Add(-roomBefore), at) >= roomNeeded
	}
	return j
}

// calmWithin is the longest time between two moments without a fault.
func (rec *record) calmWithin(from, to time.Time) time.Duration {
	longest, since := time.Duration(0), from
	for _, f := range rec.faults {
		if f.at().Before(from) || f.at().After(to) {
			continue
		}
		longest, since = max(longest, f.at().Sub(since)), f.at()
	}
	return max(longest, to.Sub(since))
}

// leastRoom is the least room for a task's step between two moments.
func (rep *report) leastRoom(g gap, from, to time.Time) int {
	least := rep.room(g, from)
	for at := maxTime(from, g.from); at.Before(to) && least > 0; at = at.Add(sampleEvery) {
		least = min(least, rep.room(g, at))
	}
	return least
}

// room is how many tasks of a step fit on the sound workers that are there and reachable at a moment.
func (rep *report) room(g gap, at time.Time) int {
	sum := 0
	for _, l := range rep.rec.lives {
		if !l.sick && !l.began.After(at) && l.end.After(at) && rep.rec.reachable(l.worker, at) {
			sum += rep.roomOn(l, g, at)
		}
	}
	return sum
}

func (rep *report) roomOn(l *life, g gap, at time.Time) int {
	cpu, memory, beside := int64(workerCPU), int64(workerMemory), int64(0)
	for _, r := range l.runs {
		if r.began.After(at) || !r.end.After(at) {
			continue
		}
		step := rep.steps[jobOf(r.task)]
		memory -= step.MemoryMB
		if !step.Backfill {
			cpu -= step.CPU
		}
		if jobOf(r.task) == jobOf(g.task) {
			beside++
		}
	}
	fit := min(cpu/g.step.CPU, memory/g.step.MemoryMB)
	if g.step.MaxPerWorker > 0 {
		fit = min(fit, int64(g.step.MaxPerWorker)-beside)
	}
	return int(max(0, fit))
}

func jobOf(task string) string {
	job, _, _ := strings.Cut(task, ".")
	return job
}

func (rep *report) broken() int {
	count := len(rep.twice) + len(rep.promises)
	for _, g := range rep.gaps {
		if g.broken {
			count++
		}
	}
	return count
}

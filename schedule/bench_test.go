package schedule

import (
	"fmt"
	"testing"
	"time"

	apiv1 "github.com/cairnlift/cairnlift/api/v1"
	"github.com/cairnlift/cairnlift/jobqueue"
)

const (
	benchImages = 9
	// benchServing and benchBackfill are the tasks on each worker at the scale of the users: 21,000
	// latency-critical and 26,000 batch tasks on 3,700 workers.
	benchServing  = 6
	benchBackfill = 7
	// benchRound is the period in which the new work of one round arrives.
	benchRound = 20 * time.Millisecond
	// benchZones is the number of availability zones.
	benchZones = 19
)

func benchZone(number int) string { return fmt.Sprintf("zone-%02d", number) }

// newBusyFleet returns a fleet with its usual work.
func newBusyFleet(b *testing.B, workers int) *harness {
	return newBusyFleetOf(b, workers, 0, Options{})
}

func newBusyFleetWith(b *testing.B, workers int, o Options) *harness {
	return newBusyFleetOf(b, workers, 0, o)
}

// newBusyFleetOf returns a fleet with its usual work, of which a number of accounts have equal parts.
func newBusyFleetOf(b *testing.B, workers, accounts int, o Options) *harness {
	r := newHarnessFor(b)
	r.planner = NewWithOptions(o)
	if accounts > 0 {
		number := 0
		r.accountOf = func(string) string {
			number++
			return fmt.Sprintf("a%03d", number%accounts)
		}
	}
	for i := range workers {
		r.addWorkerIn(benchZone(i%benchZones), fmt.Sprintf("w%04d", i), 32_000, 128_000)
	}
	for i := range workers * benchServing / 6 {
		step := servingTasks(6, 3000)
		step.Image = fmt.Sprintf("serving%d", i%benchImages)
		r.submit("urgent", fmt.Sprintf("s%d", i), step)
	}
	r.startAndObserve()
	for i := range workers * benchBackfill / 7 {
		r.submit("batch", fmt.Sprintf("b%d", i), backfillTasks(7, 1000, fmt.Sprintf("batch%d", i%benchImages)))
	}
	r.startAndObserve()
	return r
}

// startAndObserve plans once and reports all runs.
func (r *harness) startAndObserve() {
	r.plan()
	for _, w := range r.machine.Workers() {
		r.observeAll(w.Spec.Id, func(int) int64 { return 40 })
	}
	r.advance(paceInterval)
}

// BenchmarkPlan measures a round on a fleet with its usual work while jobs of 6 tasks arrive at a
// given rate of starts. The ends of these tasks are not measured. The results are in
// docs/measurements/platform.md.
func BenchmarkPlan(b *testing.B) {
	for _, workers := range []int{11, 54, 3700} {
		for _, rate := range []int{0, 60, 1000} {
			b.Run(fmt.Sprintf("workers=%d/starts=%d", workers, rate), func(b *testing.B) {
				benchmarkRounds(b, newBusyFleet(b, workers), rate)
			})
		}
	}
}

// BenchmarkPlanWithAccounts measures a round of the largest fleet whose work belongs to a number of accounts. The
// waiting jobs, one of each account, have one of 13 sizes that fit on no worker.
func BenchmarkPlanWithAccounts(b *testing.B) {
	for _, accounts := range []int{1, 390} {
		for _, waiting := range []int{0, 390} {
			b.Run(fmt.Sprintf("accounts=%d/waiting=%d", accounts, waiting), func(b *testing.B) {
				r := newBusyFleetOf(b, 3700, accounts, Options{})
				for i := range waiting {
					r.submit("urgent", fmt.Sprintf("waiting%d", i), &apiv1.JobStep{Count: 6, CpuMilli: 15_000 + 1000*int64(i%13), MemoryMb: 100, EstimatedMs: 1000})
				}
				benchmarkRounds(b, r, 1000)
			})
		}
	}
}

// BenchmarkPlanWithCordons measures a round of the largest fleet with cordoned availability zones.
func BenchmarkPlanWithCordons(b *testing.B) {
	for _, cordoned := range []int{0, 1, benchZones} {
		for _, rate := range []int{0, 1000} {
			b.Run(fmt.Sprintf("cordoned=%d/starts=%d", cordoned, rate), func(b *testing.B) {
				r := newBusyFleet(b, 3700)
				for i := range cordoned {
					r.setCordon(benchZone(i), true)
				}
				benchmarkRounds(b, r, rate)
			})
		}
	}
}

// BenchmarkPlanWithRates measures a round of the largest fleet without and with rates of its workers, one in
// a hundred of which is slow. The search for common causes is part of it.
func BenchmarkPlanWithRates(b *testing.B) {
	for _, on := range []bool{false, true} {
		for _, rate := range []int{0, 1000} {
			b.Run(fmt.Sprintf("rates=%v/starts=%d", on, rate), func(b *testing.B) {
				r := newBusyFleetWith(b, 3700, Options{WorkerRates: on})
				for report := range 4 {
					for i, w := range r.machine.Workers() {
						step := uint32(20)
						if i%100 == 0 {
							step = 2
						}
						for id, run := range w.Runs {
							if run.Step.Backfill {
								r.observe(id, step*uint32(report), run.Step.CpuMilli)
							}
						}
						r.planner.Observe(w, r, r.now)
					}
					r.advance(paceInterval)
				}
				benchmarkRounds(b, r, rate)
			})
		}
	}
}

// benchmarkRounds measures rounds of a fleet while jobs of 6 tasks arrive at a rate of starts a second. With
// all zones cordoned nothing starts, so the jobs are cancelled.
func benchmarkRounds(b *testing.B, r *harness, rate int) {
	due := 0.0
	number := 0
	starts := 0
	for b.Loop() {
		b.StopTimer()
		var submitted []string
		for due += float64(rate) * benchRound.Seconds() / 6; due >= 1; due-- {
			number++
			id := fmt.Sprintf("n%d", number)
			r.submit("urgent", id, &apiv1.JobStep{Count: 6, CpuMilli: 500, MemoryMb: 100, EstimatedMs: 1000})
			submitted = append(submitted, id)
		}
		r.advance(benchRound)
		b.StartTimer()
		d := r.planner.Plan(r.machine, r, r.now, r.now.UnixMilli())
		b.StopTimer()
		starts += len(d.Starts)
		r.applyAndEnd(d, submitted)
		b.StartTimer()
	}
	b.ReportMetric(float64(starts)/float64(b.N), "starts/op")
}

// applyAndEnd applies a decision, ends the runs that it started and cancels jobs without any.
func (r *harness) applyAndEnd(d Decision, jobs []string) {
	r.apply(&apiv1.JobsCommand{Body: &apiv1.JobsCommand_Plan{Plan: &apiv1.PlanRuns{
		Term: testTerm, Starts: d.Starts, Stops: d.Stops,
	}}})
	for _, id := range jobs {
		j := r.machine.Job(id)
		if !j.Running() {
			r.apply(&apiv1.JobsCommand{Body: &apiv1.JobsCommand_Cancel{Cancel: &apiv1.CancelJob{Id: id, Host: testHost, Path: "/urgent/" + id}}})
			continue
		}
		for i := range j.Occurrences[0].Steps[0].Tasks {
			run := jobqueue.RunID{Task: jobqueue.TaskID{Job: id, Index: uint32(i)}, Number: 1}
			if r.machine.Run(run) != nil {
				r.reportEnd(run, apiv1.RunEndKind_RUN_END_KIND_DONE)
			}
		}
	}
}

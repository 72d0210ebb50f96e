package schedule

import (
	"fmt"
	"testing"
	"time"

	apiv1 "github.com/cairnlift/cairnlift/api/v1"
	"github.com/cairnlift/cairnlift/jobqueue"
)

const rateSimSeeds = 3

func batchOfTen(int) *apiv1.JobStep {
	return &apiv1.JobStep{Count: 10, CpuMilli: 2000, MemoryMb: 100, EstimatedMs: 2000, Image: "batch", Checkpointing: true}
}

// bySetting runs a load with the setting off and on for some seeds.
func bySetting(t *testing.T, load func(s *rateSim), check func(t *testing.T, seed int64, off, on *rateSim)) {
	for seed := int64(1); seed <= rateSimSeeds; seed++ {
		off, on := newRateSim(t, seed, false), newRateSim(t, seed, true)
		load(off)
		load(on)
		t.Logf("seed %d: mean off %v on %v, wasted off %d on %d, in 5 s off %.3f on %.3f, doubtful %d", seed, off.mean(), on.mean(),
			off.wasted, on.wasted, off.onTime(5*time.Second), on.onTime(5*time.Second), len(on.everDoubtful))
		check(t, seed, off, on)
	}
}

// notLater fails if jobs end later on average than with the setting off, by more than a twentieth.
func notLater(t *testing.T, seed int64, off, on *rateSim) {
	t.Helper()
	if on.mean() > off.mean()+off.mean()/20 {
		t.Errorf("seed %d: jobs take %v, %v with the setting off", seed, on.mean(), off.mean())
	}
}

// Guards against tasks with more work being taken for slow workers.
func TestLoadTailOfLongTasks(t *testing.T) {
	bySetting(t, func(s *rateSim) {
		s.tail = 0.03
		s.add("a", 12, 16_000, 1)
		s.run(60*time.Second, 500*time.Millisecond, batchOfTen)
	}, func(t *testing.T, seed int64, off, on *rateSim) {
		notLater(t, seed, off, on)
		for _, w := range on.workers {
			if r := on.rate(w); r.Rate < doubtfulRate {
				t.Errorf("seed %d: worker at usual speed is rated %+v", seed, r)
			}
		}
	})
}

// Guards against a size of worker or of task that counts as slow.
func TestLoadTwoSizesWithLargeTasks(t *testing.T) {
	bySetting(t, func(s *rateSim) {
		s.add("a", 8, 8_000, 1)
		s.add("a", 4, 16_000, 1)
		s.run(60*time.Second, 500*time.Millisecond, func(n int) *apiv1.JobStep {
			step := batchOfTen(n)
			step.Image, step.CpuMilli = "small", 1000
			if n%3 == 0 {
				step.Image, step.CpuMilli, step.Count = "large", 6000, 3
			}
			return step
		})
	}, func(t *testing.T, seed int64, off, on *rateSim) {
		notLater(t, seed, off, on)
		if len(on.everDoubtful) > 0 {
			t.Errorf("seed %d: doubtful: %v", seed, on.everDoubtful)
		}
	})
}

// Guards against a slow zone that is taken for many slow workers, and against work that goes there
// while another zone has room.
func TestLoadOneSlowZone(t *testing.T) {
	bySetting(t, func(s *rateSim) {
		for _, zone := range []string{"a", "b", "c"} {
			s.add(zone, 6, 16_000, 1)
		}
		for _, w := range s.workers[6:12] {
			s.speed[w] = 0.45
		}
		s.run(60*time.Second, 500*time.Millisecond, batchOfTen)
	}, func(t *testing.T, seed int64, off, on *rateSim) {
		if on.mean() > off.mean()*9/10 {
			t.Errorf("seed %d: jobs take %v, %v with the setting off", seed, on.mean(), off.mean())
		}
		if r := on.rate("w07"); r.Doubtful || r.Reason != "zone b" && r.Samples >= minRatedSamples {
			t.Errorf("seed %d: %+v", seed, r)
		}
	})
}

// Guards against an image that is longer than declared and lowers the rates of its workers.
func TestLoadImageTwiceAsLong(t *testing.T) {
	bySetting(t, func(s *rateSim) {
		s.stretch["late"] = 2
		s.add("a", 12, 16_000, 1)
		s.run(60*time.Second, 500*time.Millisecond, func(n int) *apiv1.JobStep {
			step := batchOfTen(n)
			if n%3 == 0 {
				step.Image = "late"
			}
			return step
		})
	}, func(t *testing.T, seed int64, off, on *rateSim) {
		notLater(t, seed, off, on)
		if len(on.everDoubtful) > 0 {
			t.Errorf("seed %d: doubtful: %v", seed, on.everDoubtful)
		}
	})
}

// Guards against a slow worker that determines when jobs end, and against one that stays out of use
// after its recovery.
func TestLoadOneSlowWorker(t *testing.T) {
	bySetting(t, func(s *rateSim) {
		s.add("a", 12, 16_000, 1)
		s.speed["w03"] = 1.0 / 8
		s.run(60*time.Second, 500*time.Millisecond, batchOfTen)
	}, func(t *testing.T, seed int64, off, on *rateSim) {
		if on.mean() > off.mean()*8/10 {
			t.Errorf("seed %d: jobs take %v, %v with the setting off", seed, on.mean(), off.mean())
		}
		on.speed["w03"] = 1
		on.run(30*time.Second, 100*time.Millisecond, batchOfTen)
		if r := on.rate("w03"); r.Doubtful || len(on.machine.Worker("w03").Runs) == 0 {
			t.Errorf("seed %d: after recovery %+v with %d runs", seed, r, len(on.machine.Worker("w03").Runs))
		}
	})
}

// Guards against refusals that count as slowness.
func TestLoadHalfOfWorkersRefuse(t *testing.T) {
	bySetting(t, func(s *rateSim) {
		s.add("a", 12, 16_000, 1)
		s.run(10*time.Second, 500*time.Millisecond, batchOfTen)
		for _, w := range s.workers[:6] {
			s.refuses[w] = s.now.Add(4 * time.Second)
		}
		s.run(30*time.Second, 500*time.Millisecond, batchOfTen)
	}, func(t *testing.T, seed int64, off, on *rateSim) {
		notLater(t, seed, off, on)
		if len(on.everDoubtful) > 0 {
			t.Errorf("seed %d: doubtful: %v", seed, on.everDoubtful)
		}
	})
}

// rateAt lets a worker run tasks of the shared image at a speed for some seconds.
func rateAt(t *testing.T, backfill bool, speeds ...float64) *rateSim {
	s := newRateSim(t, 1, true)
	for _, speed := range speeds {
		s.add("a", 1, 16_000, speed)
	}
	s.run(8*time.Second, time.Second, func(int) *apiv1.JobStep {
		return &apiv1.JobStep{Count: uint32(3 * len(speeds)), CpuMilli: 1000, MemoryMb: 100, EstimatedMs: 2500, Image: "batch", MaxPerWorker: 3, Backfill: backfill}
	})
	return s
}

// Guards against changes of belief that flood the log, and against ones that are lost by the bound.
func TestRateChangesAreBounded(t *testing.T) {
	rates := newRateTable()
	for i := range 3 * maxRateChanges {
		w := &jobqueue.Worker{Spec: &apiv1.JobWorker{Id: fmt.Sprintf("w%02d", i)}}
		rates.entry(w).view.Doubtful = true
	}
	p := &Planner{rates: rates}
	for range 3 {
		rates.recordChanges(nil, nil)
		rates.recordChanges(nil, nil)
		if got := len(p.RateChanges()); got != maxRateChanges {
			t.Errorf("%d changes", got)
		}
	}
	rates.recordChanges(nil, nil)
	if got := p.RateChanges(); len(got) != 0 {
		t.Errorf("changes told again: %v", got)
	}
}

// Guards against runs at an ordered pace that count as slow.
func TestRateTakesPaceIntoAccount(t *testing.T) {
	for _, pace := range []uint32{40, 100} {
		s := newRateSim(t, 1, true)
		s.add("a", 5, 16_000, 1)
		s.offer("batch", "b", &apiv1.JobStep{Count: 15, CpuMilli: 1000, MemoryMb: 100, EstimatedMs: 8000, Image: "batch", MaxPerWorker: 3, Backfill: true})
		s.tick()
		for range 100 {
			c := s.planner.pacerOf("w00")
			for _, id := range s.runsOn("w00") {
				c.paces[id] = pace
			}
			s.advance(rateSimStep)
			s.steps++
			for _, w := range s.workers {
				s.work1(w)
				if s.steps%rateSimReportSteps == 0 {
					// The order stays in force whatever the planner makes of the report.
					before := c.paces
					s.reportProgress(w)
					c.paces = before
				}
			}
		}
		if r := s.rate("w00"); r.Rate < 0.85 || r.Rate > 1.15 || r.Samples < 2 {
			t.Errorf("pace %d: %+v", pace, r)
		}
	}
}

// Guards against the rate of an earlier incarnation under the same ID that is used for the next one.
func TestRateEndsWithIncarnation(t *testing.T) {
	s := rateAt(t, false, 1, 1, 1, 1, 0.125)
	if r := s.rate("w04"); !r.Doubtful {
		t.Fatalf("slow worker: %+v", r)
	}
	spec := s.machine.Worker("w04").Spec
	s.apply(&apiv1.JobsCommand{Body: &apiv1.JobsCommand_Report{Report: &apiv1.ReportWorker{Worker: spec, Departed: true}}})
	next := &jobqueue.Worker{Spec: spec}
	if r := s.planner.rates.rateOf(next); r.Doubtful || r.Samples != 0 || r.Rate != 1 {
		t.Errorf("next incarnation: %+v", r)
	}
}

// Guards against a fleet of which the last usable worker gets no tasks since it is slow, and against
// long-running tasks that wait beside it.
func TestLastUsableWorkerStaysInUse(t *testing.T) {
	s := rateAt(t, false, 1, 1, 1, 1, 0.125)
	for _, w := range s.workers[:4] {
		s.unresponsive[w] = true
	}
	s.submit("urgent", "set", &apiv1.JobStep{Count: 2, CpuMilli: 500, MemoryMb: 100, EstimatedMs: 300, LongRunning: true, Image: "set"})
	s.submit("urgent", "long", &apiv1.JobStep{Count: 2, CpuMilli: 500, MemoryMb: 100, EstimatedMs: 60_000, Image: "long"})
	s.plan()
	for _, job := range []string{"set", "long"} {
		for _, task := range s.machine.Job(job).Occurrences[0].Steps[0].Tasks {
			if len(task.Runs) != 1 || task.Runs[0].Worker != "w04" {
				t.Errorf("task of %s: %v", job, task.Runs)
			}
		}
	}
}

// Guards against a doubtful worker that gets a task that is expensive to repeat, beside others with room.
func TestDoubtfulWorkerGetsNoExpensiveTask(t *testing.T) {
	s := rateAt(t, false, 1, 1, 1, 1, 0.125)
	s.submit("urgent", "long", &apiv1.JobStep{Count: 4, CpuMilli: 2000, MemoryMb: 100, EstimatedMs: 60_000, Image: "long", MaxPerWorker: 1})
	s.submit("urgent", "set", &apiv1.JobStep{Count: 4, CpuMilli: 500, MemoryMb: 100, EstimatedMs: 300, LongRunning: true, Image: "set", MaxPerWorker: 1})
	s.plan()
	for _, id := range s.runsOn("w04") {
		if id.Task.Job == "long" || id.Task.Job == "set" {
			t.Errorf("%v runs on the doubtful worker", id)
		}
	}
}

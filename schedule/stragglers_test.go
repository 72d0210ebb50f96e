package schedule

import (
	"testing"
	"time"

	apiv1 "github.com/cairnlift/cairnlift/api/v1"
	"github.com/cairnlift/cairnlift/jobqueue"
)

// straggling runs a fleet that gives tasks to a worker before its rate is known, with one that
// slows down by a factor of 8 in the middle of its tasks.
func straggling(t *testing.T, seed int64, on bool, step *apiv1.JobStep, tail float64) *rateSim {
	s := newRateSim(t, seed, on)
	s.add("a", 12, 16_000, 1)
	s.tail = tail
	offer := func(int) *apiv1.JobStep {
		return &apiv1.JobStep{
			Count: step.Count, CpuMilli: step.CpuMilli, MemoryMb: 100, EstimatedMs: step.EstimatedMs, Image: "batch",
			Checkpointing: step.Checkpointing, AllowDuplicates: step.AllowDuplicates,
		}
	}
	s.run(12*time.Second, 600*time.Millisecond, offer)
	s.speed["w03"] = 1.0 / 8
	s.run(24*time.Second, 600*time.Millisecond, offer)
	s.run(40*time.Second, 0, nil)
	return s
}

// Guards against a run that is stopped without ending sooner elsewhere, one that is moved again and
// again, and a straggler that is left where it is.
func TestStragglersAreMovedFromCheckpoints(t *testing.T) {
	step := &apiv1.JobStep{Count: 12, CpuMilli: 2000, EstimatedMs: 3000, Checkpointing: true}
	for seed := int64(1); seed <= rateSimSeeds; seed++ {
		off, on := straggling(t, seed, false, step, 0), straggling(t, seed, true, step, 0)
		counts := on.planner.Stragglers()
		t.Logf("seed %d: mean off %v on %v, in 8 s off %.3f on %.3f, wasted %d, %+v", seed, off.mean(), on.mean(),
			off.onTime(8*time.Second), on.onTime(8*time.Second), on.wasted, counts)
		if on.onTime(8*time.Second) < 0.95 || counts.Moves == 0 || counts.CopiesStarted != 0 {
			t.Errorf("seed %d: in 8 s %.3f, %+v", seed, on.onTime(8*time.Second), counts)
		}
		if on.concurrent > 1 {
			t.Errorf("seed %d: %d runs of one task at a time", seed, on.concurrent)
		}
		if int64(on.wasted) > counts.Moves {
			t.Errorf("seed %d: %d runs stopped by %d moves", seed, on.wasted, counts.Moves)
		}
	}
}

// Guards against copies that are counted twice, that take more than their share of the fleet, or
// that are made of one task more than once.
func TestStragglersAreCopied(t *testing.T) {
	step := &apiv1.JobStep{Count: 12, CpuMilli: 2000, EstimatedMs: 3000, AllowDuplicates: true}
	for seed := int64(1); seed <= rateSimSeeds; seed++ {
		off, on := straggling(t, seed, false, step, 0), straggling(t, seed, true, step, 0)
		counts := on.planner.Stragglers()
		t.Logf("seed %d: mean off %v on %v, in 12 s off %.3f on %.3f, wasted %d, %+v", seed, off.mean(), on.mean(),
			off.onTime(12*time.Second), on.onTime(12*time.Second), on.wasted, counts)
		if counts.CopiesStarted == 0 || counts.CopiesStarted != counts.CopiesWon+counts.CopiesWasted || counts.Moves != 0 {
			t.Errorf("seed %d: %+v", seed, counts)
		}
		if on.concurrent != 2 || on.mean() >= off.mean() || int64(on.wasted) != counts.CopiesStarted {
			t.Errorf("seed %d: %d runs of one task, mean %v, %v with the setting off, %d stopped", seed, on.concurrent, on.mean(), off.mean(), on.wasted)
		}
	}
}

// Guards against a second run of a task whose step does not allow duplicates.
func TestStragglerWithoutDuplicatesHasOneRun(t *testing.T) {
	s := straggling(t, 1, true, &apiv1.JobStep{Count: 12, CpuMilli: 2000, EstimatedMs: 3000}, 0)
	if counts := s.planner.Stragglers(); s.concurrent > 1 || s.wasted > 0 || counts != (StragglerCounts{}) {
		t.Errorf("%d runs of one task, %d stopped, %+v", s.concurrent, s.wasted, counts)
	}
}

// Guards against moves and copies of tasks that have more work than the others of their step.
func TestLongTasksAreLeftAlone(t *testing.T) {
	for _, step := range []*apiv1.JobStep{
		{Count: 12, CpuMilli: 2000, EstimatedMs: 2000, Checkpointing: true},
		{Count: 12, CpuMilli: 2000, EstimatedMs: 2000, AllowDuplicates: true},
	} {
		for seed := int64(1); seed <= rateSimSeeds; seed++ {
			s := newRateSim(t, seed, true)
			s.tail = 0.03
			s.add("a", 12, 16_000, 1)
			s.run(40*time.Second, 500*time.Millisecond, func(int) *apiv1.JobStep {
				return &apiv1.JobStep{
					Count: step.Count, CpuMilli: 2000, MemoryMb: 100, EstimatedMs: 2000, Image: "batch",
					Checkpointing: step.Checkpointing, AllowDuplicates: step.AllowDuplicates,
				}
			})
			if counts := s.planner.Stragglers(); counts != (StragglerCounts{}) {
				t.Errorf("seed %d: %+v", seed, counts)
			}
		}
	}
}

// Guards against a copy whose end counts twice, as when its report is handled again, and against a copy
// that counts as won though the other run was first.
func TestEndOfCopyCountsOnce(t *testing.T) {
	for _, first := range []bool{true, false} {
		s := newStragglers()
		id := jobqueue.RunID{Task: jobqueue.TaskID{Job: "j"}, Number: 2}
		s.copies[id] = &runCopy{task: &jobqueue.Task{Done: !first}}
		want := StragglerCounts{CopiesStarted: 1, CopiesWon: 1}
		if !first {
			want = StragglerCounts{CopiesStarted: 1, CopiesWasted: 1}
		}
		for range 2 {
			s.recordEnd(EndedRun{Run: id, Kind: apiv1.RunEndKind_RUN_END_KIND_DONE})
			s.prune(jobqueue.New(), time.Time{})
		}
		if s.counts != want {
			t.Errorf("first %v: %+v", first, s.counts)
		}
	}
}

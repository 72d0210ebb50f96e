package dispatch

import (
	"testing"
	"time"

	apiv1 "github.com/cairnlift/cairnlift/api/v1"
	"github.com/cairnlift/cairnlift/jobqueue"
	"github.com/cairnlift/cairnlift/schedule"
)

// Guards against an estimate that takes a run for one that ends now or begins now, whatever its progress is.
func TestRemainingTimeFollowsProgress(t *testing.T) {
	now := time.UnixMilli(60_000)
	run := &jobqueue.Run{Step: &apiv1.JobStep{CpuMilli: 500}}
	observed := func(percent uint32, worked, ago time.Duration) *schedule.Observation {
		at := now.Add(-ago)
		return &schedule.Observation{FirstAt: at.Add(-worked), At: at, Percent: percent}
	}
	for name, test := range map[string]struct {
		o    *schedule.Observation
		want time.Duration
	}{
		"not observed":              {nil, 4 * time.Second},
		"no progress yet":           {observed(5, time.Second, 0), 3 * time.Second},
		"slower than expected":      {observed(50, 4*time.Second, 0), 4 * time.Second},
		"faster than expected":      {observed(90, 900*time.Millisecond, 0), 100 * time.Millisecond},
		"seen a while ago":          {observed(50, time.Second, 400*time.Millisecond), 600 * time.Millisecond},
		"without progress, overdue": {observed(0, 8*time.Second, 0), time.Second},
		"done":                      {observed(100, time.Second, 0), 0},
	} {
		l := &leaderState{observed: map[jobqueue.RunID]schedule.Observation{}}
		if test.o != nil {
			l.observed[run.ID] = *test.o
		}
		if got := l.remaining(run, 4*time.Second, now); got != test.want {
			t.Errorf("%s: %v, want %v", name, got, test.want)
		}
	}
}

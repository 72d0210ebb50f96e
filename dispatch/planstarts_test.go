package dispatch_test

import (
	"context"
	"strings"
	"sync"
	"testing"
	"time"

	apiv1 "github.com/cairnlift/cairnlift/api/v1"
	"github.com/cairnlift/cairnlift/state"
)

// Guards against a leader that starts nothing any more since all starts together do not fit into one command.
func TestManyStartsFitIntoCommands(t *testing.T) {
	s := newLimitedSim(t, nil)
	if o := outcomeOf(s.trySubmit(largeJob("job", &apiv1.JobStep{Count: 20_000}))); o != "JOB_OUTCOME_OK" {
		t.Fatal(o)
	}
	ctx, stop := context.WithCancel(t.Context())
	var loops sync.WaitGroup
	loops.Go(func() { s.dispatcher.Run(ctx) })
	worker := &apiv1.JobWorker{Id: strings.Repeat("i", 250), Host: "h", Pool: simPool, CpuMilli: 1000, MemoryMb: 1000}
	runs := 0
	for sequence := uint64(1); runs < 20_000 && sequence < 600; sequence++ {
		if _, err := s.dispatcher.Report(ctx, &apiv1.JobsReportRequest{Worker: worker, Session: 1, Sequence: sequence}); err != nil {
			t.Fatal(err)
		}
		time.Sleep(100 * time.Millisecond)
		s.replica.ReadState(func(m *state.Machine) {
			if w := m.CallerJobs().Worker(worker.Id); w != nil {
				runs = len(w.Runs)
			}
		})
	}
	if runs < 20_000 {
		t.Errorf("%d tasks are started", runs)
	}
	stop()
	loops.Wait()
}

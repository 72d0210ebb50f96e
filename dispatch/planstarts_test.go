package dispatch_test

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	apiv1 "github.com/cairnlift/cairnlift/api/v1"
	"github.com/cairnlift/cairnlift/state"
)

// awaitRuns reports workers with long names until a condition on their numbers of runs holds.
func awaitRuns(t *testing.T, s *sim, workers int, done func(runs []int) bool) []string {
	ctx, stop := context.WithCancel(t.Context())
	var loops sync.WaitGroup
	defer loops.Wait()
	defer stop()
	loops.Go(func() { s.dispatcher.Run(ctx) })
	var ids []string
	for i := range workers {
		ids = append(ids, fmt.Sprint(strings.Repeat("i", 250), i))
	}
	runs := make([]int, workers)
	for sequence := uint64(1); !done(runs); sequence++ {
		if sequence == 600 {
			t.Fatalf("the workers have %v runs", runs)
		}
		for i, id := range ids {
			w := &apiv1.JobWorker{Id: id, Host: fmt.Sprint("h", i), Pool: simPool, CpuMilli: 8000, MemoryMb: 8000}
			if _, err := s.dispatcher.Report(ctx, &apiv1.JobsReportRequest{Worker: w, Session: 1, Sequence: sequence}); err != nil {
				t.Fatal(err)
			}
		}
		time.Sleep(100 * time.Millisecond)
		s.replica.ReadState(func(m *state.Machine) {
			for i, id := range ids {
				if w := m.CallerJobs().Worker(id); w != nil {
					runs[i] = len(w.Runs)
				}
			}
		})
	}
	return ids
}

// Guards against a leader that starts nothing any more since all starts together do not fit into one command.
func TestManyStartsFitIntoCommands(t *testing.T) {
	s := newLimitedSim(t, nil)
	s.trySubmit(largeJob("job", &apiv1.JobStep{Count: 20_000}))
	awaitRuns(t, s, 10, func(runs []int) bool {
		total := 0
		for _, n := range runs {
			total += n
		}
		return total == 20_000
	})
}

// Guards against orders that exhaust the memory of an agent, and against tiny tasks that leave no place for others.
func TestOrdersOfTinyTasksAreBounded(t *testing.T) {
	s := newLimitedSim(t, nil)
	tiny := largeJob("tiny", &apiv1.JobStep{Count: 20_000})
	tiny.Payload = strings.Repeat("p", 4000)
	s.trySubmit(tiny)
	workers := awaitRuns(t, s, 1, func(runs []int) (started bool) {
		if runs[0] < 2000 {
			return false
		}
		s.trySubmit(largeJob("other", &apiv1.JobStep{Count: 3, CpuMilli: 2000, MemoryMb: 100}))
		s.replica.ReadState(func(m *state.Machine) { started = m.CallerJobs().Job("other").Running() })
		return started
	})
	orders, err := s.dispatcher.Orders(t.Context(), &apiv1.JobsOrdersRequest{Worker: workers[0]})
	if err != nil || len(orders.Starts) < 2000 || proto.Size(orders) > 16<<20 {
		t.Errorf("%d starts take %d bytes, %v", len(orders.Starts), proto.Size(orders), err)
	}
}

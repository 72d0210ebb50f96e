package dispatch_test

import (
	"fmt"
	"strconv"
	"strings"
	"testing"
	"time"

	apiv1 "github.com/cairnlift/cairnlift/api/v1"
	"github.com/cairnlift/cairnlift/jobqueue"
)

// kinds of jobs that the simulation draws from.
const (
	kindGang = iota
	kindRecurring
	kindAdvised
	kindLabelled
	kindSpread
	kindBackfill
	kindCount
)

const specialLabel = "special"

// jobOfKind returns the job of a number; its kind follows from the number.
func jobOfKind(number int) *apiv1.JobSpec {
	step := &apiv1.JobStep{Count: 3, CpuMilli: 800, MemoryMb: 500, EstimatedMs: 500}
	spec := &apiv1.JobSpec{Id: fmt.Sprintf("job%d", number), Host: simHost, Steps: []*apiv1.JobStep{
		step, {Count: 1, CpuMilli: 500, MemoryMb: 500, EstimatedMs: 300, After: []uint32{0}},
	}}
	spec.Path = "/q/" + spec.Id
	switch number % kindCount {
	case kindGang:
		step.Gang, step.Checkpointing = true, true
	case kindRecurring:
		spec.Occurrences, spec.IntervalMs = 3, 700
		spec.StartAtMs = time.Now().UnixMilli() + 1000
	case kindAdvised:
		spec.Path = "/advised/" + spec.Id
	case kindLabelled:
		step.RequiredLabel = specialLabel
	case kindSpread:
		step.MaxPerWorker = 1
	case kindBackfill:
		step.Backfill, step.Checkpointing, step.Image = true, true, "image"
	}
	return spec
}

// advisorAllows is the policy of the placement advisor: each job has one host that must
// not run it.
func advisorAllows(step jobqueue.StepID, worker string) bool {
	return !strings.HasPrefix(worker, fmt.Sprintf("host%d-", jobNumber(step.Job)%4))
}

func jobNumber(job string) int {
	number, err := strconv.Atoi(strings.TrimPrefix(job, "job"))
	if err != nil {
		panic(err)
	}
	return number
}

// drain has a worker leave: it says so, and its successor comes a while later.
func (h *simulatedHost) drain(span time.Duration) {
	h.mu.Lock()
	h.worker.Drain()
	h.mu.Unlock()
	time.AfterFunc(span, h.startWorker)
}

// Symptom: a task starts where it must not: without the label, without the advisor's
// ticket, too many of a step on one worker, a member of a gang under another run's
// number, an occurrence before its time, or on a worker that leaves.
// Sequence: jobs of all kinds come while agents are cut off, workers crash or drain,
// leaders follow one another, the advisor fails now and then, and orders are lost or
// carried out late.
// Cause: any fault in how starts are judged, or tickets kept.
func TestJobKindsUnderFaults(t *testing.T) {
	runSeeds(t, 40, 4, runJobKindsUnderFaults)
}

func runJobKindsUnderFaults(t *testing.T, s *sim, seed uint64) {
	s.advisor.Allowed = advisorAllows
	s.advisor.Applies = func(job string) bool { return jobNumber(job)%kindCount == kindAdvised }
	s.advisor.Fails = func(number int) bool { return number%5 == 0 }
	s.requireTickets = true
	for _, h := range s.hosts {
		h.labels = []string{specialLabel}
		h.startWorker()
	}
	s.hosts[3].labels = nil
	s.hosts[3].startWorker()
	s.sleep(3 * time.Second)
	for i := range 12 {
		spec := jobOfKind(i)
		s.submitted = append(s.submitted, spec)
		s.submitJob(spec)
		switch s.intN(4) {
		case 0:
			s.injectFault()
		case 1:
			s.hosts[s.intN(len(s.hosts))].drain(time.Duration(500+s.intN(3000)) * time.Millisecond)
		}
		s.sleep(time.Duration(s.intN(1500)) * time.Millisecond)
	}
	s.stopFaultsAndCheck(seed)
}

package dispatch_test

import (
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/cairnlift/cairnlift/admission"
	apiv1 "github.com/cairnlift/cairnlift/api/v1"
	"github.com/cairnlift/cairnlift/state"
)

// noRouteResults are answers to callers of jobs that are not known while no queue, or one of another prefix,
// takes their paths.
var noRouteResults = []string{"JOB_OUTCOME_NO_QUEUE", "JOB_OUTCOME_INVALID"}

// stepRoutedJob is the model of a job whose route comes and goes: what an accepted job is told does not depend
// on it. A cancel of a job that is not known holds whatever it was answered.
func stepRoutedJob(st, in, out any) []any {
	s, kind, result := st.(string), in.(jobOp).kind, out.(string)
	if !slices.Contains(noRouteResults, result) {
		return stepJob(st, in, out)
	}
	switch {
	case s != "absent" && s != "tombstone":
		return nil
	case kind == jobOpCancel:
		return []any{"tombstone"}
	}
	return []any{s}
}

// routeConfigurations are configurations with a queue at /q/, without one, and with another one that takes
// its paths.
func (s *sim) routeConfigurations() []*apiv1.QueueConfiguration {
	var current *apiv1.QueueConfiguration
	s.replica.ReadState(func(m *state.Machine) { current = m.CallerJobs().Configuration() })
	with := func(prefixes ...string) *apiv1.QueueConfiguration {
		c := &apiv1.QueueConfiguration{Pools: current.Pools}
		for _, p := range prefixes {
			c.Queues = append(c.Queues, &apiv1.JobQueue{
				Name: p, Host: simHost, PathPrefix: p, Pool: simPool, MaxAttempts: 4, Stretch: 2, AllowanceMs: 500, TimeoutMs: 1000,
			})
		}
		return c
	}
	return []*apiv1.QueueConfiguration{with("/q/"), with("/advised/"), with("/q/", "/q/job1"), with("/"), with("/", "/q/")}
}

// changeRoutes replaces the configuration at random until the returned function is called.
func (s *sim) changeRoutes() (stop func()) {
	done := make(chan struct{})
	var changes sync.WaitGroup
	configurations := s.routeConfigurations()
	changes.Go(func() {
		for version := uint64(2); ; version++ {
			select {
			case <-done:
				return
			case <-time.After(time.Duration(20+s.intN(200)) * time.Millisecond):
			}
			c := proto.CloneOf(configurations[s.intN(len(configurations))])
			c.Version = version
			s.propose(&apiv1.JobsCommand{Body: &apiv1.JobsCommand_PutQueues{PutQueues: &apiv1.PutQueues{Configuration: c}}})
		}
	})
	return func() { close(done); changes.Wait() }
}

// Guards against an accepted job that its callers lose while its route comes and goes: it is not known, can't
// be cancelled, is refused when it is submitted again, or runs after its cancel. The leader changes meanwhile.
func TestJobsWhoseRoutesChangeAreLinearizable(t *testing.T) {
	model := jobHistoryModel(stepRoutedJob)
	results := map[string]int{}
	wanted := []string{
		"submit JOB_OUTCOME_OK", "submit JOB_OUTCOME_NO_QUEUE", "submit JOB_OUTCOME_INVALID", "cancel JOB_OUTCOME_OK", "cancel JOB_OUTCOME_NO_QUEUE", "state open",
	}
	for seed := uint64(0); playsOn(seed, results, wanted); seed++ {
		runSimWith(t, seed, 2, admission.Estimate, func(t *testing.T, s *sim) {
			s.stopFaults()
			s.log.CommitsUnconfirmed = func() bool { return s.intN(2) == 0 }
			s.sleep(untilTrusted)
			stop := s.changeRoutes()
			s.checkJobHistory(fmt.Sprint("seed ", seed), model, 5, results)
			stop()
		})
	}
	t.Log(results)
	for _, want := range wanted {
		if results[want] == 0 {
			t.Errorf("no operation had the result %q", want)
		}
	}
}

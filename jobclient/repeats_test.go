package jobclient

import (
	"context"
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/rcrowley/go-metrics"

	apiv1 "github.com/cairnlift/cairnlift/api/v1"
	"github.com/cairnlift/cairnlift/control"
)

// fullLeader accepts one in four new jobs. It loses some of its responses.
type fullLeader struct {
	mu       sync.Mutex
	rand     *rand.Rand
	accepted map[string]bool
}

func (l *fullLeader) submit(id string) (apiv1.JobOutcome, error) {
	time.Sleep(time.Millisecond)
	defer time.Sleep(time.Millisecond)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.accepted[id] = l.accepted[id] || l.rand.IntN(4) == 0
	switch {
	case !l.accepted[id]:
		return refused, errFull
	case l.rand.IntN(4) == 0:
		return 0, &control.UnknownError{}
	}
	return ok, nil
}

func (l *fullLeader) lookup(_ context.Context, spec *apiv1.JobSpec) control.SubmissionState {
	time.Sleep(time.Millisecond)
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case l.rand.IntN(10) == 0:
		return control.SubmissionInDoubt
	case l.accepted[spec.Id]:
		return control.SubmissionAccepted
	}
	return control.SubmissionAbsent
}

// stepAcceptance is the model of one job for its callers: it is refused only if it is not accepted.
func stepAcceptance(accepted, _, result any) []any {
	switch {
	case result == "unknown":
		return []any{accepted, true}
	case result == "refused" && accepted.(bool):
		return nil
	}
	return []any{result == "accepted"}
}

// Guards against a refusal of a job that another entry, or the same one, was told is accepted: callers submit the
// same jobs through two entries that refuse most of them by themselves.
func TestRefusalsOfTwoEntriesAreLinearizable(t *testing.T) {
	metrics.NewMeter().Stop()
	model := porcupine.NondeterministicModel{Init: func() []any { return []any{false} }, Step: stepAcceptance}
	results := map[string]int{}
	play := func(t *testing.T, seed uint64) {
		source, registry := rand.New(rand.NewPCG(seed, 0)), metrics.NewRegistry()
		leader := &fullLeader{rand: rand.New(rand.NewPCG(seed, 1)), accepted: map[string]bool{}}
		entries := []*intake{newIntake(registry, time.Now, leader.lookup), newIntake(registry, time.Now, leader.lookup)}
		var mu sync.Mutex
		histories := map[string][]porcupine.Operation{} // by job
		var callers sync.WaitGroup
		for n := range 320 {
			spec, entry, delay := job(fmt.Sprint(source.IntN(40)), ""), entries[source.IntN(2)], time.Duration(source.IntN(2000))*time.Millisecond
			callers.Go(func() {
				time.Sleep(delay)
				op := porcupine.Operation{ClientId: n, Call: time.Now().UnixNano()}
				outcome, err := entry.submit(t.Context(), spec, func() (apiv1.JobOutcome, error) { return leader.submit(spec.Id) })
				op.Output, op.Return = map[apiv1.JobOutcome]string{ok: "accepted", refused: "refused"}[outcome], time.Now().UnixNano()
				if errors.As(err, new(*control.UnknownError)) {
					op.Output, op.Return = "unknown", math.MaxInt64
				}
				mu.Lock()
				defer mu.Unlock()
				histories[spec.Id] = append(histories[spec.Id], op)
				results[op.Output.(string)]++
			})
		}
		callers.Wait()
		results["refused here"] += int(metrics.GetOrRegisterCounter("admission.refused_here", registry).Count())
		for id, history := range histories {
			if !porcupine.CheckOperations(model.ToModel(), history) {
				t.Errorf("seed %d: the history of job %s is not linearizable: %+v", seed, id, history)
			}
		}
	}
	for seed := range uint64(20) {
		synctest.Test(t, func(t *testing.T) { play(t, seed) })
	}
	t.Log(results)
	if results["refused here"] < 1000 || results["accepted"] < 100 || results["unknown"] < 100 {
		t.Errorf("too few results of a kind: %v", results)
	}
}

package dispatch_test

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"

	"github.com/rcrowley/go-metrics"

	"github.com/cairnlift/cairnlift/admission"
)

// runSim runs a test on a simulation in virtual time and stops the simulation after the test.
func runSim(t *testing.T, seed uint64, workers int, test func(t *testing.T, s *sim)) {
	t.Helper()
	runSimWith(t, seed, workers, admission.Off, test)
}

// runSimWith runs a test on a simulation whose leader decides on submissions.
func runSimWith(t *testing.T, seed uint64, workers int, mode admission.Mode, test func(t *testing.T, s *sim)) {
	t.Helper()
	// The ticker that the library shares between all meters must not belong to one test's virtual
	// time.
	metrics.NewMeter().Stop()
	synctest.Test(t, func(t *testing.T) {
		ctx, stop := context.WithCancel(t.Context())
		s := newSim(ctx, t, seed, workers, mode)
		defer s.loops.Wait()
		defer stop()
		test(t, s)
	})
}

// runSeeds runs a test once for each seed from 0 to seeds-1.
func runSeeds(t *testing.T, seeds uint64, workers int, test func(t *testing.T, s *sim, seed uint64)) {
	for seed := range seeds {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			runSim(t, seed, workers, func(t *testing.T, s *sim) { test(t, s, seed) })
		})
	}
}

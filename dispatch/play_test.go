package dispatch_test

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"

	"github.com/rcrowley/go-metrics"
)

// runSim runs a test on a simulation in virtual time, and ends the simulation after it.
func runSim(t *testing.T, seed uint64, workers int, test func(t *testing.T, s *sim)) {
	// The library's clock for all meters must not belong to one test's virtual time.
	metrics.NewMeter().Stop()
	synctest.Test(t, func(t *testing.T) {
		ctx, stop := context.WithCancel(t.Context())
		s := newSim(ctx, t, seed, workers)
		defer s.loops.Wait()
		defer stop()
		test(t, s)
	})
}

// runSeeds runs a test once for each of the first seeds.
func runSeeds(t *testing.T, seeds uint64, workers int, test func(t *testing.T, s *sim, seed uint64)) {
	for seed := range seeds {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			runSim(t, seed, workers, func(t *testing.T, s *sim) { test(t, s, seed) })
		})
	}
}

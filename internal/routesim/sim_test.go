package routesim

import (
	"fmt"
	"reflect"
	"testing"
	"time"

	"github.com/cairnlift/cairnlift/agent/gate"
)

// The defaults of route.Config.
const (
	retryRatio, retryBurst = 0.1, 20
	hedgeRatio, hedgeBurst = 0.03, 10
)

func allRuns(seeds ...uint64) []Run {
	var out []Run
	for _, d := range []Deployment{Wrekinford(), Auction()} {
		for _, f := range []Fault{FaultFree, Slow, Failing, HostLost, Leaving, ZoneLost, ErrorStorm, Brownout, LoadSpike} {
			for _, load := range []float64{0.7, 1.3} {
				for _, seed := range seeds {
					out = append(out, Run{Deployment: d, Policy: Cairnlift, Fault: f, Load: load, Seed: seed, Duration: 5 * time.Second, AgentQueue: gate.MaxWaiting})
				}
			}
		}
	}
	return out
}

// Guards against requests that get no final outcome or two, non-idempotent requests that run
// twice, and retries that double the load of a service that already fails. Targets slow down,
// fail every request, become unreachable or leave while requests are queued, retried and
// hedged. Possible causes are a queued request that is woken and abandoned at the same time,
// an attempt that ends after its request, or a retry without a budget or without proof that
// the request was not run.
func TestEveryRequestFinishesExactlyOnce(t *testing.T) {
	for _, r := range allRuns(31, 32) {
		t.Run(fmt.Sprintf("%s/%s/%.1f/%d", r.Deployment.Name, r.Fault, r.Load, r.Seed), func(t *testing.T) {
			t.Parallel()
			got := Simulate(r)
			if got.Unfinished != 0 || got.FinishedTwice != 0 || got.RunTwice != 0 {
				t.Errorf("%d requests without a final outcome, %d with two, %d run twice", got.Unfinished, got.FinishedTwice, got.RunTwice)
			}
			if sum := got.Answered + got.Failed + got.Refused + got.Unknown; sum != got.Offered() {
				t.Errorf("%d final outcomes for %d requests", sum, got.Offered())
			}
			entries := float64(r.Deployment.Entries)
			if allowed := retryRatio*float64(got.Answered) + retryBurst*entries; float64(got.Retries) > allowed {
				t.Errorf("%d retries, the budget allows %.0f", got.Retries, allowed)
			}
			if allowed := hedgeRatio*float64(got.Answered) + hedgeBurst*entries; float64(got.Hedges) > allowed {
				t.Errorf("%d hedges, the budget allows %.0f", got.Hedges, allowed)
			}
		})
	}
}

// Guards against goodput that falls when the load exceeds the capacity, and against one busy
// caller that starves all others. Callers offer 1.3 times the capacity. Possible causes are
// work started for requests that cannot finish before their deadline, and a queue in order of
// arrival.
func TestOverloadKeepsGoodput(t *testing.T) {
	for _, d := range []Deployment{Wrekinford(), Auction()} {
		for _, seed := range []uint64{41, 42} {
			at := func(load float64) *Report {
				return Simulate(Run{Deployment: d, Policy: Cairnlift, Fault: Slow, Load: load, Seed: seed, Duration: 8 * time.Second, AgentQueue: gate.MaxWaiting})
			}
			peak, over := at(1), at(1.3)
			if over.Goodput() < 0.9*peak.Goodput() {
				t.Errorf("%s: %.0f answers a second in time at 1.3 times capacity, %.0f at capacity", d.Name, over.Goodput(), peak.Goodput())
			}
			if over.OthersAnswered <= over.BusiestAnswered {
				t.Errorf("%s: %.2f of the other callers' requests answered in time, %.2f of the busiest caller's", d.Name, over.OthersAnswered, over.BusiestAnswered)
			}
		}
	}
}

// Guards against tables of docs/measurements/routing.md that cannot be reproduced. The same
// run is made twice with one seed. Possible causes are decisions that depend on map order, the
// wall clock or an unseeded random source.
func TestRunsAreDeterministic(t *testing.T) {
	for _, f := range []Fault{HostLost, ErrorStorm} {
		r := Run{Deployment: Auction(), Policy: Cairnlift, Fault: f, Load: 1, Seed: 51, Duration: 4 * time.Second, AgentQueue: gate.MaxWaiting}
		if a, b := Simulate(r), Simulate(r); !reflect.DeepEqual(a, b) {
			t.Errorf("%s: two runs with the same seed differ: %+v, %+v", f, a, b)
		}
	}
}

package routesim

import (
	"fmt"
	"reflect"
	"testing"
	"time"

	"github.com/cairnlift/cairnlift/agent/gate"
)

// The figures below are route.Config's defaults.
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

// Symptom: a caller never hears back, or hears twice, or a charge runs twice, or
// retries double the load of a service that already fails. Sequence: targets slow
// down, fail everything, vanish or leave while requests are queued, retried and
// hedged. Cause: a request that is woken and abandoned at once, an attempt that
// is settled after its request, or a retry without proof or budget.
func TestEveryRequestFinishesExactlyOnce(t *testing.T) {
	for _, r := range allRuns(31, 32) {
		t.Run(fmt.Sprintf("%s/%s/%.1f/%d", r.Deployment.Name, r.Fault, r.Load, r.Seed), func(t *testing.T) {
			t.Parallel()
			got := Simulate(r)
			if got.Unfinished != 0 || got.FinishedTwice != 0 || got.RunTwice != 0 {
				t.Errorf("%d without a final word, %d with two, %d run twice", got.Unfinished, got.FinishedTwice, got.RunTwice)
			}
			if sum := got.Answered + got.Failed + got.Refused + got.Unknown; sum != got.Offered() {
				t.Errorf("%d final words for %d requests", sum, got.Offered())
			}
			entries := float64(r.Deployment.Entries)
			if most := retryRatio*float64(got.Answered) + retryBurst*entries; float64(got.Retries) > most {
				t.Errorf("%d retries, the budget allows %.0f", got.Retries, most)
			}
			if most := hedgeRatio*float64(got.Answered) + hedgeBurst*entries; float64(got.Hedges) > most {
				t.Errorf("%d hedges, the budget allows %.0f", got.Hedges, most)
			}
		})
	}
}

// Symptom: past its capacity a service answers fewer requests than at it, and one
// busy caller takes the place of all others. Sequence: callers offer 1.3 times
// the capacity. Cause: work begun for requests that can't finish, and a queue in
// the order of arrival.
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
				t.Errorf("%s: %.2f of the small callers' requests in time, %.2f of the busy one's", d.Name, over.OthersAnswered, over.BusiestAnswered)
			}
		}
	}
}

// Symptom: a table of docs/measurements/routing.md can't be repeated. Sequence: one run
// is made twice with one seed. Cause: a decision that depends on the order of a map, the
// wall clock or a random source without a seed.
func TestRunsAreDeterministic(t *testing.T) {
	for _, f := range []Fault{HostLost, ErrorStorm} {
		r := Run{Deployment: Auction(), Policy: Cairnlift, Fault: f, Load: 1, Seed: 51, Duration: 4 * time.Second, AgentQueue: gate.MaxWaiting}
		if a, b := Simulate(r), Simulate(r); !reflect.DeepEqual(a, b) {
			t.Errorf("%s: two runs with one seed differ: %+v, %+v", f, a, b)
		}
	}
}

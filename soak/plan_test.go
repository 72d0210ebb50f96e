package soak

import (
	"fmt"
	"math/rand/v2"
	"reflect"
	"strings"
	"testing"
	"time"
)

var eightWorkers = Options{Workers: 8}.fleet()

// TestPlanRoundTrip guards against a plan that is played again as another one.
func TestPlanRoundTrip(t *testing.T) {
	for seed := range uint64(50) {
		plan := drawPlan(rand.New(rand.NewPCG(seed, 1)), eightWorkers, faultPhase, Profile{Agents: true, Sick: true, Fronts: true, Links: true, Outages: true})
		var text strings.Builder
		for i := range plan {
			plan[i].at = plan[i].at.Round(time.Millisecond)
			fmt.Fprintln(&text, plan[i])
		}
		read, err := parsePlan(text.String(), eightWorkers)
		if err != nil || !reflect.DeepEqual(read, plan) {
			t.Fatalf("seed %d: %v\n%v\n%v", seed, err, read, plan)
		}
	}
	for _, text := range []string{"1 worker 8 kill", "1 worker 0 dance", "1 leader 0 kill", "1 control 3 kill", "1 entry 4 stop", "1 link 0 kill", "1 worker 0 cut", "1 worker 0 wipe", "soon worker 0 kill", "1 worker 0"} {
		if plan, err := parsePlan(text, eightWorkers); err == nil {
			t.Errorf("%q is read as %v", text, plan)
		}
	}
}

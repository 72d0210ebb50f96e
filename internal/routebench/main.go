// Command routebench measures the routing policy against baselines at virtual
// time and prints the tables of docs/measurements/routing.md.
package main

import (
	"encoding/json"
	"fmt"
	"os"
	"strconv"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"github.com/cairnlift/cairnlift/agent/gate"
	"github.com/cairnlift/cairnlift/internal/routesim"
	"github.com/cairnlift/cairnlift/route"
)

// seedSets are kept apart: policies are tuned on the first, looked at on the
// second and reported on the third, which is run only for the final table.
var seedSets = map[string][]uint64{
	"tune":  {1, 2, 3},
	"check": {11, 12, 13},
	"final": {33, 34, 35},
}

func main() {
	app := kingpin.New("routebench", "Measures the routing policy at virtual time.")
	set := app.Flag("seeds", "Seed set: tune, check or final.").Default("tune").Enum("tune", "check", "final")
	duration := app.Flag("duration", "Virtual length of a run.").Default("30s").Duration()
	policies := app.Flag("policy", "Policies to run; all when none is named.").Strings()
	faults := app.Flag("fault", "Faults to run; all when none is named.").Strings()
	workers := app.Flag("workers", "Runs at a time.").Default("3").Int()
	entries := app.Flag("entries", "Entry hosts; the deployment's own number when 0.").Default("0").Int()
	agentQueue := app.Flag("agent-queue", "Requests that an agent lets wait for a target's slots.").Default(strconv.Itoa(gate.MaxWaiting)).Int()
	override := app.Flag("config", "Router settings that differ from the defaults, as JSON.").Default("{}").String()
	kingpin.MustParse(app.Parse(os.Args[1:]))
	var cfg route.Config
	app.FatalIfError(json.Unmarshal([]byte(*override), &cfg), "config")

	overrideEntries(*entries)
	started := time.Now()
	plan := newPlan(seedSets[*set], *duration, cfg, *agentQueue, *policies, *faults)
	results := plan.run(*workers)
	plan.print(os.Stdout, results)
	fmt.Fprintf(os.Stderr, "%d runs in %s\n", len(plan.runs), time.Since(started).Round(time.Second))
}

// loads are the offered rates of the slow-down runs, faultLoads those of the others.
var (
	loads      = []float64{0.5, 0.8, 1.0, 1.15, 1.3}
	faultLoads = []float64{0.7}
	allFaults  = []routesim.Fault{
		routesim.Slow, routesim.Failing, routesim.HostLost, routesim.Leaving,
		routesim.ZoneLost, routesim.ErrorStorm, routesim.Brownout, routesim.LoadSpike,
	}
	deployments = []routesim.Deployment{routesim.Wrekinford(), routesim.Auction()}
)

func overrideEntries(n int) {
	for i := range deployments {
		if n > 0 {
			deployments[i].Entries = n
		}
	}
}

// Command routebench compares the routing policy with baseline policies in virtual
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

// seedSets are disjoint: policies are tuned on the first, checked on the second and
// reported on the third, which is run only for the final table.
var seedSets = map[string][]uint64{
	"tune":  {1, 2, 3},
	"check": {11, 12, 13},
	"final": {33, 34, 35},
}

func main() {
	app := kingpin.New("routebench", "Measures the routing policy in virtual time.")
	seedSet := app.Flag("seeds", "Seed set: tune, check or final.").Default("tune").Enum("tune", "check", "final")
	duration := app.Flag("duration", "Virtual duration of a run.").Default("30s").Duration()
	policies := app.Flag("policy", "Policies to run (default: all).").Strings()
	faults := app.Flag("fault", "Faults to run (default: all).").Strings()
	workers := app.Flag("workers", "Number of concurrent runs.").Default("3").Int()
	entries := app.Flag("entries", "Number of entry hosts; 0 keeps the deployment's number.").Default("0").Int()
	agentQueue := app.Flag("agent-queue", "Maximum number of requests that an agent queues for a target's slots.").Default(strconv.Itoa(gate.MaxWaiting)).Int()
	override := app.Flag("config", "Router settings that override the defaults, as JSON.").Default("{}").String()
	kingpin.MustParse(app.Parse(os.Args[1:]))
	var cfg route.Config
	app.FatalIfError(json.Unmarshal([]byte(*override), &cfg), "parse --config")

	overrideEntries(*entries)
	started := time.Now()
	plan := newPlan(seedSets[*seedSet], *duration, cfg, *agentQueue, *policies, *faults)
	results := plan.run(*workers)
	plan.print(os.Stdout, results)
	fmt.Fprintf(os.Stderr, "%d runs in %s\n", len(plan.runs), time.Since(started).Round(time.Second))
}

// loads are the offered loads of the runs with slowdowns only, faultLoads those of all
// other runs, both as a fraction of the deployment's capacity.
var (
	loads      = []float64{0.5, 0.8, 1.0, 1.15, 1.3}
	faultLoads = []float64{0.7}
	allFaults  = []routesim.Fault{
		routesim.Slow, routesim.Failing, routesim.HostLost, routesim.Leaving,
		routesim.ZoneLost, routesim.ErrorStorm, routesim.Brownout, routesim.LoadSpike,
	}
	deployments = []routesim.Deployment{routesim.Wrekinford(), routesim.Auction()}
)

// overrideEntries sets the number of entry hosts of every deployment, unless n is 0.
func overrideEntries(n int) {
	for i := range deployments {
		if n > 0 {
			deployments[i].Entries = n
		}
	}
}

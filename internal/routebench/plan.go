package main

import (
	"fmt"
	"io"
	"slices"
	"time"

	"github.com/sourcegraph/conc/iter"

	"github.com/cairnlift/cairnlift/internal/routesim"
	"github.com/cairnlift/cairnlift/route"
)

// plan lists the table rows and the runs that they summarize.
type plan struct {
	config     route.Config
	agentQueue int
	rows       []row
	runs       []routesim.Run
}

// row is one line of a table: the same run repeated with each seed.
type row struct {
	deployment routesim.Deployment
	fault      routesim.Fault
	load       float64
	policy     string
	// The row's runs are plan.runs[from:to].
	from, to int
}

func newPlan(seeds []uint64, duration time.Duration, cfg route.Config, agentQueue int, policies, faults []string) *plan {
	p := &plan{config: cfg, agentQueue: agentQueue}
	if len(policies) == 0 {
		policies = routesim.Policies
	}
	for _, fault := range allFaults {
		if len(faults) > 0 && !slices.Contains(faults, string(fault)) {
			continue
		}
		for _, d := range deployments {
			for _, load := range loadsOf(fault) {
				for _, policy := range policies {
					p.add(row{deployment: d, fault: fault, load: load, policy: policy}, seeds, duration)
				}
			}
		}
	}
	return p
}

func loadsOf(f routesim.Fault) []float64 {
	if f == routesim.Slow {
		return loads
	}
	return faultLoads
}

func (p *plan) add(r row, seeds []uint64, duration time.Duration) {
	r.from = len(p.runs)
	for _, seed := range seeds {
		p.runs = append(p.runs, routesim.Run{
			Deployment: r.deployment, Policy: r.policy, Fault: r.fault, Load: r.load, Seed: seed, Duration: duration, Config: p.config, AgentQueue: p.agentQueue,
		})
	}
	r.to = len(p.runs)
	p.rows = append(p.rows, r)
}

func (p *plan) run(workers int) []*routesim.Report {
	m := iter.Mapper[routesim.Run, *routesim.Report]{MaxGoroutines: workers}
	return m.Map(p.runs, func(r *routesim.Run) *routesim.Report { return routesim.Simulate(*r) })
}

func (p *plan) print(w io.Writer, reports []*routesim.Report) {
	previous := ""
	for _, r := range p.rows {
		title := fmt.Sprintf("%s, %s", r.deployment.Name, r.fault)
		if title != previous {
			previous = title
			fmt.Fprintf(w, "\n### %s\n\n%s", title, tableHeader)
		}
		fmt.Fprintln(w, r.line(summarize(reports[r.from:r.to])))
	}
}

const tableHeader = `| load | policy | p50 ms | p99 ms | p99.9 ms | past objective % | goodput /s | refused % | refused in ms | come back ms | failed % | unknown % | retries % | hedges % | no slot % | hog / rest in time % | no final answer | run twice |
|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|
`

func (r row) line(s summary) string {
	return fmt.Sprintf("| %.2f | %s | %.0f | %.0f | %.0f | %.2f | %.0f | %.1f | %.1f | %.0f | %.2f | %.2f | %.1f | %.1f | %.1f | %.0f / %.0f | %d | %d |",
		r.load, r.policy, s.p50, s.p99, s.p999, s.pastObjective, s.goodput, s.refused, s.refusalMs, s.retryAfterMs,
		s.failed, s.unknown, s.retries, s.hedges, s.slotsFull, s.busiest, s.others, s.unfinished, s.runTwice)
}

package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/conc"
)

const (
	// warmUp is the time from the submission of the long-running tasks to the first fault.
	warmUp = 5 * time.Second
	// coolDown is the fault-free time at the end.
	coolDown = 14 * time.Second
	// faultPhase is the time within which faults begin.
	faultPhase = 60 * time.Second
)

// batchShares and failPercents are the values from which the load of a soak run is drawn.
var (
	batchShares  = []float64{0.3, 0.7, 1, 1.5, 2.5}
	failPercents = []uint32{0, 20, 50, 100}
)

// failingPercent is the percentage of batch runs that fail with Profile.Failing.
const failingPercent = 80

// The streams of random numbers of the operator, which are separate from that of the soak run.
const (
	changesStream = 2
	readsStream   = 3
)

// Profile selects the faults and the load of a soak run, in addition to the deaths of workers. The names of
// its fields are written into the summary.
type Profile struct {
	// Agents adds kills, pauses and terminations of agents.
	Agents bool
	// Fronts adds kills, pauses and terminations of control hosts and entries.
	Fronts bool
	// Links adds faults of the connections between agents and workers.
	Links bool
	// Outages adds power losses of all processes except the workers, lost disks, and links that are blackholed
	// until leases have expired.
	Outages bool
	// Configurations adds continuous changes and reads of the configuration.
	Configurations bool
	// Cordons adds cordons of the workers' availability zones.
	Cordons bool
	// Callers makes some callers cancel jobs, give up after refusals, and resend accepted jobs.
	Callers bool
	// Failing makes most batch runs fail.
	Failing bool
	// Sick makes some workers fail every task after a restart.
	Sick bool
	// Uneven adds brief pauses of all processes except the workers.
	Uneven bool
	// BatchShare is the batch work as a fraction of the capacity that the long-running tasks leave; drawn if 0.
	BatchShare float64
	// Plan replaces the drawn plan; it has the format of a soak run's plan.txt.
	Plan string
}

// Run runs a cluster whose workers die and restart under the same ids, and writes the records that Check
// checks.
func Run(ctx context.Context, o Options, p Profile, seed uint64) error {
	r := rand.New(rand.NewPCG(seed, 1))
	plan, err := drawPlan(r, o.fleet(), faultPhase, p), error(nil)
	if p.Plan != "" {
		if plan, err = parsePlan(p.Plan, o.fleet()); err != nil {
			return err
		}
	}
	c, err := newCluster(o)
	if err != nil {
		return err
	}
	defer c.remove()
	if err := c.addLinks(plan); err != nil {
		return err
	}
	if err := writePlan(filepath.Join(o.Folder, "plan.txt"), plan); err != nil {
		return err
	}
	l := &load{c: c, seed: seed, rand: r, callers: p.Callers, batchShare: batchShares[r.IntN(len(batchShares))], failPercent: failPercents[r.IntN(len(failPercents))]}
	if p.BatchShare > 0 {
		l.batchShare = p.BatchShare
	}
	if p.Failing {
		l.failPercent, l.allFail = failingPercent, true
	}
	if err := c.start(ctx, configuration(firstVersion)); err != nil {
		return err
	}
	op := &operator{c: c}
	l.run(ctx, plan, p, op)
	p.Plan = ""
	title := fmt.Sprintf("seed %d, %+v, batch share %v, failing %d%%", seed, p, l.batchShare, l.failPercent)
	return summary{Title: title, End: time.Now(), Jobs: l.answeredJobs(), Changes: op.changes, Reads: op.reads, Cordons: op.cordons}.write(o.Folder)
}

// run submits the jobs, and executes the plan at the same time.
func (l *load) run(ctx context.Context, plan []action, p Profile, op *operator) {
	working, stop := context.WithCancel(ctx)
	var all conc.WaitGroup
	defer all.Wait()
	defer stop()
	all.Go(func() { watchStalls(working, l.c.faults) })
	if p.Uneven {
		pauseRand := rand.New(rand.NewPCG(l.rand.Uint64(), 1))
		all.Go(func() { l.c.pauseProcesses(working, pauseRand) })
	}
	if p.Configurations {
		all.Go(func() { op.submitChanges(working, rand.New(rand.NewPCG(l.seed, changesStream))) })
		all.Go(func() { op.pollConfiguration(working, rand.New(rand.NewPCG(l.seed, readsStream))) })
	}
	if p.Cordons {
		all.Go(func() { op.cordonZones(working, rand.New(rand.NewPCG(l.seed, cordonsStream))) })
	}
	for _, j := range drawLongRunning(l.rand, l.c.o.Workers) {
		id := l.newID()
		caller := l.drawCaller()
		caller.maxAttempts = 0 // submitted until accepted, so that every soak run has its load
		all.Go(func() { l.runCaller(working, servingPath, id, j, caller) })
	}
	sleep(ctx, warmUp/2)
	all.Go(func() { l.submitBatch(working) })
	sleep(ctx, warmUp/2)
	l.c.executePlan(ctx, plan)
	sleep(ctx, coolDown)
	stop()
	all.Wait()
	l.followUps.Wait()
	l.queryStates(ctx)
}

// executePlan applies the actions of a plan at their times.
func (c *cluster) executePlan(ctx context.Context, plan []action) {
	start := time.Now()
	for _, a := range plan {
		sleep(ctx, time.Until(start.Add(a.at)))
		if ctx.Err() != nil {
			return
		}
		c.apply(a)
	}
}

// apply applies an action to its process, disk or link.
func (c *cluster) apply(a action) {
	if a.kind == linkKind {
		c.faults.add(fmt.Sprintf("link-%d", a.host), string(a.link), 0)
		c.hosts[a.host].link.setMode(a.link)
		return
	}
	p := c.processOf(a)
	if a.wipes {
		c.wipeDisk(a.host)
		return
	}
	if a.kind == workerKind {
		c.hosts[a.host].sick.Store(a.sick)
	}
	if !a.starts {
		p.signal(a.signal)
		return
	}
	if a.kind != workerKind {
		p.kill() // a terminated process may not have ended yet
	}
	if err := p.start(); err != nil {
		c.faults.add(p.name, "start: "+err.Error(), 0)
	}
}

// wipeDisk empties the disk of a control host, after killing its process if that is running.
func (c *cluster) wipeDisk(host int) {
	p := c.controls[host]
	p.kill()
	what := "disk lost"
	if err := errors.Join(os.RemoveAll(c.diskDirs[host]), os.MkdirAll(c.diskDirs[host], 0o700)); err != nil {
		what = "disk: " + err.Error()
	}
	c.faults.add(p.name, what, 0)
}

// processOf returns the process of an action.
func (c *cluster) processOf(a action) *process {
	switch a.kind {
	case agentKind:
		return c.hosts[a.host].agent
	case controlKind:
		return c.controls[a.host]
	case entryKind:
		return c.entries[a.host]
	}
	return c.hosts[a.host].worker
}

func writePlan(path string, plan []action) error {
	var text strings.Builder
	for _, a := range plan {
		fmt.Fprintln(&text, a)
	}
	return errors.Wrap(os.WriteFile(path, []byte(text.String()), 0o600), "plan")
}

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
	// warmUp is how long the lasting tasks have to start before the first fault.
	warmUp = 5 * time.Second
	// coolDown is how long all is calm at the end.
	coolDown = 14 * time.Second
	// faultPhase is how long faults begin.
	faultPhase = 60 * time.Second
)

// batchShares and failPercents are what the load of a play is drawn from.
var (
	batchShares  = []float64{0.3, 0.7, 1, 1.5, 2.5}
	failPercents = []uint32{0, 20, 50, 100}
)

// failingPercent is how many batch runs fail where most do.
const failingPercent = 80

// The streams of random numbers of the operator, beside that of a play.
const (
	changesStream = 2
	readsStream   = 3
)

// Profile says what goes wrong beside the deaths of workers.
type Profile struct {
	// Agents: agents are killed and paused, too.
	Agents bool
	// Fronts: control hosts and entries are killed, paused and terminated, too.
	Fronts bool
	// Links: the connections between agents and workers are disturbed, too.
	Links bool
	// Outages: all but the workers lose power at times, disks are lost, and links are dark until leases
	// have run out.
	Outages bool
	// Configurations: the configuration is changed and read all the while.
	Configurations bool
	// Callers: callers cancel jobs, give up after refusals, and send again what was accepted.
	Callers bool
	// Failing: most batch runs fail.
	Failing bool
	// Sick: some workers fail whatever they run after they came back.
	Sick bool
	// Uneven: all processes but the workers are held up for moments now and then.
	Uneven bool
	// BatchShare is how much batch work comes, against what the lasting tasks leave; drawn when 0.
	BatchShare float64
	// Plan is carried out instead of one that is drawn; it has the form of a play's plan.txt.
	Plan string
}

// Run plays workers that die and come back under their ids. Judge judges the play.
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
	return summary{Title: title, End: time.Now(), Jobs: l.answeredJobs(), Changes: op.changes, Reads: op.reads}.write(o.Folder)
}

// run hands the jobs in, and carries the plan out beside them.
func (l *load) run(ctx context.Context, plan []action, p Profile, op *operator) {
	working, stop := context.WithCancel(ctx)
	var all conc.WaitGroup
	defer all.Wait()
	defer stop()
	all.Go(func() { watchStalls(working, l.c.faults) })
	if p.Uneven {
		hitches := rand.New(rand.NewPCG(l.rand.Uint64(), 1))
		all.Go(func() { l.c.pauseProcesses(working, hitches) })
	}
	if p.Configurations {
		all.Go(func() { op.submitChanges(working, rand.New(rand.NewPCG(l.seed, changesStream))) })
		all.Go(func() { op.pollConfiguration(working, rand.New(rand.NewPCG(l.seed, readsStream))) })
	}
	for _, j := range drawLongRunning(l.rand, l.c.o.Workers) {
		id := l.newID()
		caller := l.drawCaller()
		caller.maxAttempts = 0 // the load has to come
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

// executePlan does to the processes what the plan says.
func (c *cluster) executePlan(ctx context.Context, plan []action) {
	began := time.Now()
	for _, a := range plan {
		sleep(ctx, time.Until(began.Add(a.at)))
		if ctx.Err() != nil {
			return
		}
		c.apply(a)
	}
}

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
		p.kill() // one that was terminated may not have ended yet
	}
	if err := p.start(); err != nil {
		c.faults.add(p.name, "start: "+err.Error(), 0)
	}
}

// wipeDisk empties the disk of a control host, whose process is ended if it is there.
func (c *cluster) wipeDisk(host int) {
	p := c.controls[host]
	p.kill()
	what := "disk lost"
	if err := errors.Join(os.RemoveAll(c.diskDirs[host]), os.MkdirAll(c.diskDirs[host], 0o700)); err != nil {
		what = "disk: " + err.Error()
	}
	c.faults.add(p.name, what, 0)
}

// processOf is the process that an action names.
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

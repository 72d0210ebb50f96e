package soak

import (
	"context"
	"fmt"
	"io"
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
	// faultTime is how long faults begin.
	faultTime = 60 * time.Second
)

// batchShares and failPercents are what the load of a play is drawn from.
var (
	batchShares  = []float64{0.3, 0.7, 1, 1.5, 2.5}
	failPercents = []uint32{0, 20, 50, 100}
)

// PlayLives plays workers that die and come back under their ids, and writes what became of
// the tasks that last. It returns how many of them stayed away too long.
func PlayLives(ctx context.Context, o Options, seed uint64, out io.Writer) (int, error) {
	c, err := newCluster(o)
	if err != nil {
		return 0, err
	}
	defer c.stop()
	r := rand.New(rand.NewPCG(seed, 1))
	plan := drawPlan(r, o.Workers, faultTime)
	if err := writePlan(filepath.Join(o.Folder, "plan.txt"), plan); err != nil {
		return 0, err
	}
	l := &load{c: c, rand: r, batchShare: batchShares[r.IntN(len(batchShares))], failPercent: failPercents[r.IntN(len(failPercents))]}
	if err := c.start(ctx, configuration()); err != nil {
		return 0, err
	}
	l.play(ctx, plan)
	end := time.Now()
	c.stop()
	report, err := judge(c, l.accepted(), end)
	if err != nil {
		return 0, err
	}
	_, err = fmt.Fprintf(out, "seed %d, batch share %v, failing %d%%, %s\n%s", seed, l.batchShare, l.failPercent, o.Folder, report.text())
	return report.broken(), errors.Wrap(err, "report")
}

// play hands the jobs in, and carries the plan out beside them.
func (l *load) play(ctx context.Context, plan []action) {
	working, stop := context.WithCancel(ctx)
	var all conc.WaitGroup
	defer all.Wait()
	defer stop()
	for _, j := range drawLasting(l.rand, l.c.o.Workers) {
		id := l.newID()
		all.Go(func() { l.hand(working, servingPath, id, j) })
	}
	sleep(ctx, warmUp/2)
	all.Go(func() { l.feedBatch(working) })
	sleep(ctx, warmUp/2)
	l.c.carryOut(ctx, plan)
	sleep(ctx, coolDown)
}

// carryOut does to the processes what the plan says.
func (c *cluster) carryOut(ctx context.Context, plan []action) {
	began := time.Now()
	for _, a := range plan {
		sleep(ctx, time.Until(began.Add(a.at)))
		if ctx.Err() != nil {
			return
		}
		p := c.hosts[a.host].worker
		if a.agent {
			p = c.hosts[a.host].agent
		}
		if !a.starts {
			p.signal(a.signal)
		} else if err := p.start(); err != nil {
			c.faults.note(p.name, "start: "+err.Error(), 0)
		}
	}
}

func writePlan(path string, plan []action) error {
	var text strings.Builder
	for _, a := range plan {
		fmt.Fprintln(&text, a)
	}
	return errors.Wrap(os.WriteFile(path, []byte(text.String()), 0o600), "plan")
}

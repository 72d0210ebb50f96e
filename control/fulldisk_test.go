package control_test

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"

	"github.com/cairnlift/cairnlift/control"
	"github.com/cairnlift/cairnlift/quorum/node/nodetest"
	"github.com/cairnlift/cairnlift/quorum/wal"
	"github.com/cairnlift/cairnlift/quorum/wal/waltest"
)

// Guards against a host that does not return as a voter after its disk was full: the next lost disk stops the group.
func TestVoterReturnsAfterFullDiskBeforeNextLoss(t *testing.T) {
	for seed := range uint64(6) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) { synctest.Test(t, func(t *testing.T) { playFullDiskThenLostDisk(t, seed) }) })
	}
}

func playFullDiskThenLostDisk(t *testing.T, seed uint64) {
	g := nodetest.NewGroup(t, seed, "a", "b", "c")
	defer g.Kill()
	ctx, stop := context.WithCancel(t.Context())
	directories, ended := make(chan struct{}, 100), make(chan error, 1)
	host := control.Host{
		Logger: zap.NewNop(),
		Replica: func(ctx context.Context) error {
			if err := g.Start("a"); err != nil {
				return err
			}
			n := g.Node("a")
			var err error
			select {
			case <-ctx.Done():
			case err = <-n.Failed():
			}
			_ = n.Stop(nodetest.Within(2500 * time.Millisecond)) // The replica has reported its error.
			return err
		},
		Directory: func(ctx context.Context) error {
			directories <- struct{}{}
			<-ctx.Done()
			return nil
		},
		CheckWritable: func() error { return wal.CheckWritable(g.Host("a").Disk, "/data") },
	}
	go func() { ended <- host.Run(ctx) }()
	synctest.Wait()
	g.MustStart("b", "c")
	g.Propose("1")
	g.Host("a").Disk.FailAt(1, waltest.NoSpace)
	g.Propose("2")
	<-directories
	g.Propose("3")
	failed := g.Node("a")
	g.Host("a").Disk.FreeSpace()
	g.Wait("the replica's restart", func() bool { return g.Node("a") != failed })
	g.Wait("3 on the restarted replica", func() bool { return g.HasCommand("a", "3") })
	g.ReplaceDisk([]string{"b", "c"}[seed%2])
	g.Propose("4")
	for _, name := range g.Names() {
		for _, command := range []string{"1", "2", "3", "4"} {
			g.Wait(command+" on "+name, func() bool { return g.HasCommand(name, command) })
		}
	}
	stop()
	if err := <-ended; err != nil {
		t.Errorf("the host ended with %v", err)
	}
}

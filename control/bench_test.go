package control

import (
	"context"
	"fmt"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sourcegraph/conc/pool"
	"google.golang.org/protobuf/proto"

	apiv1 "github.com/cairnlift/cairnlift/api/v1"
	"github.com/cairnlift/cairnlift/state"
)

const benchTasksPerWorker = 8

// newLoadedCoordinator is a coordinator whose workers each run benchTasksPerWorker tasks.
func newLoadedCoordinator(workers int) (*coordinator, *state.Machine, []*apiv1.WorkerHeartbeat, time.Time) {
	now := time.UnixMilli(1e12)
	m := state.New()
	c := newCoordinator(1, newLeases(time.Minute, 1000, now), &firstFit{}, map[string]throttle{})
	index := uint64(0)
	apply := func(cmds ...*apiv1.Command) {
		for _, cmd := range cmds {
			if cmd != nil {
				index++
				m.Apply(index, cmd)
			}
		}
	}
	var jobs []*apiv1.Job
	for i := range workers {
		jobs = append(jobs, &apiv1.Job{Name: fmt.Sprintf("j%05d", i), Tasks: benchTasksPerWorker, Size: processors(100)})
	}
	apply(submission("s", 0, jobs...))
	beats := make([]*apiv1.WorkerHeartbeat, workers)
	for i := range workers {
		name := fmt.Sprintf("w%05d", i)
		hb := &apiv1.WorkerHeartbeat{Worker: name, Incarnation: 1, Info: info(name, benchTasksPerWorker*100)}
		apply(c.observe(now, hb, m))
		place := &apiv1.Place{}
		for n := range benchTasksPerWorker {
			a := &apiv1.TaskAttempt{Task: fmt.Sprintf("j%05d@1/%d", i, n), Attempt: 1}
			place.Grants = append(place.Grants, &apiv1.Grant{Task: a.Task, Attempt: 1, Worker: name, WorkerIncarnation: 1, Resources: processors(100)})
			hb.Tasks = append(hb.Tasks, &apiv1.TaskStatus{Task: a, Phase: apiv1.TaskPhase_TASK_PHASE_RUNNING, Checkpoint: "c"})
		}
		apply(&apiv1.Command{Body: &apiv1.Command_Place{Place: place}})
		beats[i] = hb
	}
	return c, m, beats, now
}

// BenchmarkLeader times what the leader does per heartbeat and per round, without
// planning, against the number of workers.
func BenchmarkLeader(b *testing.B) {
	for _, n := range []int{11, 110, 1100, 3700} {
		c, m, beats, now := newLoadedCoordinator(n)
		b.Run(fmt.Sprintf("heartbeat/workers=%d", n), func(b *testing.B) {
			b.ReportAllocs()
			sent, answered := 0, 0
			for i := range b.N {
				hb := beats[i%n]
				hb.Sequence++
				hb.Info = nil
				c.observe(now, hb, m)
				c.renew(now, hb, m)
				sent, answered = proto.Size(hb), proto.Size(c.orders(hb, m))
			}
			b.ReportMetric(float64(sent), "B/heartbeat")
			b.ReportMetric(float64(answered), "B/orders")
		})
		b.Run(fmt.Sprintf("due/workers=%d", n), func(b *testing.B) {
			for range b.N {
				c.dueCommands(now, m)
			}
		})
		b.Run(fmt.Sprintf("snapshot/workers=%d", n), func(b *testing.B) {
			b.ReportAllocs()
			for range b.N {
				c.snapshot(now, m)
			}
		})
	}
}

// BenchmarkClaim times a claim, committed by three hosts on loopback with their
// logs on disk, alone and with others in flight.
func BenchmarkClaim(b *testing.B) {
	hosts, addresses := startGroup(b, 3)
	entry := NewForwarder(addresses, &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 256}})
	var count atomic.Int64
	claim := func() error {
		c := &apiv1.Claim{Key: fmt.Sprint(count.Add(1)), RequestId: "r", Attempt: 1, RequestDigest: make([]byte, 32)}
		_, err := entry.Propose(context.Background(), &apiv1.Command{Body: &apiv1.Command_Claim{Claim: c}})
		return err
	}
	waitUntil(b, "a leader", func() bool { return claim() == nil })
	for _, h := range hosts {
		waitUntil(b, "a confirmed configuration", func() bool { return !h.ConfirmedAt().IsZero() })
	}
	for _, inFlight := range []int{1, 16, 128} {
		b.Run(fmt.Sprintf("in-flight=%d", inFlight), func(b *testing.B) {
			p := pool.New().WithMaxGoroutines(inFlight)
			for range b.N {
				p.Go(func() {
					if err := claim(); err != nil {
						b.Error(err)
					}
				})
			}
			p.Wait()
		})
	}
}

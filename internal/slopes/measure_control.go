package main

import (
	"context"
	"fmt"
	"runtime"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/sourcegraph/conc"

	apiv1 "github.com/cairnlift/cairnlift/api/v1"
	"github.com/cairnlift/cairnlift/control"
	"github.com/cairnlift/cairnlift/place"
)

const (
	// leaseDuration is long enough that no lease expires during a measurement.
	leaseDuration = time.Hour
	// shortPlanInterval is the leader's plan interval where rounds are measured.
	shortPlanInterval = 20 * time.Millisecond
	// minRounds is the minimum number of rounds in a measurement; short rounds need more.
	minRounds = 10
	// warmUpHeartbeats heartbeats, warmUpInterval apart on the replica's clock, fill the
	// history of the last minutes that the planner keeps.
	warmUpHeartbeats = 30
	warmUpInterval   = 10 * time.Second
	// grantsPerCommand is the number of grants that the leader puts into one log entry.
	grantsPerCommand = 256
)

// switchedPlanner records observations like the real planner, but plans nothing until it is
// enabled.
type switchedPlanner struct {
	*place.Placer
	enabled atomic.Bool
}

func (p *switchedPlanner) Plan(now time.Time, s *place.Snapshot) place.Plan {
	if !p.enabled.Load() {
		return place.Plan{}
	}
	return p.Placer.Plan(now, s)
}

// leader is a control replica that leads a group of one replica.
type leader struct {
	*control.Replica
	// clockOffset is added to the replica's clock, in nanoseconds.
	clockOffset *atomic.Int64
	planner     *switchedPlanner
	rounds      metrics.Timer
	stop        context.CancelFunc
	done        conc.WaitGroup
}

func newLeader(planInterval time.Duration) *leader {
	registry := metrics.NewRegistry()
	l := &leader{clockOffset: &atomic.Int64{}, planner: &switchedPlanner{Placer: place.New(place.Config{Seed: 1})}}
	l.Replica = control.NewReplica(control.Config{
		LeaseDuration: leaseDuration, PlanInterval: planInterval, Planner: l.planner, Metrics: registry,
		Now: func() time.Time { return time.Now().Add(time.Duration(l.clockOffset.Load())) },
	})
	l.rounds = metrics.GetOrRegisterTimer("control.round", registry)
	l.Attach(control.NewMemoryLog(l.Replica, ""))
	ctx, stop := context.WithCancel(context.Background())
	l.stop = stop
	l.done.Go(func() { l.Run(ctx) })
	for {
		if _, err := l.RenewLocal(ctx, nil); err == nil {
			return l
		}
		time.Sleep(time.Millisecond)
	}
}

func (l *leader) close() {
	l.stop()
	l.done.Wait()
}

func (l *leader) propose(cmd *apiv1.Command) {
	_, err := l.ProposeLocal(context.Background(), cmd)
	must(err)
}

func (l *leader) renew(heartbeats []*apiv1.WorkerHeartbeat) {
	for _, hb := range heartbeats {
		hb.Sequence++
	}
	orders, err := l.RenewLocal(context.Background(), heartbeats)
	must(err)
	for _, o := range orders {
		if !o.Renewed || len(o.Start)+len(o.Stop) > 0 {
			panic("leader's orders to a worker disagree with its heartbeat: " + o.String())
		}
	}
}

// addWorkers registers n workers, grants worker i the given number of tasks of job i, and
// returns their heartbeats.
func (l *leader) addWorkers(n, leases int) []*apiv1.WorkerHeartbeat {
	l.propose(submit(1, 0, configuration(n, max(1, leases), (n*targetsPerWorker)/targetsPerService+1, teams)))
	var first, heartbeats []*apiv1.WorkerHeartbeat
	var grants []*apiv1.Grant
	for i := range n {
		hb := workerHeartbeat(i, 0, targetsPerWorker)
		hb.Info, hb.Sequence = workerInfo(i), 1
		first = append(first, hb)
		heartbeats = append(heartbeats, workerHeartbeat(i, leases, targetsPerWorker))
		for k := range leases {
			grants = append(grants, grant(i, i, k, 1))
		}
	}
	l.renew(first)
	for len(grants) > 0 {
		part := min(grantsPerCommand, len(grants))
		l.propose(placeCommand(grants[:part]...))
		grants = grants[part:]
	}
	for _, hb := range heartbeats {
		for _, st := range hb.Tasks {
			st.Task.Attempt = 1
		}
	}
	l.renew(heartbeats)
	return heartbeats
}

// warmUp enables planning and renews leases until the planner's history is full.
func (l *leader) warmUp(heartbeats []*apiv1.WorkerHeartbeat) {
	l.planner.enabled.Store(true)
	for range warmUpHeartbeats {
		l.clockOffset.Add(int64(warmUpInterval))
		l.renew(heartbeats)
	}
	l.awaitRounds(l.rounds.Count() + 2)
}

// roundCost returns the mean processor time of a round, over complete rounds.
func (l *leader) roundCost() float64 {
	runtime.GC()
	l.awaitRounds(l.rounds.Count() + 1)
	first, began := l.rounds.Count(), processorTime()
	l.awaitRounds(first + minRounds)
	for processorTime()-began < minSampleTime {
		l.awaitRounds(l.rounds.Count() + 1)
	}
	return float64(processorTime()-began) / float64(l.rounds.Count()-first)
}

// awaitRounds waits until the leader has finished count rounds. It polls rarely, since polling
// takes processor time too.
func (l *leader) awaitRounds(count int64) {
	for l.rounds.Count() < count {
		time.Sleep(10 * time.Millisecond)
	}
}

// measureLeader measures the control leader.
func (r *recorder) measureLeader() {
	r.measure("renewWorker", "leader: a heartbeat of a worker with 7 leases and 6 targets, orders included", "ns", "worker", workerSizes, func(n int) float64 {
		return renewalCost(n, leasesPerWorker)
	})
	r.measure("renewLease", "leader: heartbeats of 1,100 workers, by leases of each", "ns", "lease", leaseSizes, func(n int) float64 {
		return renewalCost(1100, n) / 1100
	})
	r.measure("heapLeader", "leader, state and planner: workers with 7 leases and 6 targets, one job each", "B", "worker", workerSizes, func(n int) float64 {
		return leaderHeap(n, leasesPerWorker)
	})
	r.measure("heapLease", "the same of 1,100 workers, per worker, by leases of each", "B", "lease", leaseSizes[1:], func(n int) float64 {
		return leaderHeap(1100, n) / 1100
	})
	r.measure("round", "leader: a round that places nothing", "ns", "worker", workerSizes, func(n int) float64 {
		l := newLeader(shortPlanInterval)
		defer l.close()
		heartbeats := l.addWorkers(n, leasesPerWorker)
		l.planner.enabled.Store(true)
		l.renew(heartbeats)
		return l.roundCost()
	})
	r.measure("decide", "placer: tasks placed in one round on 3,700 workers", "ns", "task", batchSizes, func(n int) float64 {
		return planningCost(3700, n)
	})
	r.measure("status", "operators' API: the status of workers, jobs and teams", "ns", "worker", workerSizes, func(n int) float64 {
		l := newLeader(time.Hour)
		defer l.close()
		l.addWorkers(n, leasesPerWorker)
		return costPerCall(func() { l.Status() })
	})
}

// leaderHeap returns the heap of a leader with the given numbers of workers and leases of each.
func leaderHeap(workers, leases int) float64 {
	var l *leader
	h := retainedHeap(func() any {
		l = newLeader(shortPlanInterval)
		l.warmUp(l.addWorkers(workers, leases))
		return l
	})
	l.close()
	return h
}

// renewalCost returns the processor time of renewing the leases of all workers once.
func renewalCost(workers, leases int) float64 {
	l := newLeader(time.Hour)
	defer l.close()
	heartbeats := l.addWorkers(workers, leases)
	return costPerCall(func() { l.renew(heartbeats) })
}

// planningCost returns the processor time of a planning round that places all queued tasks on
// partly occupied workers.
func planningCost(workers, queued int) float64 {
	p := place.New(place.Config{Seed: 1})
	now := time.UnixMilli(1e12)
	s := &place.Snapshot{
		Teams: map[string]*place.Team{}, Services: map[string]*apiv1.Service{},
		Policy: place.TailLatencyPolicy(),
	}
	for i := range teams {
		s.Teams[teamName(i)] = &place.Team{Name: teamName(i), Weight: 1}
	}
	for i := range workers {
		s.Workers = append(s.Workers, placeWorker(i, now))
		p.Observe(now, workerHeartbeat(i, leasesPerWorker, targetsPerWorker))
	}
	for i := range queued {
		s.Queued = append(s.Queued, placeTask(workers+i, 0, now))
	}
	return costPerCall(func() {
		now = now.Add(time.Second)
		if got := len(p.Plan(now, s).Grants); got != queued {
			panic(fmt.Sprintf("planner placed %d of %d tasks although there is capacity for all", got, queued))
		}
	})
}

func placeWorker(i int, now time.Time) *place.Worker {
	info := workerInfo(i)
	w := &place.Worker{
		Name: info.Name, Incarnation: info.Incarnation, Region: info.Location.Region,
		AvailabilityZone: info.Location.AvailabilityZone, Rack: info.Location.Rack,
		Capacity: place.FromProto(info.Capacity), Alive: true,
	}
	for n := range targetsPerWorker {
		w.Services = append(w.Services, target(i*targetsPerWorker+n).Service)
	}
	for n := range leasesPerWorker {
		t := placeTask(i, n, now)
		t.State, t.Worker, t.Attempt = apiv1.TaskState_TASK_STATE_GRANTED, info.Name, 2
		w.Running = append(w.Running, t)
	}
	return w
}

func placeTask(i, n int, now time.Time) *place.Task {
	j := job(i, 1)
	return &place.Task{
		ID: taskName(i, n), Job: j.Name, Kind: j.Kind, Team: j.Team, Priority: j.Priority,
		State: apiv1.TaskState_TASK_STATE_QUEUED, Size: place.FromProto(j.Size), ExpectedRun: 26 * time.Second,
		QueuedAt: now.Add(-time.Minute), GrantedAt: now.Add(-10 * time.Second),
	}
}

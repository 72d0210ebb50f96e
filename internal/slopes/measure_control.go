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
	// leaseDuration keeps leases from running out during a measurement.
	leaseDuration = time.Hour
	// shortPlanInterval is the leader's pause after a short round.
	shortPlanInterval = 20 * time.Millisecond
	// minRounds rounds are waited for, and more while they are short.
	minRounds = 10
	// warmUpHeartbeats heartbeats, warmUpInterval apart on the stand-in's clock, fill what
	// the planner keeps of the last minutes.
	warmUpHeartbeats = 30
	warmUpInterval   = 10 * time.Second
	// grantsPerCommand is how many grants the leader puts into one log entry.
	grantsPerCommand = 256
)

// switchedPlanner learns as the real one does, and plans once it is opened.
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

// leader is a control replica that leads a group of one, and its workers.
type leader struct {
	*control.Replica
	// clockOffset is how far the replica's clock is ahead, in nanoseconds.
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

func (l *leader) renew(beats []*apiv1.WorkerHeartbeat) {
	for _, hb := range beats {
		hb.Sequence++
	}
	orders, err := l.RenewLocal(context.Background(), beats)
	must(err)
	for _, o := range orders {
		if !o.Renewed || len(o.Start)+len(o.Stop) > 0 {
			panic("the stand-in's heartbeats agree with the state: " + o.String())
		}
	}
}

// addWorkers registers n workers that run leases each, job i on worker i.
func (l *leader) addWorkers(n, leases int) []*apiv1.WorkerHeartbeat {
	l.propose(submit(1, 0, configuration(n, max(1, leases), (n*targetsPerWorker)/targetsPerService+1, teams)))
	var first, beats []*apiv1.WorkerHeartbeat
	var grants []*apiv1.Grant
	for i := range n {
		hb := workerHeartbeat(i, 0, targetsPerWorker)
		hb.Info, hb.Sequence = workerInfo(i), 1
		first = append(first, hb)
		beats = append(beats, workerHeartbeat(i, leases, targetsPerWorker))
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
	for _, hb := range beats {
		for _, st := range hb.Tasks {
			st.Task.Attempt = 1
		}
	}
	l.renew(beats)
	return beats
}

// warmUp plans and renews until the planner's memory is full.
func (l *leader) warmUp(beats []*apiv1.WorkerHeartbeat) {
	l.planner.enabled.Store(true)
	for range warmUpHeartbeats {
		l.clockOffset.Add(int64(warmUpInterval))
		l.renew(beats)
	}
	l.awaitRounds(l.rounds.Count() + 2)
}

// roundCost is the processor time of a round, the mean over whole ones.
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

// awaitRounds waits for a number of rounds. It looks seldom, since looking takes
// processor time too.
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
		beats := l.addWorkers(n, leasesPerWorker)
		l.planner.enabled.Store(true)
		l.renew(beats)
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

func renewalCost(workers, leases int) float64 {
	l := newLeader(time.Hour)
	defer l.close()
	beats := l.addWorkers(workers, leases)
	return costPerCall(func() { l.renew(beats) })
}

// planningCost is a planning round on half-full workers, queued tasks waiting.
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
			panic(fmt.Sprintf("the stand-in's workers have room for %d tasks, %d placed", queued, got))
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

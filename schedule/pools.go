package schedule

import (
	"maps"
	"slices"
	"time"

	apiv1 "github.com/cairnlift/cairnlift/api/v1"
	"github.com/cairnlift/cairnlift/jobqueue"
)

const (
	// shortageDelay is how long tasks of a pool must find no free capacity, in every round, before
	// a host is moved to the pool. Most bursts end sooner, and a host needs some seconds to start.
	// Each recently refused move to the pool doubles the delay, up to maxShortageDelay.
	shortageDelay    = 5 * time.Second
	maxShortageDelay = 5 * time.Minute
	// idleBeforeLending is how long a worker must have had no runs before its host may be moved to
	// another pool. It is longer than the gaps between jobs of a busy queue.
	idleBeforeLending = 15 * time.Second
	// idleBeforeReturn is how long the worker of a host from standby must have had no runs before
	// the host returns. A start costs more than leaving the host in the pool for a while.
	idleBeforeReturn = time.Minute
	// moverStartDelay is the time from the beginning of a leadership to the first move of a host.
	// After this time the leader knows which workers are reachable and which tasks wait, and the
	// last orders of the previous leader have been answered or abandoned.
	moverStartDelay = 10 * time.Second
	// hostListInterval is the time between two requests for the list of hosts that are made because
	// a pool is short. While no host is available, the platform is not queried in every round.
	hostListInterval = 5 * time.Second
	// minHosts is the number of hosts that a pool with queues keeps.
	minHosts = 1
)

// Mover decides which hosts are moved between pools. It is not safe for concurrent use.
type Mover struct {
	startedAt time.Time
	// checkedAt is the time at which a list of hosts was last checked for moves to begin.
	checkedAt time.Time
	// shortageSince is the time since which tasks of a pool have found no free capacity. needs is
	// the capacity that they need.
	shortageSince map[string]time.Time
	needs         map[string]poolNeed
	// idleSince is the time since which a reachable worker has had no runs.
	idleSince map[string]time.Time
}

// poolNeed is the step with the most tasks that find no free capacity in a pool.
type poolNeed struct {
	step  *apiv1.JobStep
	tasks int
}

// NewMover returns the Mover of a new leader.
func NewMover(now time.Time) *Mover {
	return &Mover{startedAt: now, shortageSince: map[string]time.Time{}, needs: map[string]poolNeed{}, idleSince: map[string]time.Time{}}
}

// Ready reports whether the leader has led for long enough to move hosts.
func (p *Mover) Ready(now time.Time) bool { return now.Sub(p.startedAt) >= moverStartDelay }

// Update records which steps found no worker and which workers have no runs. With a single pool no
// host can be moved, so nothing is recorded.
func (p *Mover) Update(m *jobqueue.Machine, fleet Fleet, waits []UnplacedStep, now time.Time) {
	if len(m.Configuration().Pools) < 2 {
		clear(p.shortageSince)
		clear(p.idleSince)
		return
	}
	p.updateNeeds(m, waits, now)
	idle := map[string]time.Time{}
	for _, w := range m.Workers() {
		if len(w.Runs) > 0 || w.Spec.Draining || !fleet.Reachable(w.Spec.Id) {
			continue
		}
		since, known := p.idleSince[w.Spec.Id]
		if !known {
			since = now
		}
		idle[w.Spec.Id] = since
	}
	p.idleSince = idle
}

func (p *Mover) updateNeeds(m *jobqueue.Machine, waits []UnplacedStep, now time.Time) {
	needs := map[string]poolNeed{}
	for _, w := range waits {
		j := m.Job(w.Step.Job)
		if j == nil || !w.needsHosts() {
			continue
		}
		pool := j.Queue.Pool
		if w.Tasks > needs[pool].tasks {
			needs[pool] = poolNeed{step: j.Occurrences[w.Step.Occurrence].Steps[w.Step.Step].Spec, tasks: w.Tasks}
		}
	}
	since := map[string]time.Time{}
	for pool := range needs {
		since[pool] = now
		if at, known := p.shortageSince[pool]; known {
			since[pool] = at
		}
	}
	p.needs, p.shortageSince = needs, since
}

// needsHosts reports whether another host would help: all workers of the pool are full, or there
// are none. If most of them are unreachable, draining, avoided or in maintenance, they will soon be
// available again or be replaced.
func (w UnplacedStep) needsHosts() bool {
	count := func(reasons ...Reason) int {
		n := 0
		for _, r := range reasons {
			n += w.WorkersByReason[r]
		}
		return n
	}
	temporary := count(ReasonUnreachable, ReasonDraining, ReasonMaintenance, ReasonAvoided, ReasonCordoned)
	full := count(ReasonProcessors, ReasonMemory, ReasonAccelerators, ReasonSpread, ReasonLabel, ReasonTurn)
	others := count(ReasonRefused, ReasonSlow, ReasonInterference, ReasonRuns)
	if count(ReasonNone, ReasonNotAdvised, ReasonLimit, ReasonHeld) > 0 || temporary > full+others {
		return false
	}
	return full > 0 || others == 0
}

// NeedsHostList reports whether to query the list of hosts: a pool is short of hosts, or a host
// from standby is idle.
func (p *Mover) NeedsHostList(m *jobqueue.Machine, now time.Time) bool {
	if !p.Ready(now) || now.Sub(p.checkedAt) < hostListInterval {
		return false
	}
	for pool := range p.shortageSince {
		if p.isShort(m, pool, now) {
			return true
		}
	}
	return slices.ContainsFunc(m.Moves(), func(v jobqueue.Move) bool {
		// The list may have named the worker before its first report contained its start time.
		return p.returnMove(m, v, m.NewestIncarnation(v.Worker), now) != nil
	})
}

// isShort reports whether a pool has lacked hosts for long enough.
func (p *Mover) isShort(m *jobqueue.Machine, pool string, now time.Time) bool {
	delay := shortageDelay
	for _, v := range m.Moves() {
		if v.State == apiv1.MoveState_MOVE_STATE_REFUSED && v.Pool == pool {
			delay = min(2*delay, maxShortageDelay)
		}
	}
	since, known := p.shortageSince[pool]
	return known && now.Sub(since) >= delay
}

// returnMove returns the move of an idle host back to standby, nil if there is none.
func (p *Mover) returnMove(m *jobqueue.Machine, v jobqueue.Move, worker string, now time.Time) *apiv1.MoveHost {
	back := m.ReturnMove(v)
	if back == nil || !p.idleFor(worker, idleBeforeReturn, now) {
		return nil
	}
	back.Worker = worker
	if _, short := p.shortageSince[back.From]; short || !m.MayBeginMove(back) {
		return nil
	}
	return back
}

func (p *Mover) idleFor(worker string, d time.Duration, now time.Time) bool {
	since, known := p.idleSince[worker]
	return known && now.Sub(since) >= d
}

// NextSteps returns the next steps of open moves and the moves that begin, given a complete list of
// hosts.
func (p *Mover) NextSteps(m *jobqueue.Machine, hosts map[string]HostView, now time.Time) []*apiv1.MoveHost {
	var steps []*apiv1.MoveHost
	_, unnamed := hosts[UnnamedHost]
	for _, v := range m.Moves() {
		view, listed := hosts[v.Host]
		if step := nextMoveStep(m, v, view, listed || unnamed); step != nil {
			steps = append(steps, step)
		}
	}
	if p.Ready(now) {
		steps = append(steps, p.beginMoves(m, hosts, now)...)
	}
	return steps
}

// nextMoveStep returns the next step of an open move, nil if there is none.
func nextMoveStep(m *jobqueue.Machine, v jobqueue.Move, view HostView, listed bool) *apiv1.MoveHost {
	step := func(s apiv1.MoveState, worker string) *apiv1.MoveHost {
		return &apiv1.MoveHost{Host: v.Host, Pool: v.Pool, From: v.From, State: s, Worker: worker}
	}
	switch {
	case v.Finished():
		return nil
	case !listed:
		return step(apiv1.MoveState_MOVE_STATE_GONE, v.Worker)
	case m.HasDeparted(view.Worker):
		// The list is older than the log.
		return nil
	case v.InTransit():
		return arrivalStep(m, v, view, step)
	case m.Pool(v.Pool) == nil:
		return step(apiv1.MoveState_MOVE_STATE_CANCELED, v.Worker)
	case !hostUsable(m, view):
		return nil
	case view.Pool == v.Pool:
		return step(apiv1.MoveState_MOVE_STATE_DONE, view.Worker)
	case view.Worker != v.Worker || view.Pool != v.From:
		// The worker was found, or it crashed and came back meanwhile.
		found := step(apiv1.MoveState_MOVE_STATE_LEAVING, view.Worker)
		found.From = view.Pool
		return found
	}
	if mayOrderAway(m, view) {
		return step(apiv1.MoveState_MOVE_STATE_ORDERED, v.Worker)
	}
	return nil
}

// hostUsable reports whether a host is up and has a worker, or is switched off in standby.
func hostUsable(m *jobqueue.Machine, view HostView) bool {
	if m.Pool(view.Pool).GetStandby() {
		return view.Up || view.Down
	}
	return view.Up && view.Worker != ""
}

// arrivalStep returns the next step of a host that was being moved and is listed as usable. An
// outdated list shows the incarnation before the move, which gives no information.
func arrivalStep(m *jobqueue.Machine, v jobqueue.Move, view HostView, step func(apiv1.MoveState, string) *apiv1.MoveHost) *apiv1.MoveHost {
	begun := v.State == apiv1.MoveState_MOVE_STATE_BEGUN
	switch {
	case !hostUsable(m, view):
		return nil
	case m.Pool(view.Pool).GetStandby():
		if begun && view.Pool == v.Pool {
			return step(apiv1.MoveState_MOVE_STATE_DONE, view.Worker)
		}
	case view.Worker == v.Worker:
	case view.Pool == v.Pool:
		return step(apiv1.MoveState_MOVE_STATE_DONE, view.Worker)
	case begun:
		return step(apiv1.MoveState_MOVE_STATE_GONE, view.Worker)
	}
	return nil
}

// beginMoves returns the moves to begin: to pools that are short of hosts, and back to standby.
func (p *Mover) beginMoves(m *jobqueue.Machine, hosts map[string]HostView, now time.Time) []*apiv1.MoveHost {
	var begun []*apiv1.MoveHost
	p.checkedAt = now
	available := jobqueue.MaxConcurrentMoves
	for _, v := range m.Moves() {
		if !v.Finished() {
			available--
		}
	}
	for _, pool := range slices.Sorted(maps.Keys(p.shortageSince)) {
		if !p.isShort(m, pool, now) || m.Pool(pool).GetStandby() {
			continue
		}
		moves := p.movesToward(m, hosts, pool, now, available)
		if len(moves) > 0 {
			// The hosts that are being moved have to arrive before more are moved.
			p.shortageSince[pool] = now
		}
		available -= len(moves)
		begun = append(begun, moves...)
	}
	for _, v := range m.Moves() {
		view := hosts[v.Host]
		back := p.returnMove(m, v, view.Worker, now)
		if available > 0 && back != nil && view.Up && view.Pool == back.From {
			available--
			begun = append(begun, back)
		}
	}
	return begun
}

// movesToward returns the moves to a pool that lacks hosts, at most as many as its waiting tasks
// need and as may begin.
func (p *Mover) movesToward(m *jobqueue.Machine, hosts map[string]HostView, pool string, now time.Time, limit int) []*apiv1.MoveHost {
	var moves []*apiv1.MoveHost
	need := p.needs[pool]
	waiting := need.tasks
	for _, v := range m.Moves() {
		if !v.Finished() && v.Pool == pool {
			waiting -= tasksPerHost(need.step, hosts[v.Host].Capacity)
		}
	}
	remaining := hostsByPool(m, hosts)
	for _, host := range p.sourceHosts(m, hosts, pool, now) {
		view := hosts[host]
		fits := tasksPerHost(need.step, view.Capacity)
		if waiting <= 0 || len(moves) >= limit {
			break
		}
		standby := m.Pool(view.Pool).GetStandby()
		if fits == 0 || !standby && remaining[view.Pool] <= minHosts {
			continue
		}
		move := &apiv1.MoveHost{
			Host: host, Pool: pool, From: view.Pool, State: apiv1.MoveState_MOVE_STATE_LEAVING, Worker: view.Worker,
		}
		if !m.MayBeginMove(move) {
			continue
		}
		remaining[view.Pool]--
		waiting -= fits
		moves = append(moves, move)
	}
	return moves
}

// sourceHosts returns the hosts that may be moved to a pool, those in standby first.
func (p *Mover) sourceHosts(m *jobqueue.Machine, hosts map[string]HostView, pool string, now time.Time) []string {
	label := p.needs[pool].step.GetRequiredLabel()
	var standby, idle []string
	for _, name := range slices.Sorted(maps.Keys(hosts)) {
		view := hosts[name]
		if view.Pool == pool || m.Cordoned(view.AvailabilityZone) || !hostUsable(m, view) || label != "" && !slices.Contains(view.Labels, label) {
			continue
		}
		_, short := p.shortageSince[view.Pool]
		switch {
		case m.Pool(view.Pool).GetStandby():
			standby = append(standby, name)
		case !short && p.idleFor(view.Worker, idleBeforeLending, now):
			idle = append(idle, name)
		}
	}
	return append(standby, idle...)
}

// hostsByPool counts the hosts of each pool that have a worker there and are not being moved.
func hostsByPool(m *jobqueue.Machine, hosts map[string]HostView) map[string]int {
	count := map[string]int{}
	for name, view := range hosts {
		if move, ok := m.MoveOf(name); view.Up && view.Worker != "" && (!ok || move.Finished()) {
			count[view.Pool]++
		}
	}
	return count
}

// tasksPerHost returns how many tasks of a step fit on a host.
func tasksPerHost(step *apiv1.JobStep, capacity jobqueue.Resources) int {
	n := int(step.GetCount())
	if step == nil {
		return 0
	}
	if step.MaxPerWorker > 0 {
		n = min(n, int(step.MaxPerWorker))
	}
	need := jobqueue.Reserved(step)
	for _, r := range [][2]int64{{need.CPUMilli, capacity.CPUMilli}, {need.MemoryMB, capacity.MemoryMB}, {need.Accelerators, capacity.Accelerators}} {
		if r[0] > 0 {
			n = min(n, int(r[1]/r[0]))
		}
	}
	return n
}

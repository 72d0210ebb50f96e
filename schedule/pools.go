package schedule

import (
	"maps"
	"slices"
	"time"

	apiv1 "github.com/cairnlift/cairnlift/api/v1"
	"github.com/cairnlift/cairnlift/jobqueue"
)

const (
	// shortageDelay is how long tasks of a pool have to find no room, at every look,
	// before a host is moved there: most bursts are over sooner, and a host needs some
	// seconds to start. Each lately refused move towards the pool doubles it.
	shortageDelay    = 5 * time.Second
	maxShortageDelay = 5 * time.Minute
	// idleBeforeLending is how long a worker has had nothing to run before its host may be
	// given to another pool: longer than the gaps between jobs of a busy queue.
	idleBeforeLending = 15 * time.Second
	// idleBeforeReturn is how long the worker of a host from standby has nothing to run
	// before the host goes back: a start costs more than to stay for a while.
	idleBeforeReturn = time.Minute
	// moverStartDelay is how long a leader leads before it has hosts moved: it knows by then
	// which workers are in reach and what waits, and the last orders of the leader before
	// it are answered or were given up.
	moverStartDelay = 10 * time.Second
	// hostListInterval is the time between two lists of hosts that are asked for because a pool
	// is short: while no host can be given, the platform is not asked at every look.
	hostListInterval = 5 * time.Second
	// minHosts is how many hosts a pool with queues keeps.
	minHosts = 1
)

// Mover decides which hosts are moved between pools. It is not safe for concurrent use.
type Mover struct {
	startedAt time.Time
	// checkedAt is when moves to begin were last looked for in a list.
	checkedAt time.Time
	// shortageSince says since when tasks of a pool found no room; needs is what they need.
	shortageSince map[string]time.Time
	needs         map[string]poolNeed
	// idleSince says since when a worker in reach has had nothing to run.
	idleSince map[string]time.Time
}

// poolNeed is the step with the most tasks that find no room in a pool.
type poolNeed struct {
	step  *apiv1.JobStep
	tasks int
}

// NewMover returns the mover of a leader that begins to lead.
func NewMover(now time.Time) *Mover {
	return &Mover{startedAt: now, shortageSince: map[string]time.Time{}, needs: map[string]poolNeed{}, idleSince: map[string]time.Time{}}
}

// Ready reports whether the leader has led for long enough to have hosts moved.
func (p *Mover) Ready(now time.Time) bool { return now.Sub(p.startedAt) >= moverStartDelay }

// Update takes in which steps found no worker and which workers have nothing to run.
// With one pool there is nothing to move, and nothing is kept.
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
		pool := m.QueueOf(j).Pool
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

// needsHosts reports whether another host would help: all workers of the pool are full,
// or there are none. When most of them are out of reach, drain or are in maintenance,
// they will soon be back or replaced.
func (w UnplacedStep) needsHosts() bool {
	count := func(reasons ...Reason) int {
		n := 0
		for _, r := range reasons {
			n += w.WorkersByReason[r]
		}
		return n
	}
	passing := count(ReasonUnreachable, ReasonDraining, ReasonMaintenance, ReasonAvoided)
	full := count(ReasonProcessors, ReasonMemory, ReasonAccelerators, ReasonSpread, ReasonLabel)
	others := count(ReasonRefused, ReasonSlow, ReasonInterference)
	if count(ReasonNone, ReasonNotAdvised) > 0 || passing > full+others {
		return false
	}
	return full > 0 || others == 0
}

// NeedsHostList reports whether a list of hosts is worth asking for: a pool is short, or a
// host from standby has nothing to do.
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
		// The list may have named the worker before its first report told its start.
		return p.returnMove(m, v, m.NewestIncarnation(v.Worker), now) != nil
	})
}

// isShort reports whether a pool has lacked hosts for long enough.
func (p *Mover) isShort(m *jobqueue.Machine, pool string, now time.Time) bool {
	patience := shortageDelay
	for _, v := range m.Moves() {
		if v.State == apiv1.MoveState_MOVE_STATE_REFUSED && v.Pool == pool {
			patience = min(2*patience, maxShortageDelay)
		}
	}
	since, known := p.shortageSince[pool]
	return known && now.Sub(since) >= patience
}

// returnMove returns the move that takes an idle host back to standby, nil for none.
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

// NextSteps returns the steps that moves can take and the moves that begin, given a whole
// list of the fleet's hosts.
func (p *Mover) NextSteps(m *jobqueue.Machine, hosts map[string]HostView, now time.Time) []*apiv1.MoveHost {
	var steps []*apiv1.MoveHost
	for _, v := range m.Moves() {
		view, listed := hosts[v.Host]
		if step := nextMoveStep(m, v, view, listed); step != nil {
			steps = append(steps, step)
		}
	}
	if p.Ready(now) {
		steps = append(steps, p.beginMoves(m, hosts, now)...)
	}
	return steps
}

// nextMoveStep returns the step that an open move can take, nil for none.
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
		// It is found, or it crashed and came back meanwhile.
		found := step(apiv1.MoveState_MOVE_STATE_LEAVING, view.Worker)
		found.From = view.Pool
		return found
	}
	if w := m.Worker(v.Worker); w == nil || len(w.Runs) == 0 {
		return step(apiv1.MoveState_MOVE_STATE_ORDERED, v.Worker)
	}
	return nil
}

// hostUsable reports whether a host is up with a worker, or switched off in standby.
func hostUsable(m *jobqueue.Machine, view HostView) bool {
	if m.Pool(view.Pool).GetStandby() {
		return view.Up || view.Down
	}
	return view.Up && view.Worker != ""
}

// arrivalStep returns the step of a host that was on the move and is somewhere else now. A
// list that is late shows the incarnation before the move, which tells nothing.
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

// beginMoves returns the moves to begin: towards pools that are short, and back to standby.
func (p *Mover) beginMoves(m *jobqueue.Machine, hosts map[string]HostView, now time.Time) []*apiv1.MoveHost {
	var begun []*apiv1.MoveHost
	p.checkedAt = now
	room := jobqueue.MaxConcurrentMoves
	for _, v := range m.Moves() {
		if !v.Finished() {
			room--
		}
	}
	for _, pool := range slices.Sorted(maps.Keys(p.shortageSince)) {
		if !p.isShort(m, pool, now) || m.Pool(pool).GetStandby() {
			continue
		}
		moves := p.movesToward(m, hosts, pool, now, room)
		if len(moves) > 0 {
			// What comes is waited for before more is called for.
			p.shortageSince[pool] = now
		}
		room -= len(moves)
		begun = append(begun, moves...)
	}
	for _, v := range m.Moves() {
		view := hosts[v.Host]
		back := p.returnMove(m, v, view.Worker, now)
		if room > 0 && back != nil && view.Up && view.Pool == back.From {
			room--
			begun = append(begun, back)
		}
	}
	return begun
}

// movesToward returns the moves towards a pool that lacks hosts, no more than its waiting tasks
// need.
func (p *Mover) movesToward(m *jobqueue.Machine, hosts map[string]HostView, pool string, now time.Time, room int) []*apiv1.MoveHost {
	var moves []*apiv1.MoveHost
	need := p.needs[pool]
	waiting := need.tasks
	for _, v := range m.Moves() {
		if !v.Finished() && v.Pool == pool {
			waiting -= tasksPerHost(need.step, hosts[v.Host].Capacity)
		}
	}
	left := hostsByPool(m, hosts)
	for _, host := range p.sourceHosts(m, hosts, pool, now) {
		view := hosts[host]
		fits := tasksPerHost(need.step, view.Capacity)
		if waiting <= 0 || len(moves) >= room {
			break
		}
		standby := m.Pool(view.Pool).GetStandby()
		if fits == 0 || !standby && left[view.Pool] <= minHosts {
			continue
		}
		move := &apiv1.MoveHost{
			Host: host, Pool: pool, From: view.Pool, State: apiv1.MoveState_MOVE_STATE_LEAVING, Worker: view.Worker,
		}
		if !m.MayBeginMove(move) {
			continue
		}
		left[view.Pool]--
		waiting -= fits
		moves = append(moves, move)
	}
	return moves
}

// sourceHosts returns the hosts that may be given to a pool, those in standby first.
func (p *Mover) sourceHosts(m *jobqueue.Machine, hosts map[string]HostView, pool string, now time.Time) []string {
	label := p.needs[pool].step.GetRequiredLabel()
	var standby, idle []string
	for _, name := range slices.Sorted(maps.Keys(hosts)) {
		view := hosts[name]
		if view.Pool == pool || !hostUsable(m, view) || label != "" && !slices.Contains(view.Labels, label) {
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

// hostsByPool counts the hosts of each pool that work there and stay.
func hostsByPool(m *jobqueue.Machine, hosts map[string]HostView) map[string]int {
	count := map[string]int{}
	for name, view := range hosts {
		if move, ok := m.MoveOf(name); view.Up && view.Worker != "" && (!ok || move.Finished()) {
			count[view.Pool]++
		}
	}
	return count
}

// tasksPerHost is how many tasks of a step fit on a host.
func tasksPerHost(step *apiv1.JobStep, has jobqueue.Resources) int {
	n := int(step.GetCount())
	if step == nil {
		return 0
	}
	if step.MaxPerWorker > 0 {
		n = min(n, int(step.MaxPerWorker))
	}
	need := jobqueue.Reserved(step)
	for _, r := range [][2]int64{{need.CPUMilli, has.CPUMilli}, {need.MemoryMB, has.MemoryMB}, {need.Accelerators, has.Accelerators}} {
		if r[0] > 0 {
			n = min(n, int(r[1]/r[0]))
		}
	}
	return n
}

package jobqueue

import (
	"maps"
	"slices"

	"google.golang.org/protobuf/proto"

	apiv1 "github.com/cairnlift/cairnlift/api/v1"
)

const (
	// MaxConcurrentMoves bounds the hosts that may be between two pools at once, and the
	// moves that leaders have begun by themselves: whatever a leader believes, no more
	// hosts than this are missing because of moves.
	MaxConcurrentMoves = 4
	// maxOpenMoves bounds the moves that operators have asked for.
	maxOpenMoves = 64
	// moveCooldownMs is how long a host stays where it is after a move, in milliseconds of
	// the log's time. A start takes seconds, and a call to the platform that got no
	// answer is carried out within some ten: a host that is passed on sooner is of use
	// to nobody, and may be moved back by the late call.
	moveCooldownMs = 30 * 1000
)

// Move is the newest move of a host to another pool.
type Move struct{ *apiv1.HostMove }

// Finished reports whether the move is done or given up.
func (v Move) Finished() bool {
	return v.State != apiv1.MoveState_MOVE_STATE_LEAVING && !v.InTransit()
}

// InTransit reports whether the host is between two pools, or may be.
func (v Move) InTransit() bool {
	return v.State == apiv1.MoveState_MOVE_STATE_ORDERED || v.State == apiv1.MoveState_MOVE_STATE_BEGUN
}

// MoveOf returns the newest move of a host; ok is false when it never moved.
func (m *Machine) MoveOf(host string) (move Move, ok bool) {
	v := m.moves[host]
	return Move{v}, v != nil
}

// Moves returns the newest move of each host, ordered by host.
func (m *Machine) Moves() []Move {
	moves := make([]Move, 0, len(m.moves))
	for _, host := range slices.Sorted(maps.Keys(m.moves)) {
		moves = append(moves, Move{m.moves[host]})
	}
	return moves
}

// HostOrders counts the hosts that were ordered away, for maintenance or to another
// pool. Orders to the platform carry it in their fencing token.
func (m *Machine) HostOrders() uint64 { return m.hostOrders }

// HasDeparted reports whether an incarnation is known to be gone for good. A list of hosts
// that names it is older than the log.
func (m *Machine) HasDeparted(worker string) bool {
	w := m.workers.get(worker)
	return w != nil && w.Departed
}

// countMoves counts the moves that match.
func (m *Machine) countMoves(match func(Move) bool) int {
	n := 0
	for _, v := range m.moves {
		if match(Move{v}) {
			n++
		}
	}
	return n
}

// requestMove takes in that an operator wants a host in a pool. The same request
// again changes nothing: operators send again when an acknowledgement was lost.
func (m *Machine) requestMove(r *apiv1.RequestMove) apiv1.JobOutcome {
	if r.GetHost() == "" || r.GetPool() == "" {
		return apiv1.JobOutcome_JOB_OUTCOME_INVALID
	}
	if m.Pool(r.Pool) == nil {
		return apiv1.JobOutcome_JOB_OUTCOME_NO_POOL
	}
	if last, ok := m.MoveOf(r.Host); ok && !last.Finished() && last.Pool == r.Pool {
		return apiv1.JobOutcome_JOB_OUTCOME_OK
	}
	if !m.moveCooldownOver(r.Host) || m.inWave(r.Host) {
		return apiv1.JobOutcome_JOB_OUTCOME_CONFLICT
	}
	m.pruneMoves()
	if m.countMoves(func(v Move) bool { return !v.Finished() }) >= maxOpenMoves {
		return apiv1.JobOutcome_JOB_OUTCOME_FULL
	}
	m.beginMove(&apiv1.HostMove{Host: r.Host, Pool: r.Pool, Requested: true})
	return apiv1.JobOutcome_JOB_OUTCOME_OK
}

func (m *Machine) beginMove(v *apiv1.HostMove) {
	v.State, v.ChangedMs = apiv1.MoveState_MOVE_STATE_LEAVING, m.nowMs
	m.moves[v.Host] = v
	m.rebuildLeaving()
}

// moveCooldownOver reports whether a host has no open move, and had none for a while.
func (m *Machine) moveCooldownOver(host string) bool {
	last, ok := m.MoveOf(host)
	return !ok || last.Finished() && last.ChangedMs+moveCooldownMs <= m.nowMs
}

// inWave reports whether a host has yet to come through a maintenance wave.
func (m *Machine) inWave(host string) bool {
	for _, w := range m.waves {
		if h := w.host(host); h != nil && !h.Finished() {
			return true
		}
	}
	return false
}

// ReturnMove returns the move that takes a host back to the standby pool that a leader
// took it from, nil for other hosts.
func (m *Machine) ReturnMove(v Move) *apiv1.MoveHost {
	back := &apiv1.MoveHost{Host: v.Host, Pool: v.From, From: v.Pool, State: apiv1.MoveState_MOVE_STATE_LEAVING, Worker: v.Worker}
	if v.State == apiv1.MoveState_MOVE_STATE_REFUSED {
		// It was on its way back, and is still where it was.
		back.Pool, back.From = v.Pool, v.From
	} else if v.State != apiv1.MoveState_MOVE_STATE_DONE {
		return nil
	}
	if v.Requested || !m.Pool(back.Pool).GetStandby() {
		return nil
	}
	return back
}

// pruneMoves drops moves that were over long ago. Hosts that came from standby are
// remembered, since they go back there.
func (m *Machine) pruneMoves() {
	maps.DeleteFunc(m.moves, func(_ string, v *apiv1.HostMove) bool {
		return Move{v}.Finished() && m.ReturnMove(Move{v}) == nil && v.ChangedMs+retentionMs <= m.nowMs
	})
}

// MayBeginMove judges a move that a leader begins by itself. Nothing may run on the host:
// needs of another pool are no reason to end work.
func (m *Machine) MayBeginMove(c *apiv1.MoveHost) bool {
	if c.Pool == c.From || m.Pool(c.Pool) == nil || m.Pool(c.From) == nil || !m.moveCooldownOver(c.Host) || m.inWave(c.Host) {
		return false
	}
	if last, ok := m.MoveOf(c.Host); ok && last.State == apiv1.MoveState_MOVE_STATE_REFUSED &&
		last.Pool == c.Pool && last.ChangedMs+retentionMs > m.nowMs {
		return false
	}
	if m.HasDeparted(c.Worker) || !m.idle(c.Worker) {
		return false
	}
	return m.countMoves(func(v Move) bool { return !v.Finished() && !v.Requested }) < MaxConcurrentMoves
}

// idle reports whether nothing runs on a worker as far as the log knows.
func (m *Machine) idle(worker string) bool {
	w := m.Worker(worker)
	return w == nil || len(w.Runs) == 0
}

// advanceMove takes the move of a host one step on. The order that moves it is judged
// here, whatever the leader believed: nothing runs there, and few hosts are missing.
func (m *Machine) advanceMove(c *apiv1.MoveHost, leaderTerm uint64) apiv1.JobOutcome {
	if c.Term != leaderTerm || c.Host == "" {
		return apiv1.JobOutcome_JOB_OUTCOME_STALE
	}
	v, ok := m.MoveOf(c.Host)
	if c.State == apiv1.MoveState_MOVE_STATE_LEAVING && (!ok || v.Finished()) {
		if !m.MayBeginMove(c) {
			return apiv1.JobOutcome_JOB_OUTCOME_STALE
		}
		m.pruneMoves()
		m.beginMove(&apiv1.HostMove{Host: c.Host, Pool: c.Pool, From: c.From, Worker: c.Worker})
		return apiv1.JobOutcome_JOB_OUTCOME_OK
	}
	if !ok || v.Pool != c.Pool || !m.mayAdvanceMove(v, c) {
		return apiv1.JobOutcome_JOB_OUTCOME_STALE
	}
	if c.State == apiv1.MoveState_MOVE_STATE_ORDERED {
		m.hostOrders++
		v.Order = m.hostOrders
	}
	if before := m.Worker(v.Worker); c.State == apiv1.MoveState_MOVE_STATE_DONE && before != nil && v.Worker != c.Worker {
		// Nobody else tells that it is gone, if its host is switched off now.
		m.endIncarnation(before, nil)
	}
	v.State, v.From, v.Worker, v.ChangedMs = c.State, c.From, c.Worker, m.nowMs
	m.rebuildLeaving()
	return apiv1.JobOutcome_JOB_OUTCOME_OK
}

func (m *Machine) mayAdvanceMove(v Move, c *apiv1.MoveHost) bool {
	switch c.State {
	case apiv1.MoveState_MOVE_STATE_LEAVING:
		return v.State == c.State && !m.HasDeparted(c.Worker)
	case apiv1.MoveState_MOVE_STATE_ORDERED:
		between := m.countMoves(Move.InTransit)
		return v.State == apiv1.MoveState_MOVE_STATE_LEAVING && v.Worker == c.Worker && m.Pool(v.Pool) != nil &&
			between < MaxConcurrentMoves && m.idle(v.Worker)
	case apiv1.MoveState_MOVE_STATE_BEGUN:
		return v.State == apiv1.MoveState_MOVE_STATE_ORDERED
	case apiv1.MoveState_MOVE_STATE_DONE, apiv1.MoveState_MOVE_STATE_GONE:
		return !v.Finished()
	case apiv1.MoveState_MOVE_STATE_REFUSED:
		return v.State == apiv1.MoveState_MOVE_STATE_ORDERED
	case apiv1.MoveState_MOVE_STATE_CANCELED:
		return v.State == apiv1.MoveState_MOVE_STATE_LEAVING
	}
	return false
}

// updateMoveWorker takes in that a new incarnation appeared where one on the move was: in
// the pool it was to go to, the move is done; in its old pool, the order may still be
// carried out. What goes wrong without it: a worker that crashes while its host's order
// is on its way comes back, gets work, and the late order ends it.
func (m *Machine) updateMoveWorker(w *Worker) {
	for _, v := range m.moves {
		before := m.workers.get(v.Worker)
		if before == nil || before.Spec.Host != w.Spec.Host {
			continue
		}
		switch {
		case Move{v}.InTransit() && w.Spec.Pool == v.Pool:
			v.State, v.Worker, v.ChangedMs = apiv1.MoveState_MOVE_STATE_DONE, w.Spec.Id, m.nowMs
		case v.State != apiv1.MoveState_MOVE_STATE_BEGUN:
			v.Worker = w.Spec.Id
		}
	}
	m.rebuildLeaving()
}

func (m *Machine) snapshotMoves() []*apiv1.HostMove {
	var moves []*apiv1.HostMove
	for _, v := range m.Moves() {
		moves = append(moves, proto.CloneOf(v.HostMove))
	}
	return moves
}

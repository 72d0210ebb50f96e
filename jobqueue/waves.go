package jobqueue

import (
	"maps"
	"slices"

	"github.com/cockroachdb/errors"

	apiv1 "github.com/cairnlift/cairnlift/api/v1"
)

const (
	// maxWaveHosts bounds the hosts of one wave.
	maxWaveHosts = 10_000
	// maxWaves bounds the stored waves; beyond it, the oldest finished wave is forgotten.
	maxWaves = 200
)

// Wave is a maintenance wave. Each of its hosts is drained, goes down for maintenance and comes
// back, with a limited number of hosts down at once.
type Wave struct {
	Spec  *apiv1.MaintenanceWave
	Hosts []*WaveHost
}

// WaveHost is the progress of one host in a wave.
type WaveHost struct {
	Name  string
	State apiv1.MaintenanceState
	// Worker is the incarnation of the host's worker before the maintenance.
	Worker string
}

// Finished reports whether the wave has finished with the host: its maintenance is done, or it is
// gone.
func (h *WaveHost) Finished() bool {
	return h.State == apiv1.MaintenanceState_MAINTENANCE_STATE_DONE ||
		h.State == apiv1.MaintenanceState_MAINTENANCE_STATE_GONE
}

// Down reports whether the host is, or may be, down for its maintenance.
func (h *WaveHost) Down() bool {
	return h.State == apiv1.MaintenanceState_MAINTENANCE_STATE_ORDERED ||
		h.State == apiv1.MaintenanceState_MAINTENANCE_STATE_BEGUN
}

// Leaving reports whether the host's worker must get no more work.
func (h *WaveHost) Leaving() bool {
	return h.Down() || h.State == apiv1.MaintenanceState_MAINTENANCE_STATE_LEAVING
}

// Finished reports whether the wave has finished with all its hosts.
func (w *Wave) Finished() bool {
	return !slices.ContainsFunc(w.Hosts, func(h *WaveHost) bool { return !h.Finished() })
}

// FreeCapacity returns how many more hosts may go down now.
func (w *Wave) FreeCapacity() int {
	free := int(w.Spec.Cap)
	for _, h := range w.Hosts {
		if h.Down() {
			free--
		}
	}
	return free
}

func (w *Wave) host(name string) *WaveHost {
	for _, h := range w.Hosts {
		if h.Name == name {
			return h
		}
	}
	return nil
}

// Record returns the wave as a message.
func (w *Wave) Record() *apiv1.WaveRecord {
	r := &apiv1.WaveRecord{Wave: w.Spec}
	for _, h := range w.Hosts {
		r.Hosts = append(r.Hosts, &apiv1.WaveHostRecord{Host: h.Name, State: h.State, Worker: h.Worker})
	}
	return r
}

// ValidateWave returns an error that describes the first problem of a wave, or nil if it is valid.
func ValidateWave(w *apiv1.MaintenanceWave) error {
	switch {
	case w.GetNumber() == 0:
		return errors.New("wave number must be greater than 0")
	case len(w.Hosts) == 0 || len(w.Hosts) > maxWaveHosts:
		return errors.Newf("a wave must have 1 to %d hosts", maxWaveHosts)
	case w.Cap == 0:
		return errors.New("wave cap must be greater than 0")
	case w.DurationMs <= 0:
		return errors.New("wave duration must be greater than 0")
	}
	listed := map[string]bool{}
	for _, h := range w.Hosts {
		if h == "" || listed[h] {
			return errors.Newf("host %q is empty or listed twice", h)
		}
		listed[h] = true
	}
	return nil
}

// putWave adds a wave. Waves are identified by number, and a repeated one has no effect: operators
// retry when an acknowledgement is lost.
func (m *Machine) putWave(spec *apiv1.MaintenanceWave) apiv1.JobOutcome {
	if ValidateWave(spec) != nil {
		return apiv1.JobOutcome_JOB_OUTCOME_INVALID
	}
	if m.waves[spec.Number] != nil {
		return apiv1.JobOutcome_JOB_OUTCOME_OK
	}
	if !m.evictFinishedWave() {
		return apiv1.JobOutcome_JOB_OUTCOME_FULL
	}
	w := &Wave{Spec: spec}
	for _, h := range spec.Hosts {
		w.Hosts = append(w.Hosts, &WaveHost{Name: h})
	}
	m.waves[spec.Number] = w
	return apiv1.JobOutcome_JOB_OUTCOME_OK
}

// evictFinishedWave forgets the oldest finished wave if there are maxWaves. It reports whether
// another wave can be stored.
func (m *Machine) evictFinishedWave() bool {
	if len(m.waves) < maxWaves {
		return true
	}
	for _, w := range m.Waves() {
		if w.Finished() {
			delete(m.waves, w.Spec.Number)
			return true
		}
	}
	return false
}

// advanceWaveHost applies the next state of a host in a wave. Going down is validated here,
// regardless of what the leader assumed: no more hosts than the cap allows may be down, and nothing
// may run on the host.
func (m *Machine) advanceWaveHost(c *apiv1.MaintainHost, leaderTerm uint64) apiv1.JobOutcome {
	w := m.waves[c.Wave]
	if c.Term != leaderTerm || w == nil {
		return apiv1.JobOutcome_JOB_OUTCOME_STALE
	}
	h := w.host(c.Host)
	if h == nil || !m.mayAdvanceWaveHost(w, h, c) {
		return apiv1.JobOutcome_JOB_OUTCOME_STALE
	}
	if c.State == apiv1.MaintenanceState_MAINTENANCE_STATE_ORDERED {
		m.hostOrders++
	}
	h.State, h.Worker = c.State, c.Worker
	m.rebuildLeaving()
	return apiv1.JobOutcome_JOB_OUTCOME_OK
}

func (m *Machine) mayAdvanceWaveHost(w *Wave, h *WaveHost, c *apiv1.MaintainHost) bool {
	if move, ok := m.MoveOf(c.Host); ok && !move.Finished() && !h.Down() && c.State != apiv1.MaintenanceState_MAINTENANCE_STATE_GONE {
		// Only one order per host at a time: the maintenance waits until the move is finished.
		return false
	}
	switch c.State {
	case apiv1.MaintenanceState_MAINTENANCE_STATE_LEAVING:
		return !h.Finished() && !h.Down()
	case apiv1.MaintenanceState_MAINTENANCE_STATE_ORDERED:
		return h.Leaving() && !h.Down() && w.FreeCapacity() > 0 && m.idle(h.Worker) && m.idle(m.successor(h.Worker))
	case apiv1.MaintenanceState_MAINTENANCE_STATE_BEGUN:
		return h.State == apiv1.MaintenanceState_MAINTENANCE_STATE_ORDERED
	case apiv1.MaintenanceState_MAINTENANCE_STATE_DONE:
		return h.State == apiv1.MaintenanceState_MAINTENANCE_STATE_BEGUN
	case apiv1.MaintenanceState_MAINTENANCE_STATE_GONE:
		return !h.Finished()
	}
	return false
}

// successor returns the name of the worker that counts on a worker's host instead of it, empty if there is none.
func (m *Machine) successor(worker string) string {
	before := m.workers.get(worker)
	if before == nil || m.current[before.Spec.Host] == worker {
		return ""
	}
	return m.current[before.Spec.Host]
}

// rebuildLeaving recomputes which workers must get no more work. As with a move, a worker that comes back while
// an upkeep is ordered is one of them, since the order may not have been carried out yet.
func (m *Machine) rebuildLeaving() {
	m.leaving = map[string]bool{}
	for _, w := range m.waves {
		for _, h := range w.Hosts {
			if h.Leaving() {
				m.leaving[h.Worker] = true
			}
			if next := m.successor(h.Worker); next != "" && h.State == apiv1.MaintenanceState_MAINTENANCE_STATE_ORDERED {
				m.leaving[next] = true
			}
		}
	}
	for _, v := range m.moves {
		if !(Move{v}).Finished() {
			m.leaving[v.Worker] = true
		}
	}
}

// Leaving reports whether a worker is drained for its host's maintenance or move. An order may name
// the worker by its ID alone, if the list of hosts included it before its first report. Ignoring
// such an order would let the worker get work that the order, executed late, ends. The log itself
// compares whole names, as it did before workers reported start times.
func (m *Machine) Leaving(worker string) bool {
	return m.leaving[worker] || m.leaving[ParseIncarnation(worker).WorkerID]
}

// Waves returns the waves, ordered by number.
func (m *Machine) Waves() []*Wave {
	waves := make([]*Wave, 0, len(m.waves))
	for _, number := range slices.Sorted(maps.Keys(m.waves)) {
		waves = append(waves, m.waves[number])
	}
	return waves
}

// Wave returns the wave with the given number, or nil if there is none.
func (m *Machine) Wave(number uint64) *Wave { return m.waves[number] }

func (m *Machine) restoreWave(r *apiv1.WaveRecord) {
	w := &Wave{Spec: r.Wave}
	for _, h := range r.Hosts {
		w.Hosts = append(w.Hosts, &WaveHost{Name: h.Host, State: h.State, Worker: h.Worker})
	}
	m.waves[w.Spec.GetNumber()] = w
}

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
	// maxWaves bounds the waves that are remembered; the oldest that are over go.
	maxWaves = 200
)

// Wave is a maintenance wave: each of its hosts is emptied, goes down for its
// maintenance and comes back, a few at a time.
type Wave struct {
	Spec  *apiv1.MaintenanceWave
	Hosts []*WaveHost
}

// WaveHost is how far a host of a wave is.
type WaveHost struct {
	Name  string
	State apiv1.MaintenanceState
	// Worker is the incarnation of its worker before the maintenance.
	Worker string
}

// Finished reports whether the host's turn is over.
func (h *WaveHost) Finished() bool {
	return h.State == apiv1.MaintenanceState_MAINTENANCE_STATE_DONE ||
		h.State == apiv1.MaintenanceState_MAINTENANCE_STATE_GONE
}

// Down reports whether the host is down for its maintenance, or may be.
func (h *WaveHost) Down() bool {
	return h.State == apiv1.MaintenanceState_MAINTENANCE_STATE_ORDERED ||
		h.State == apiv1.MaintenanceState_MAINTENANCE_STATE_BEGUN
}

// Leaving reports whether the host's worker is to get no more work.
func (h *WaveHost) Leaving() bool {
	return h.Down() || h.State == apiv1.MaintenanceState_MAINTENANCE_STATE_LEAVING
}

// Finished reports whether all hosts have had their maintenance, or have left.
func (w *Wave) Finished() bool {
	return !slices.ContainsFunc(w.Hosts, func(h *WaveHost) bool { return !h.Finished() })
}

// FreeCapacity is how many more hosts may go down now.
func (w *Wave) FreeCapacity() int {
	room := int(w.Spec.Cap)
	for _, h := range w.Hosts {
		if h.Down() {
			room--
		}
	}
	return room
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

// ValidateWave returns what is wrong with a wave, nil when nothing is.
func ValidateWave(w *apiv1.MaintenanceWave) error {
	switch {
	case w.GetNumber() == 0:
		return errors.New("a wave needs a number above 0")
	case len(w.Hosts) == 0 || len(w.Hosts) > maxWaveHosts:
		return errors.Newf("a wave needs 1 to %d hosts", maxWaveHosts)
	case w.Cap == 0:
		return errors.New("a wave needs a cap above 0")
	case w.DurationMs <= 0:
		return errors.New("a wave needs a duration above 0")
	}
	named := map[string]bool{}
	for _, h := range w.Hosts {
		if h == "" || named[h] {
			return errors.Newf("host %q is empty or named twice", h)
		}
		named[h] = true
	}
	return nil
}

// putWave takes a wave in. The same number is the same wave: operators send again
// when an acknowledgement was lost.
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

// evictFinishedWave forgets the oldest wave that is over if there are too many.
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

// advanceWaveHost takes a host of a wave one step on. Going down is judged here, whatever
// the leader believed: no more hosts than the cap allows, and nothing runs there.
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
		// One order at a time: the host's turn comes when it is where it goes to.
		return false
	}
	switch c.State {
	case apiv1.MaintenanceState_MAINTENANCE_STATE_LEAVING:
		return !h.Finished() && !h.Down()
	case apiv1.MaintenanceState_MAINTENANCE_STATE_ORDERED:
		worker := m.Worker(h.Worker)
		return h.Leaving() && !h.Down() && w.FreeCapacity() > 0 && (worker == nil || len(worker.Runs) == 0)
	case apiv1.MaintenanceState_MAINTENANCE_STATE_BEGUN:
		return h.State == apiv1.MaintenanceState_MAINTENANCE_STATE_ORDERED
	case apiv1.MaintenanceState_MAINTENANCE_STATE_DONE:
		return h.State == apiv1.MaintenanceState_MAINTENANCE_STATE_BEGUN
	case apiv1.MaintenanceState_MAINTENANCE_STATE_GONE:
		return !h.Finished()
	}
	return false
}

// rebuildLeaving notes which workers get no more work.
func (m *Machine) rebuildLeaving() {
	m.leaving = map[string]bool{}
	for _, w := range m.waves {
		for _, h := range w.Hosts {
			if h.Leaving() {
				m.leaving[h.Worker] = true
			}
		}
	}
	for _, v := range m.moves {
		if !(Move{v}).Finished() {
			m.leaving[v.Worker] = true
		}
	}
}

// Leaving reports whether a worker is emptied for its host's maintenance or move. An order
// may name it by its id alone, where the list of hosts showed it before its first report.
// What goes wrong without that: it gets work, and the order, carried out late, ends it. The
// log itself compares whole names, as it did before starts were told.
func (m *Machine) Leaving(worker string) bool {
	return m.leaving[worker] || m.leaving[ParseIncarnation(worker).WorkerID]
}

// Waves returns the waves by number.
func (m *Machine) Waves() []*Wave {
	waves := make([]*Wave, 0, len(m.waves))
	for _, number := range slices.Sorted(maps.Keys(m.waves)) {
		waves = append(waves, m.waves[number])
	}
	return waves
}

// Wave returns a wave, nil when there is none of that number.
func (m *Machine) Wave(number uint64) *Wave { return m.waves[number] }

func (m *Machine) restoreWave(r *apiv1.WaveRecord) {
	w := &Wave{Spec: r.Wave}
	for _, h := range r.Hosts {
		w.Hosts = append(w.Hosts, &WaveHost{Name: h.Host, State: h.State, Worker: h.Worker})
	}
	m.waves[w.Spec.GetNumber()] = w
}

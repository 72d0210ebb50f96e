package schedule

import (
	apiv1 "github.com/cairnlift/cairnlift/api/v1"
	"github.com/cairnlift/cairnlift/jobqueue"
)

// HostView is a host as listed by the platform.
type HostView struct {
	// Worker is the incarnation of the worker on the host, empty while there is none.
	Worker string
	// Pool is the pool of workers that the host belongs to.
	Pool string
	// AvailabilityZone is that of the host.
	AvailabilityZone string
	// Up is set unless the host is down, in maintenance or being moved.
	Up bool
	// Down is set for a host that is switched off or lost.
	Down bool
	// Capacity and Labels are those of the host's worker, or of the worker that it would run.
	Capacity jobqueue.Resources
	Labels   []string
	// Others are further entries of the host that differ. SettleEntries decides which one holds.
	Others []HostView
}

// UnnamedHost is the key in a list for hosts whose names can't be read. While it is present, no
// host is considered missing from the list. Otherwise a host whose entry is corrupt would count as
// gone: its wave would finish without the maintenance of that host, and its move would be forgotten.
const UnnamedHost = ""

// NextMaintenance returns the next steps of the hosts of all waves, given a complete list of hosts.
func NextMaintenance(m *jobqueue.Machine, hosts map[string]HostView) []*apiv1.MaintainHost {
	var steps []*apiv1.MaintainHost
	for _, w := range m.Waves() {
		available := w.FreeCapacity()
		_, unnamed := hosts[UnnamedHost]
		for _, h := range w.Hosts {
			if h.Leaving() && !h.Down() {
				available--
			}
		}
		for _, h := range w.Hosts {
			if move, ok := m.MoveOf(h.Name); ok && !move.Finished() {
				// The step follows when the host is in the pool that it moves to.
				continue
			}
			view, listed := hosts[h.Name]
			step := nextMaintenanceStep(m, h, view, listed || unnamed, available > 0)
			if step == nil {
				continue
			}
			if !h.Leaving() && step.State == apiv1.MaintenanceState_MAINTENANCE_STATE_LEAVING {
				available--
			}
			step.Wave, step.Host = w.Spec.Number, h.Name
			steps = append(steps, step)
		}
	}
	return steps
}

// nextMaintenanceStep returns the next step of a host, nil if there is none. mayLeave is set if the
// wave permits one more host to leave.
func nextMaintenanceStep(m *jobqueue.Machine, h *jobqueue.WaveHost, view HostView, listed, mayLeave bool) *apiv1.MaintainHost {
	step := func(s apiv1.MaintenanceState, worker string) *apiv1.MaintainHost {
		return &apiv1.MaintainHost{State: s, Worker: worker}
	}
	if !listed && !h.Finished() {
		return step(apiv1.MaintenanceState_MAINTENANCE_STATE_GONE, h.Worker)
	}
	if !view.Up || view.Worker == "" {
		return nil
	}
	switch h.State {
	case apiv1.MaintenanceState_MAINTENANCE_STATE_WAITING:
		if mayLeave {
			return step(apiv1.MaintenanceState_MAINTENANCE_STATE_LEAVING, view.Worker)
		}
	case apiv1.MaintenanceState_MAINTENANCE_STATE_LEAVING:
		if view.Worker != h.Worker {
			// The worker crashed and came back meanwhile.
			return step(apiv1.MaintenanceState_MAINTENANCE_STATE_LEAVING, view.Worker)
		}
		if mayOrderAway(m, view) {
			return step(apiv1.MaintenanceState_MAINTENANCE_STATE_ORDERED, h.Worker)
		}
	case apiv1.MaintenanceState_MAINTENANCE_STATE_BEGUN:
		if view.Worker != h.Worker {
			return step(apiv1.MaintenanceState_MAINTENANCE_STATE_DONE, h.Worker)
		}
	}
	return nil
}

// mayOrderAway reports whether a host may be ordered away for its maintenance or move: nothing runs there. Of a
// worker of a configured pool that no agent has reported yet, the log does not know the host. If it ended before
// its first report, nothing would bar its successor from work, which the order would end.
func mayOrderAway(m *jobqueue.Machine, view HostView) bool {
	if w := m.Worker(view.Worker); w != nil {
		return len(w.Runs) == 0
	}
	pool := m.Pool(view.Pool)
	return view.Worker == "" || m.HasDeparted(view.Worker) || pool == nil || pool.Standby
}

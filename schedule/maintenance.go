package schedule

import (
	apiv1 "github.com/cairnlift/cairnlift/api/v1"
	"github.com/cairnlift/cairnlift/jobqueue"
)

// HostView is a host as the platform lists it.
type HostView struct {
	// Worker is the incarnation of its worker, empty while there is none.
	Worker string
	// Pool is the pool of workers that the host belongs to.
	Pool string
	// Up is set unless the host is down, in maintenance or on the move.
	Up bool
	// Down is set for a host that is switched off or lost.
	Down bool
	// Capacity and Labels are what its worker has, or would have.
	Capacity jobqueue.Resources
	Labels   []string
}

// UnnamedHost stands in a list for hosts whose names can't be read. While there are any,
// no host is known to be missing from the list. What goes wrong without it: a host whose
// entry is spoilt counts as gone, and its wave is called done without its maintenance.
const UnnamedHost = ""

// NextMaintenance returns the steps that hosts of waves can take, given a whole list
// of the fleet's hosts.
func NextMaintenance(m *jobqueue.Machine, hosts map[string]HostView) []*apiv1.MaintainHost {
	var steps []*apiv1.MaintainHost
	for _, w := range m.Waves() {
		room := w.FreeCapacity()
		_, unnamed := hosts[UnnamedHost]
		for _, h := range w.Hosts {
			if h.Leaving() && !h.Down() {
				room--
			}
		}
		for _, h := range w.Hosts {
			if move, ok := m.MoveOf(h.Name); ok && !move.Finished() {
				// Its turn comes when it is in the pool that it goes to.
				continue
			}
			view, listed := hosts[h.Name]
			step := nextMaintenanceStep(m, h, view, listed || unnamed, room > 0)
			if step == nil {
				continue
			}
			if !h.Leaving() && step.State == apiv1.MaintenanceState_MAINTENANCE_STATE_LEAVING {
				room--
			}
			step.Wave, step.Host = w.Spec.Number, h.Name
			steps = append(steps, step)
		}
	}
	return steps
}

// nextMaintenanceStep returns the step that a host can take, nil for none.
func nextMaintenanceStep(m *jobqueue.Machine, h *jobqueue.WaveHost, view HostView, listed, room bool) *apiv1.MaintainHost {
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
		if room {
			return step(apiv1.MaintenanceState_MAINTENANCE_STATE_LEAVING, view.Worker)
		}
	case apiv1.MaintenanceState_MAINTENANCE_STATE_LEAVING:
		if view.Worker != h.Worker {
			// It crashed and came back meanwhile.
			return step(apiv1.MaintenanceState_MAINTENANCE_STATE_LEAVING, view.Worker)
		}
		if w := m.Worker(h.Worker); w == nil || len(w.Runs) == 0 {
			return step(apiv1.MaintenanceState_MAINTENANCE_STATE_ORDERED, h.Worker)
		}
	case apiv1.MaintenanceState_MAINTENANCE_STATE_BEGUN:
		if view.Worker != h.Worker {
			return step(apiv1.MaintenanceState_MAINTENANCE_STATE_DONE, h.Worker)
		}
	}
	return nil
}

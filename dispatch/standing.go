package dispatch

import "github.com/cairnlift/cairnlift/state"

// Standing sums up what the leader sees of workers and tasks.
type Standing struct {
	// Workers are known and may run tasks; Reachable are those of them that an order
	// would reach soon.
	Workers, Reachable int
	// Waiting is the number of tasks that found no worker in the last round.
	Waiting int
}

// Standing returns zeros where this replica does not lead.
func (d *Dispatcher) Standing() Standing {
	d.mu.Lock()
	defer d.mu.Unlock()
	l := d.ready()
	if l == nil {
		return Standing{}
	}
	var s Standing
	now := d.opts.Now()
	d.opts.Replica.ReadState(func(m *state.Machine) {
		for _, w := range m.CallerJobs().Workers() {
			s.Workers++
			if l.leases.reachable(w.Spec.Id, now) {
				s.Reachable++
			}
		}
	})
	for _, w := range l.waits {
		s.Waiting += w.Tasks
	}
	return s
}

package dispatch

import "github.com/cairnlift/cairnlift/state"

// Status sums up what the leader sees of workers and tasks.
type Status struct {
	// Workers are known and may run tasks; Reachable are those of them that an order
	// would reach soon.
	Workers, Reachable int
	// Waiting is the number of tasks that found no worker in the last round.
	Waiting int
}

// Status returns zeros where this replica does not lead.
func (d *Dispatcher) Status() Status {
	d.mu.Lock()
	defer d.mu.Unlock()
	l := d.readyLeader()
	if l == nil {
		return Status{}
	}
	var s Status
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

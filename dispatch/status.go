package dispatch

import "github.com/cairnlift/cairnlift/state"

// Status summarizes the workers and tasks as the leader sees them.
type Status struct {
	// Workers is the number of workers that may run tasks, Reachable the number of those that an
	// order would reach soon.
	Workers, Reachable int
	// Waiting is the number of tasks for which the last round found no worker.
	Waiting int
}

// Status returns a summary of workers and tasks, all zero on a replica that does not lead.
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

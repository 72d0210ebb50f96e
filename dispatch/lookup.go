package dispatch

import (
	"context"

	"github.com/cairnlift/cairnlift/control"
	"github.com/cairnlift/cairnlift/state"
)

// LookupSubmissions implements control.LookupFunc. It tells an entry whether it may refuse jobs that it does
// not send to this leader.
func (d *Dispatcher) LookupSubmissions(ctx context.Context, keys []control.SubmissionKey) ([]control.SubmissionState, error) {
	term, _ := d.opts.Replica.Leading()
	if err := d.refuser.confirmLeadership(ctx, term); err != nil {
		return nil, err
	}
	states := make([]control.SubmissionState, len(keys))
	// A submission that ends between the two steps is in the state by the second one.
	inDoubt := d.memory.inDoubt(keys)
	d.opts.Replica.ReadState(func(m *state.Machine) {
		for i, k := range keys {
			switch {
			case m.CallerJobs().JobAt(k.Host, k.Path, k.ID) != nil:
				states[i] = control.SubmissionAccepted
			case !inDoubt[i]:
				states[i] = control.SubmissionAbsent
			}
		}
	})
	return states, nil
}

// inDoubt reports of each job whether a submission that this replica handles or handled may be committed.
func (g *memoryGuard) inDoubt(keys []control.SubmissionKey) []bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.endDoubts()
	list := make([]bool, len(keys))
	for i, k := range keys {
		a := g.attempts[k.ID]
		list[i] = a != nil && a.done == nil
	}
	return list
}

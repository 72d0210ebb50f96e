package agent

import (
	"context"
	"time"

	"github.com/cairnlift/cairnlift/agent/gate"
	apiv1 "github.com/cairnlift/cairnlift/api/v1"
)

// admit asks the gate about a dispatch. The channel gets the decision about an
// attempt that waits.
func (a *Agent) admit(now time.Time, key gate.Key, req *apiv1.DispatchRequest) (gate.Admission, <-chan gate.Admission) {
	a.mu.Lock()
	defer a.mu.Unlock()
	ad := a.gate.Admit(now, dispatchOf(key, req))
	var decided chan gate.Admission
	if ad.Wait {
		decided = make(chan gate.Admission, 1)
		a.pendingDecisions[key] = decided
	}
	a.deliverDecisions()
	return ad, decided
}

// deliverDecisions hands the gate's decisions to the dispatches that wait for them. It is
// called with the lock held, after everything that can make the gate decide: a decision
// left lying would keep its slot taken and its caller without an answer.
func (a *Agent) deliverDecisions() {
	for _, d := range a.gate.Decisions() {
		decided := a.pendingDecisions[d.Key]
		if decided == nil {
			panic("invariant: the gate decides once about each attempt that waits")
		}
		decided <- d.Admission
		delete(a.pendingDecisions, d.Key)
	}
}

// awaitDecision returns what the gate decided about an attempt that waits. It ends at the
// latest start, or when the entry goes away: unlike a request that runs, one that waits
// has nothing to lose, and a resend is told that it was not run.
func (a *Agent) awaitDecision(ctx context.Context, key gate.Key, latest time.Time, decided <-chan gate.Admission) gate.Admission {
	timer := time.NewTimer(latest.Sub(a.now()))
	defer timer.Stop()
	end := (*gate.Gate).TimeOut
	select {
	case ad := <-decided:
		return ad
	case <-ctx.Done():
		end = (*gate.Gate).Cancel
	case <-timer.C:
	}
	a.updateGate(func(g *gate.Gate) { end(g, a.now(), key) })
	return <-decided // There is one now, or was one already.
}

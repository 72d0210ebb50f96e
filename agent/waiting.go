package agent

import (
	"context"
	"time"

	"github.com/cairnlift/cairnlift/agent/gate"
	apiv1 "github.com/cairnlift/cairnlift/api/v1"
)

// admit passes a dispatch to the gate. If the attempt waits, the gate's decision about it is
// sent to the returned channel.
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

// deliverDecisions sends the gate's decisions to the dispatches that wait for them. It must be
// called after every operation that can make the gate decide: an undelivered decision would
// occupy its slot and leave its caller without a response. The caller must hold mu.
func (a *Agent) deliverDecisions() {
	for _, d := range a.gate.Decisions() {
		decided := a.pendingDecisions[d.Key]
		if decided == nil {
			panic("invariant: the gate decides once about each waiting attempt")
		}
		decided <- d.Admission
		delete(a.pendingDecisions, d.Key)
	}
}

// awaitDecision returns the gate's decision about an attempt that waits. It refuses the attempt
// at its latest start, or when the entry cancels the call or disconnects: unlike a running
// request, a waiting one can be canceled without loss, and a retry gets the outcome "not run".
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
	return <-decided // The decision has been made, by end or before it.
}

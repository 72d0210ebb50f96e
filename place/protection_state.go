package place

import "time"

// Delays of the protection.
const (
	// actionDelay is the time from ordering an action until its effect shows on the worker.
	actionDelay   = 2 * time.Second
	minRelaxDelay = 30 * time.Second
	maxRelaxDelay = 2 * time.Minute
)

// protectionState is the state of the protection on one worker.
type protectionState struct {
	latencies map[string]*targetLatency
	// actedAt is the time of the last action. A report whose window began before the action took
	// effect says nothing about its effect. If such reports caused further actions, a reporting
	// lag of N seconds would lead to N seconds of evictions.
	actedAt time.Time
	shares  map[attemptID]int32
	// throttledSince is when a task's share was first reduced.
	throttledSince map[attemptID]time.Time
	// relaxDelay is how long no service may exceed its objective before a throttle is relaxed. It
	// doubles if the tail rises again after relaxing.
	relaxDelay time.Duration
	relaxedAt  time.Time
}

func newProtectionState() *protectionState {
	return &protectionState{
		latencies:      make(map[string]*targetLatency),
		shares:         make(map[attemptID]int32),
		throttledSince: make(map[attemptID]time.Time),
		relaxDelay:     minRelaxDelay,
	}
}

// settled reports whether a measured window lies wholly after the last action.
func (ps *protectionState) settled(w *targetLatency) bool { return ps.settledBefore(w.from) }

// settledBefore reports whether a window that began at the given time lies wholly after the last
// action.
func (ps *protectionState) settledBefore(from time.Time) bool {
	return ps.actedAt.IsZero() || !from.Before(ps.actedAt.Add(actionDelay))
}

func (ps *protectionState) shareOf(id attemptID) int32 {
	if s, ok := ps.shares[id]; ok {
		return s
	}
	return fullShare
}

func (ps *protectionState) setShare(id attemptID, share int32, now time.Time) {
	if share >= fullShare {
		ps.drop(id)
		return
	}
	if _, throttled := ps.shares[id]; !throttled {
		ps.throttledSince[id] = now
	}
	ps.shares[id] = share
}

func (ps *protectionState) drop(id attemptID) {
	delete(ps.shares, id)
	delete(ps.throttledSince, id)
}

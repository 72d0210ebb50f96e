package place

import "time"

// Bounds of the guard's memory.
const (
	// actionDelay is how long an order takes to reach its worker and show.
	actionDelay   = 2 * time.Second
	minRelaxDelay = 30 * time.Second
	maxRelaxDelay = 2 * time.Minute
)

// protectionState is the guard's memory about one worker.
type protectionState struct {
	latencies map[string]*targetLatency
	// actedAt is the last action. A report whose window began before the action
	// showed says nothing about its effect: acting on it again would answer a
	// lag of N seconds with N seconds of evictions.
	actedAt time.Time
	shares  map[attemptID]int32
	// throttledSince is when a task's share was first below the full one.
	throttledSince map[attemptID]time.Time
	// relaxDelay is how long a service must be calm before a throttle is eased. It
	// doubles when easing brought the tail back.
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
func (g *protectionState) settled(w *targetLatency) bool { return g.settledBefore(w.from) }

// settledBefore reports whether a window that began at a time does.
func (g *protectionState) settledBefore(from time.Time) bool {
	return g.actedAt.IsZero() || !from.Before(g.actedAt.Add(actionDelay))
}

func (g *protectionState) shareOf(id attemptID) int32 {
	if s, ok := g.shares[id]; ok {
		return s
	}
	return fullShare
}

func (g *protectionState) setShare(id attemptID, share int32, now time.Time) {
	if share >= fullShare {
		g.drop(id)
		return
	}
	if _, held := g.shares[id]; !held {
		g.throttledSince[id] = now
	}
	g.shares[id] = share
}

func (g *protectionState) drop(id attemptID) {
	delete(g.shares, id)
	delete(g.throttledSince, id)
}

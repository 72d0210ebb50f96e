package runs

import "time"

// minClaimSpan is the time over which an unexpected pool or availability zone must be announced again to be
// believed. It is longer than the repetitions of one message, and shorter than an interval between
// announcements: the worker announces its own meanwhile.
const minClaimSpan = time.Second

// placement is the pool and the availability zone of a worker.
type placement struct{ pool, zone string }

func (a Announcement) placement() placement {
	return placement{a.Worker.GetPool(), a.Worker.GetAvailabilityZone()}
}

// placementClaims decides which pool and availability zone the host's worker is in. Another program may send
// an announcement that names others; it must neither put the worker there nor keep the worker's own
// announcements from being believed.
type placementClaims struct {
	// expectedPool is the pool of the host's settings, empty if it is not known. A worker that was moved
	// announces another one before the settings name it.
	expectedPool string
	// last is the unexpected claim in the last announcement, which has been made since a time.
	last  claim
	since time.Time
}

type claim struct {
	incarnation string
	placement
}

// believed reports whether an announcement decides where its incarnation is. current is where the incarnation
// is believed to be, nil if it has no session yet.
func (c *placementClaims) believed(a Announcement, current *placement, now time.Time) bool {
	made := claim{a.Worker.GetId(), a.placement()}
	var expected, confirmed bool
	if current == nil {
		expected = c.expectedPool == "" || made.pool == c.expectedPool
	} else {
		expected = made.placement == *current
		confirmed = current.pool == c.expectedPool && made.pool != c.expectedPool
	}
	switch {
	case expected:
		c.last = claim{}
		return true
	case made != c.last:
		c.last, c.since = made, now
		return false
	}
	return !confirmed && now.Sub(c.since) >= minClaimSpan
}

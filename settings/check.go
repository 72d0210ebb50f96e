package settings

import (
	"slices"

	"github.com/cairnlift/cairnlift/tomltext"
)

func (s *Entry) check(doc *tomltext.Document) {
	checkTags(doc, s)
	checkRange(doc, "shutdown_bound", s.ShutdownBound.Duration, minShutdownBound, maxShutdownBound)
	checkRange(doc, "staleness_bound", s.StalenessBound.Duration, minStalenessBound, maxStalenessBound)
	checkRange(doc, "claim_window", s.ClaimWindow.Duration, minClaimWindow, maxClaimWindow)
	// A drain delay that fills the shutdown bound leaves no time to finish work.
	checkRange(doc, "drain_delay", s.DrainDelay.Duration, 0, s.ShutdownBound.Duration/2)
	checkRange(doc, "max_body_bytes", s.MaxBodyBytes, 1, maxBodyBytes)
	checkDistinct(doc, []keyedAddress{
		{"caller_address", s.CallerAddress}, {"admin_address", s.AdminAddress}, {"internal_address", s.InternalAddress},
	})
	if s.Control != nil {
		s.Control.check(doc)
	}
	s.checkOwnPeer(doc)
	if slices.ContainsFunc(s.Entries, func(p Peer) bool { return p.Name == s.Name }) {
		doc.AddProblem("entries", "must not hold this host itself, %q", s.Name)
	}
}

// checkOwnPeer holds the list of peers against this host. A replica that is
// missing from its own list, or listed with another address, would start an
// election that nobody can answer.
func (s *Entry) checkOwnPeer(doc *tomltext.Document) {
	own := slices.IndexFunc(s.Peers, func(p Peer) bool { return p.Name == s.Name })
	switch {
	case s.Control == nil && own >= 0:
		doc.AddProblem("peers", "name this host, %q, which has no [control] section", s.Name)
	case s.Control != nil && own < 0 && !doc.HasProblem("peers"):
		doc.AddProblem("peers", "must name this host, %q, since it has a [control] section", s.Name)
	case s.Control != nil && own >= 0 && s.Peers[own].Address != s.InternalAddress:
		doc.AddProblem("internal_address", "%q differs from %q, the address among the peers", s.InternalAddress, s.Peers[own].Address)
	}
}

func (c *Control) check(doc *tomltext.Document) {
	checkRange(doc, "control.election_timeout", c.ElectionTimeout.Duration, minHeartbeat, maxElectionTimeout)
	checkRange(doc, "control.heartbeat_interval", c.HeartbeatInterval.Duration, minHeartbeat, maxElectionTimeout)
	checkRange(doc, "control.lease_duration", c.LeaseDuration.Duration, minHeartbeat, maxLeaseDuration)
	checkRange(doc, "control.clock_rate_error_ppm", c.ClockRateError, 1, maxClockRateError)
	// A follower that a single lost heartbeat makes a candidate changes the
	// leader all the time.
	if c.ElectionTimeout.Duration <= minHeartbeatsPerElectionTimeout*c.HeartbeatInterval.Duration {
		doc.AddProblem("control.election_timeout", "%v must be above %d times the heartbeat_interval, %v",
			c.ElectionTimeout, minHeartbeatsPerElectionTimeout, c.HeartbeatInterval)
	}
	// Nobody renews leases during an election: one that is as long would stop
	// every task with each change of the leader.
	if c.LeaseDuration.Duration <= minElectionTimeoutsPerLease*c.ElectionTimeout.Duration {
		doc.AddProblem("control.lease_duration", "%v must be above %d times the election_timeout, %v",
			c.LeaseDuration, minElectionTimeoutsPerLease, c.ElectionTimeout)
	}
}

func (s *Agent) check(doc *tomltext.Document) {
	checkTags(doc, s)
	checkRange(doc, "shutdown_bound", s.ShutdownBound.Duration, minShutdownBound, maxShutdownBound)
	checkRange(doc, "staleness_bound", s.StalenessBound.Duration, minStalenessBound, maxStalenessBound)
	checkRange(doc, "heartbeat_interval", s.HeartbeatInterval.Duration, minHeartbeat, maxAgentHeartbeat)
	checkDistinct(doc, []keyedAddress{
		{"address", s.Address}, {"local_address", s.LocalAddress}, {"worker", s.Worker},
	})
	// Heartbeats carry the word that the configuration is the newest: with
	// fewer of them one lost message makes the agent stale.
	if s.StalenessBound.Duration < minHeartbeatsPerStalenessBound*s.HeartbeatInterval.Duration {
		doc.AddProblem("heartbeat_interval", "%v must fit %d times into the staleness_bound, %v",
			s.HeartbeatInterval, minHeartbeatsPerStalenessBound, s.StalenessBound)
	}
}

type keyedAddress struct{ key, address string }

func checkDistinct(doc *tomltext.Document, addresses []keyedAddress) {
	for i, a := range addresses {
		for _, b := range addresses[:i] {
			if a.address != "" && a.address == b.address {
				doc.AddProblem(a.key, "%q is also the %s", a.address, b.key)
			}
		}
	}
}

package node

import (
	"math"

	apiv1 "github.com/cairnlift/cairnlift/api/v1"
	"github.com/cairnlift/cairnlift/quorum"
)

// NextMembership returns the leader's next membership change while no voter has been unresponsive
// for long.
func NextMembership(s quorum.Status) (*apiv1.Membership, string) {
	return nextMembership(s, membershipPolicy{replaceTicks: math.MaxInt, responsiveTicks: math.MaxInt})
}

// NextMembershipAfter returns the next membership change if a voter counts as unresponsive after
// some ticks.
func NextMembershipAfter(s quorum.Status, ticks int) (*apiv1.Membership, string) {
	return nextMembership(s, membershipPolicy{replaceTicks: ticks, responsiveTicks: ticks})
}

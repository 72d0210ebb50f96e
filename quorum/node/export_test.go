package node

import (
	"math"

	apiv1 "github.com/cairnlift/cairnlift/api/v1"
	"github.com/cairnlift/cairnlift/quorum"
)

// NextMembership is the leader's choice of the next change while no voter has been
// silent for long.
func NextMembership(s quorum.Status) (*apiv1.Membership, string) {
	return nextMembership(s, membershipPolicy{replaceTicks: math.MaxInt, responsiveTicks: math.MaxInt})
}

// NextMembershipAfter is the choice when a voter counts as gone after some ticks.
func NextMembershipAfter(s quorum.Status, ticks int) (*apiv1.Membership, string) {
	return nextMembership(s, membershipPolicy{replaceTicks: ticks, responsiveTicks: ticks})
}

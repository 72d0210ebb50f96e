// Package fairshare orders client accounts by their weighted dominant share of a fleet's capacity.
// It does no I/O, and callers pass in the time.
package fairshare

import (
	"time"

	"github.com/cairnlift/cairnlift/jobqueue"
)

// HalfLife is the time in which the weight of an account's past use is halved.
const HalfLife = 10 * time.Second

// Ledger tracks the use of each account. It is not safe for concurrent use.
type Ledger interface {
	// Begin starts a round of planning: it decays past use, and replaces what each account has in use
	// by what the running tasks reserve. capacity is that of all usable workers.
	Begin(now time.Time, capacity jobqueue.Resources, inUse map[string]jobqueue.Resources)
	// Add adds the reservation of a task that the round starts.
	Add(account string, r jobqueue.Resources)
	// Share returns the dominant share of an account over its weight: the largest fraction of any
	// resource, in use now or in the last seconds, that the account takes.
	Share(account string) float64
}

// Weights returns the weight of an account, greater than 0.
type Weights func(account string) float64

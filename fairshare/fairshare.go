// Package fairshare orders client accounts by their weighted dominant share of a fleet's capacity.
// It does no I/O, and callers pass in the time.
package fairshare

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/cairnlift/cairnlift/jobqueue"
)

const (
	// HalfLife is the time in which the weight of an account's past use is halved.
	HalfLife = 10 * time.Second
	// MaxIdleAccounts bounds the accounts without running or waiting tasks whose past use is kept apart.
	MaxIdleAccounts = 1024
	// negligibleUse is the fraction of the capacity below which past use is forgotten.
	negligibleUse = 1e-5
)

// Weights returns the weight of an account, greater than 0.
type Weights func(account string) float64

// Round is what the ledger has to know at the start of a round of planning.
type Round struct {
	Now time.Time
	// Capacity is that of all workers whose runs are in InUse, reachable or not. With that of the
	// usable ones alone, shares would be far above 1 while many workers are unreachable, and would be
	// remembered so.
	Capacity jobqueue.Resources
	// InUse is what the running tasks of each account demand.
	InUse map[string]jobqueue.Resources
	// Waiting reports whether an account has tasks that wait.
	Waiting func(account string) bool
	Weights Weights
}

// Ledger tracks the use of each account. It is not safe for concurrent use.
//
// The share of an account is the mean of what it has in use and of its decayed past use. Past use alone
// would swing: an account that comes late would get all starts until its past use has caught up, long
// after it took more than its share. Use alone would favor accounts whose tasks are short.
type Ledger struct {
	entries map[string]*entry
	// evicted is the past use that accounts without an entry are taken to have: the largest of those
	// whose entries were evicted, so that an account gains nothing by the eviction of its entry.
	evicted  fractions
	capacity jobqueue.Resources
	weights  Weights
	at       time.Time
}

// entry is the use of one account.
type entry struct {
	inUse  jobqueue.Resources
	past   fractions
	usedAt time.Time
}

// fractions are fractions of the capacity: processors, memory and accelerators.
type fractions [3]float64

// New returns a ledger without any use.
func New() *Ledger { return &Ledger{entries: map[string]*entry{}} }

// Begin starts a round of planning: it decays past use, and replaces what each account has in use.
func (l *Ledger) Begin(r Round) {
	kept := 1.0
	if !l.at.IsZero() && r.Now.After(l.at) {
		kept = math.Exp2(-float64(r.Now.Sub(l.at)) / float64(HalfLife))
	}
	for _, e := range l.entries {
		e.past = mix(e.past, l.fractionsOf(e.inUse), kept)
		e.inUse = jobqueue.Resources{}
	}
	l.evicted = mix(l.evicted, fractions{}, kept)
	l.capacity, l.weights, l.at = r.Capacity, r.Weights, r.Now
	for account, used := range r.InUse {
		e := l.entry(account)
		e.inUse, e.usedAt = used, r.Now
	}
	l.evict(r.Waiting)
}

// Add adds the demand of a task that the round starts. A negative demand takes it back.
func (l *Ledger) Add(account string, r jobqueue.Resources) {
	e := l.entry(account)
	e.inUse = e.inUse.Add(r)
	e.usedAt = l.at
}

// WeightedShare returns the dominant share of an account over its weight.
func (l *Ledger) WeightedShare(account string) float64 { return l.Share(account) / l.weights(account) }

// Share returns the dominant share of an account: the largest fraction of any resource that it takes, as
// the mean of its use and its decayed past use.
func (l *Ledger) Share(account string) float64 {
	e := l.entries[account]
	if e == nil {
		return slices.Max(l.evicted[:]) / 2
	}
	now := l.fractionsOf(e.inUse)
	share := 0.0
	for i := range now {
		share = max(share, (now[i]+e.past[i])/2)
	}
	return share
}

// Len returns the number of accounts whose use is kept apart.
func (l *Ledger) Len() int { return len(l.entries) }

func (l *Ledger) entry(account string) *entry {
	e := l.entries[account]
	if e == nil {
		e = &entry{past: l.evicted, usedAt: l.at}
		l.entries[account] = e
	}
	return e
}

// evict removes the entries that no longer matter and, beyond MaxIdleAccounts, the least recently used
// ones of accounts without running or waiting tasks.
func (l *Ledger) evict(waiting func(account string) bool) {
	var idle []string
	for account, e := range l.entries {
		switch {
		case e.usedAt.Equal(l.at) || waiting(account):
		case slices.Max(e.past[:]) < negligibleUse:
			delete(l.entries, account)
		default:
			idle = append(idle, account)
		}
	}
	if len(idle) <= MaxIdleAccounts {
		return
	}
	slices.SortFunc(idle, func(a, b string) int {
		return cmp.Or(l.entries[a].usedAt.Compare(l.entries[b].usedAt), cmp.Compare(a, b))
	})
	for _, account := range idle[:len(idle)-MaxIdleAccounts] {
		for i, f := range l.entries[account].past {
			l.evicted[i] = max(l.evicted[i], f)
		}
		delete(l.entries, account)
	}
}

func (l *Ledger) fractionsOf(r jobqueue.Resources) fractions {
	return fractions{
		fraction(r.CPUMilli, l.capacity.CPUMilli), fraction(r.MemoryMB, l.capacity.MemoryMB),
		fraction(r.Accelerators, l.capacity.Accelerators),
	}
}

// fraction returns a part of a capacity, 0 if there is none. It is above 1 if backfill tasks demand more
// processors than there are.
func fraction(used, capacity int64) float64 {
	if capacity <= 0 {
		return 0
	}
	return float64(used) / float64(capacity)
}

// mix returns the mean of past and current use, the past weighted by kept.
func mix(past, current fractions, kept float64) fractions {
	for i := range past {
		past[i] = kept*past[i] + (1-kept)*current[i]
	}
	return past
}

package fairshare

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/cairnlift/cairnlift/jobqueue"
)

var capacity = jobqueue.Resources{CPUMilli: 1000, MemoryMB: 1000, Accelerators: 10}

// begin starts a round with weight 2 for account "heavy" and 1 for the others.
func begin(l *Ledger, at time.Duration, inUse map[string]jobqueue.Resources) {
	l.Begin(Round{
		Now: time.Unix(1000, 0).Add(at), Capacity: capacity, InUse: inUse, Waiting: func(string) bool { return false },
		Weights: func(account string) float64 {
			if account == "heavy" {
				return 2
			}
			return 1
		},
	})
}

func expectShare(t *testing.T, got, want float64) {
	t.Helper()
	if math.Abs(got-want) > 1e-9 {
		t.Errorf("share %v, want %v", got, want)
	}
}

// Guards against shares of another resource than the dominant one, weights without effect, and past use that is
// not halved in a half-life.
func TestShares(t *testing.T) {
	l := New()
	use := map[string]jobqueue.Resources{"heavy": {CPUMilli: 100, MemoryMB: 200, Accelerators: 4}}
	begin(l, 0, use)
	expectShare(t, l.Share("heavy"), 0.4/2)
	expectShare(t, l.WeightedShare("heavy"), 0.4/4)
	begin(l, HalfLife, use)
	expectShare(t, l.Share("heavy"), (0.4+0.2)/2)
	begin(l, 2*HalfLife, nil)
	expectShare(t, l.Share("heavy"), 0.3/2)
	begin(l, 3*HalfLife, nil)
	expectShare(t, l.Share("heavy"), 0.15/2)
	l.Add("heavy", jobqueue.Resources{CPUMilli: 500})
	expectShare(t, l.Share("heavy"), (0.5+0.15/4)/2)
	l.Add("heavy", jobqueue.Resources{CPUMilli: -500})
	expectShare(t, l.Share("heavy"), 0.15/2)
}

// Guards against memory that grows with the number of accounts, and against accounts that shed their past use
// by the eviction of their entries or lose it while they have work.
func TestEntriesAreBounded(t *testing.T) {
	l := New()
	begin(l, 0, map[string]jobqueue.Resources{"used": {CPUMilli: 800}})
	for i := range MaxIdleAccounts + 100 {
		begin(l, time.Duration(i+1)*time.Millisecond, map[string]jobqueue.Resources{fmt.Sprint(i): {CPUMilli: 1000}, "running": {CPUMilli: 1}})
	}
	if l.Len() > MaxIdleAccounts+2 {
		t.Errorf("%d entries", l.Len())
	}
	if l.entries["used"] != nil || l.entries["running"] == nil {
		t.Error("another entry than the least recently used one was evicted")
	}
	if l.Share("used") <= 0 || l.Share("used") != l.Share("never seen") {
		t.Errorf("shares %v and %v of accounts without an entry", l.Share("used"), l.Share("never seen"))
	}
	begin(l, time.Hour, nil)
	begin(l, 2*time.Hour, nil)
	if l.Len() > 0 {
		t.Errorf("%d entries after an hour without work", l.Len())
	}
}

// Guards against a fleet without workers, whose shares would be infinite and never decay.
func TestSharesWithoutCapacity(t *testing.T) {
	l := New()
	l.Begin(Round{Now: time.Unix(1000, 0), InUse: map[string]jobqueue.Resources{"a": {CPUMilli: 1}}, Waiting: func(string) bool { return true }})
	expectShare(t, l.Share("a"), 0)
}

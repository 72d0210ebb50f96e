package dispatch

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/cairnlift/cairnlift/jobqueue"
	"github.com/cairnlift/cairnlift/logging/event"
	"github.com/cairnlift/cairnlift/schedule"
)

const (
	// accountWaitLogInterval is the time between two lines about accounts that wait for their share.
	accountWaitLogInterval = 2 * time.Second
	// maxLoggedAccounts bounds the accounts in each list of such a line.
	maxLoggedAccounts = 8
)

// recordAccountWaits counts the accounts whose tasks find no capacity while other accounts use some. At
// most once per accountWaitLogInterval it logs those that have had no start for longest, and the accounts
// with the highest share over weight, which take the capacity.
func (d *Dispatcher) recordAccountWaits(l *leaderState, m *jobqueue.Machine, waits []schedule.AccountWait, now time.Time) {
	d.metrics.accountsWaiting.Update(int64(len(waits)))
	if len(waits) == 0 || now.Sub(l.accountWaitsLoggedAt) < accountWaitLogInterval {
		return
	}
	l.accountWaitsLoggedAt = now
	waits = slices.Clone(waits)
	slices.SortStableFunc(waits, func(a, b schedule.AccountWait) int { return cmp.Compare(b.Waited, a.Waited) })
	var waiting, using []string
	for _, w := range waits[:min(len(waits), maxLoggedAccounts)] {
		waiting = append(waiting, fmt.Sprintf("%s %d %d", formatShare(w.AccountShare), w.Tasks, w.Waited.Milliseconds()))
	}
	shares := l.planner.AccountShares(m)
	for _, s := range shares[:min(len(shares), maxLoggedAccounts)] {
		using = append(using, formatShare(s))
	}
	event.AccountsWaiting.Write(d.logger, event.Term(l.term), event.AccountCount(len(waits)), event.WaitingAccounts(waiting), event.UsingAccounts(using))
}

// formatShare formats a share as "ACCOUNT SHARE WEIGHT".
func formatShare(s schedule.AccountShare) string {
	return fmt.Sprintf("%s %.3f %g", cmp.Or(s.Account, "-"), s.Share, s.Weight)
}

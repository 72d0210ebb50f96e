package soak

import (
	"context"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"time"
)

var (
	// cordonTimes are the times for which a zone is cordoned, and betweenCordons those until the next cordon.
	cordonTimes    = []span{{200 * time.Millisecond, time.Second}, {2 * time.Second, 12 * time.Second}}
	betweenCordons = span{time.Second, 5 * time.Second}
)

const (
	// maxStartAfterCordon is how long after the acknowledgement of a cordon a run may still begin.
	maxStartAfterCordon = 5 * time.Second
	// workerZones is the number of availability zones of the workers.
	workerZones = 3
	// cordonsStream is the stream of random numbers of the cordons.
	cordonsStream = 4
)

// workerZone returns the zone of a worker by its number.
func workerZone(number int) string { return "zone-" + strconv.Itoa(number%workerZones) }

// zoneOfWorker returns the zone of a worker by its name.
func zoneOfWorker(name string) string {
	number, err := strconv.Atoi(strings.TrimPrefix(name, "w"))
	if err != nil {
		return ""
	}
	return workerZone(number)
}

// zoneCordon is a cordon of a zone. Acknowledged and Withdrawn are zero until a control host acknowledges
// the order; WithdrawSent is when the operator began to withdraw the cordon.
type zoneCordon struct {
	Zone                                        string
	Sent, Acknowledged, WithdrawSent, Withdrawn time.Time
}

// cordonZones cordons one zone after another until ctx ends. Each order is repeated until it is
// acknowledged, and the last cordon is withdrawn.
func (o *operator) cordonZones(ctx context.Context, r *rand.Rand) {
	for ctx.Err() == nil {
		sleep(ctx, betweenCordons.draw(r))
		c := zoneCordon{Zone: workerZone(r.IntN(workerZones)), Sent: time.Now()}
		c.Acknowledged = o.setCordon(ctx, r, c.Zone, true)
		sleep(ctx, drawFromOne(r, cordonTimes))
		c.WithdrawSent = time.Now()
		c.Withdrawn = o.setCordon(ctx, r, c.Zone, false)
		o.cordons = append(o.cordons, c)
	}
}

// setCordon sends an order until it is acknowledged, and returns when that was; zero if ctx ended before.
func (o *operator) setCordon(ctx context.Context, r *rand.Rand, zone string, cordoned bool) time.Time {
	for ctx.Err() == nil {
		status, err := o.c.client.SetCordon(ctx, o.pickSeedIP(r), zone, cordoned)
		if err == nil && status == http.StatusOK {
			return time.Now()
		}
		sleep(ctx, retryInterval)
	}
	return time.Time{}
}

// checkCordons finds runs that began in a zone long after its cordon was acknowledged.
func (rep *report) checkCordons(cordons []zoneCordon) {
	for _, c := range cordons {
		if c.Acknowledged.IsZero() {
			continue
		}
		for _, r := range rep.rec.runs {
			if zoneOfWorker(r.incarnation.worker) != c.Zone || !r.start.After(c.Acknowledged.Add(maxStartAfterCordon)) || !r.start.Before(c.WithdrawSent) {
				continue
			}
			rep.addViolation("%s: run %d began on %s at %s, and the cordon of %s was acknowledged at %s", r.task, r.number, r.incarnation.worker,
				r.start.Format(clockFormat), c.Zone, c.Acknowledged.Format(clockFormat))
		}
	}
}

// mayBeCordoned reports whether a worker's zone may be cordoned at a moment.
func (rep *report) mayBeCordoned(worker string, at time.Time) bool {
	zone := zoneOfWorker(worker)
	for _, c := range rep.cordons {
		if c.Zone == zone && !at.Before(c.Sent) && (c.Withdrawn.IsZero() || !at.After(c.Withdrawn)) {
			return true
		}
	}
	return false
}

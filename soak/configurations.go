package soak

import (
	"context"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/cairnlift/cairnlift/platform/platformtest"
)

var (
	// betweenChanges are the times between two changes of the configuration.
	betweenChanges = []span{{200 * time.Millisecond, time.Second}, {time.Second, 6 * time.Second}}
	betweenReads   = span{50 * time.Millisecond, 400 * time.Millisecond}
)

const (
	// maxReadLag is how long after the acknowledgement of a version a read may still return an older one.
	maxReadLag = 3 * time.Second
	// lastReadWithin is the time before the end of a soak run in which an answered read must have been sent.
	lastReadWithin = 8 * time.Second
	// maxVersionStep is the largest difference between two consecutive versions.
	maxVersionStep = 5
)

// configChange is a version with the time at which the operator first sent it. Acknowledged is zero until
// a control host acknowledges the version.
type configChange struct {
	Version            uint64
	Sent, Acknowledged time.Time
}

// configRead is the version that a control host returned, with the time at which the read was sent.
type configRead struct {
	Version uint64
	Sent    time.Time
}

// operator changes and reads the configuration and cordons zones at randomly chosen control hosts.
type operator struct {
	c       *cluster
	changes []configChange
	reads   []configRead
	cordons []zoneCordon
}

// submitChanges submits increasing versions until ctx ends. It sends each until it is acknowledged.
func (o *operator) submitChanges(ctx context.Context, r *rand.Rand) {
	version := firstVersion
	o.changes = append(o.changes, configChange{Version: version, Sent: time.Now(), Acknowledged: time.Now()})
	for ctx.Err() == nil {
		sleep(ctx, drawFromOne(r, betweenChanges))
		version += 1 + r.Uint64N(maxVersionStep)
		o.changes = append(o.changes, configChange{Version: version, Sent: time.Now()})
		for ctx.Err() == nil {
			status, err := o.c.client.PutConfiguration(ctx, o.pickSeedIP(r), configuration(version))
			if err == nil && status == http.StatusOK {
				o.changes[len(o.changes)-1].Acknowledged = time.Now()
				break
			}
			sleep(ctx, retryInterval)
		}
	}
}

// pollConfiguration reads the configuration repeatedly until ctx ends.
func (o *operator) pollConfiguration(ctx context.Context, r *rand.Rand) {
	for ctx.Err() == nil {
		sent := time.Now()
		status, version, err := o.c.client.Configuration(ctx, o.pickSeedIP(r))
		if err == nil && status == http.StatusOK {
			o.reads = append(o.reads, configRead{Version: version, Sent: sent})
		}
		sleep(ctx, betweenReads.draw(r))
	}
}

func (o *operator) pickSeedIP(r *rand.Rand) string { return o.c.seedIPs[r.IntN(len(o.c.seedIPs))] }

// checkConfigurations finds reads that returned a version which was never sent or an older one than the
// version in effect, and soak runs without an answered read at the end.
func (rep *report) checkConfigurations(changes []configChange, reads []configRead) {
	if len(changes) == 0 {
		return
	}
	sent := map[uint64]bool{}
	for _, c := range changes {
		sent[c.Version] = true
	}
	answered := false
	for _, r := range reads {
		if !sent[r.Version] {
			rep.addViolation("configuration %d was read at %s but never sent", r.Version, r.Sent.Format(clockFormat))
		}
		if newest := minVersionAt(changes, r.Sent); r.Version < newest {
			rep.addViolation("configuration %d was read at %s after %d had been acknowledged", r.Version, r.Sent.Format(clockFormat), newest)
		}
		answered = answered || r.Sent.After(rep.rec.end.Add(-lastReadWithin))
	}
	if !answered {
		rep.addViolation("no read of the configuration was answered in the last %v", lastReadWithin)
	}
}

// minVersionAt returns the lowest version that a read sent at a moment may return.
func minVersionAt(changes []configChange, at time.Time) uint64 {
	newest := uint64(0)
	for _, c := range changes {
		if !c.Acknowledged.IsZero() && c.Acknowledged.Add(maxReadLag).Before(at) {
			newest = max(newest, c.Version)
		}
	}
	return newest
}

// firstVersion is the version of the initial configuration.
const firstVersion uint64 = 1

// configuration returns a version of the configuration. The queue of the batch jobs comes and goes with the
// versions; in some of those without it, the queue of a shorter prefix takes the paths of its jobs.
func configuration(version uint64) []byte {
	queues := []platformtest.Queue{{Name: "serving", Host: queueHost, PathPrefix: servingPath, MaxAttempts: 2}}
	switch version % 4 {
	case 2:
	case 3:
		queues = append(queues, platformtest.Queue{Name: "rest", Host: queueHost, PathPrefix: "/", MaxAttempts: 1})
	default:
		queues = append(queues, platformtest.Queue{Name: "batch", Host: queueHost, PathPrefix: batchPath, Priority: 1, MaxAttempts: batchAttempts})
	}
	return platformtest.Configuration(version, pool, queues...)
}

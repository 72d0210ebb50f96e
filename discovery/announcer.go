// Package discovery lets control hosts find a group that they know nothing of. Such a host keeps
// nothing across a restart if it has no disk, or has lost what it kept, and the hosts that it is
// configured with may be of the same kind, so it can't find the group by itself. The leader
// therefore tells the control hosts that it knows of and doesn't hear from where the group is.
package discovery

import (
	"context"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/sourcegraph/conc"
	"go.uber.org/zap"

	apiv1 "github.com/cairnlift/cairnlift/api/v1"
	"github.com/cairnlift/cairnlift/logging/event"
	"github.com/cairnlift/cairnlift/redial"
)

const (
	// checkInterval is the time between two checks for hosts to tell.
	checkInterval = 250 * time.Millisecond
	// announceTimeout bounds an announcement. Hosts answer at once.
	announceTimeout = time.Second
	dialTimeout     = 600 * time.Millisecond
)

// Options configure an Announcer.
type Options struct {
	// Leading returns the term and whether this host leads.
	Leading func() (term uint64, ok bool)
	// Address is this host's internal address.
	Address string
	// Members returns the internal addresses of the members.
	Members func() []string
	// Targets returns the internal addresses of the hosts that have to know the group. An announcer
	// tells a target unless it has heard from it.
	Targets func() []string
	// Transport carries the announcements; nil means connections of the announcer's own.
	Transport http.RoundTripper
	Logger    *zap.Logger
	Metrics   metrics.Registry
}

// Announcer tells control hosts, while this host leads, where the group is.
type Announcer struct {
	opts     Options
	logger   *zap.Logger
	http     *http.Client
	answered metrics.Counter
	failed   metrics.Counter
	targets  metrics.Gauge

	mu       sync.Mutex
	schedule *schedule
	term     uint64
}

// NewAnnouncer returns an announcer, which Run starts.
func NewAnnouncer(o Options) *Announcer {
	if o.Transport == nil {
		o.Transport = redial.New(redial.Options{DialTimeout: dialTimeout, MaxIdlePerHost: 1, IdleTimeout: heardPeriod})
	}
	return &Announcer{
		opts: o, logger: event.Group.Named(o.Logger), schedule: newSchedule(),
		http:     &http.Client{Transport: o.Transport},
		answered: metrics.GetOrRegisterCounter("discovery.announced", o.Metrics),
		failed:   metrics.GetOrRegisterCounter("discovery.unanswered", o.Metrics),
		targets:  metrics.GetOrRegisterGauge("discovery.targets", o.Metrics),
	}
}

// Heard records that the host at an address requested the members from this host.
func (a *Announcer) Heard(address string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if _, known := a.schedule.hosts[address]; known {
		a.schedule.heard(address, time.Now())
	}
}

// Run announces the group until ctx ends.
func (a *Announcer) Run(ctx context.Context) {
	ticker := time.NewTicker(checkInterval)
	defer ticker.Stop()
	var calls conc.WaitGroup
	defer calls.Wait()
	for {
		due, s := a.due()
		for _, address := range due {
			calls.Go(func() { a.announce(ctx, s, address) })
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// due returns the hosts to tell now, with the schedule of the present term.
func (a *Announcer) due() ([]string, *schedule) {
	term, leading := a.opts.Leading()
	if !leading {
		a.targets.Update(0)
		return nil, nil
	}
	targets := slices.DeleteFunc(a.opts.Targets(), func(t string) bool { return t == a.opts.Address })
	a.targets.Update(int64(len(targets)))
	a.mu.Lock()
	defer a.mu.Unlock()
	if term != a.term {
		// Nothing is known of whom the hosts have heard from since the previous term.
		a.term, a.schedule = term, newSchedule()
	}
	return a.schedule.due(targets, time.Now()), a.schedule
}

func (a *Announcer) announce(ctx context.Context, s *schedule, address string) {
	ctx, cancel := context.WithTimeout(ctx, announceTimeout)
	defer cancel()
	start := time.Now()
	_, err := apiv1.NewJobsProtobufClient("http://"+address, a.http).Announce(ctx, &apiv1.JobsAnnounceRequest{
		LeaderAddress: a.opts.Address, Addresses: a.opts.Members(),
	})
	a.mu.Lock()
	defer a.mu.Unlock()
	first := s.hosts[address].failingSince.IsZero()
	s.finished(address, err == nil, start, time.Now())
	switch {
	case err == nil:
		a.answered.Inc(1)
		event.GroupAnnounced.Write(a.logger, event.Address(address))
	default:
		a.failed.Inc(1)
		if first {
			event.AnnouncementUnanswered.Write(a.logger, event.Address(address), event.Err(err))
		}
	}
}

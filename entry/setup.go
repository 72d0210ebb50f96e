package entry

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rcrowley/go-metrics"

	apiv1 "github.com/cairnlift/cairnlift/api/v1"
	"github.com/cairnlift/cairnlift/failstop"
	"github.com/cairnlift/cairnlift/member"
	"github.com/cairnlift/cairnlift/route"
	"github.com/cairnlift/cairnlift/settings"
)

// New makes an entry; nothing is opened before Run.
func New(o Options) (*Entry, error) {
	e, err := newEntry(o)
	if err != nil {
		return nil, err
	}
	e.setUpControl(o)
	e.setUpJobs(o.Logger)
	return e, nil
}

// newEntry makes an entry that has no control group yet.
func newEntry(o Options) (*Entry, error) {
	if o.Settings == nil || o.Logger == nil {
		return nil, errors.New("an entry needs settings and a logger")
	}
	if o.Registry == nil {
		o.Registry = metrics.NewRegistry()
	}
	s := o.Settings
	e := &Entry{
		settings:       s,
		log:            o.Logger.Named("entry"),
		routeLog:       o.Logger.Named("route"),
		registry:       o.Registry,
		metrics:        newEntryMetrics(o.Registry),
		now:            time.Now,
		startedAt:      time.Now(),
		internalClient: newInternalClient(),
		directory:      member.New(member.DefaultConfig()),
		routedTargets:  map[string]map[string]bool{},
		peers:          map[string]peerState{},
		claimWindow:    s.ClaimWindow.Duration,
		deltas:         newDeltaHistory(wholeConfiguration),
		agentDeltas:    newDeltaHistory(agentConfiguration),
		loops:          failstop.New(),
		background:     failstop.New(),
	}
	e.agents.http = e.internalClient
	e.services.Store(newServiceTable(&apiv1.Configuration{}))
	e.router = route.New(route.Config{
		AvailabilityZone: s.Location.AvailabilityZone,
		Region:           s.Location.Region,
		Seed:             uint64(time.Now().UnixNano()),
	})
	names := []string{s.Name}
	for _, p := range e.otherEntries() {
		names = append(names, p.Name)
	}
	e.router.SetEntries(s.Name, names)
	e.pipeline = e.requestPipeline()
	return e, nil
}

// otherEntries are all entry hosts in the settings but this one, each once.
func (e *Entry) otherEntries() []settings.Peer {
	seen := map[string]bool{e.settings.Name: true}
	var others []settings.Peer
	for _, list := range [][]settings.Peer{e.settings.Peers, e.settings.Entries} {
		for _, p := range list {
			if !seen[p.Name] {
				seen[p.Name] = true
				others = append(others, p)
			}
		}
	}
	return others
}

// tick judges agents' silence and wakes or refuses queued requests.
func (e *Entry) tick() {
	now := e.now()
	e.mu.Lock()
	e.directory.Tick(now)
	e.applyDirectoryChanges()
	e.mu.Unlock()
	route.Deliver(e.router.Tick(now))
}

// agentAddress returns where an incarnation of an agent is reached, empty when
// it is not known or another incarnation has taken its place.
func (e *Entry) agentAddress(name string, incarnation uint64) string {
	e.mu.Lock()
	defer e.mu.Unlock()
	info := e.directory.Agent(name)
	if info == nil || info.GetIncarnation() != incarnation {
		return ""
	}
	return info.GetAddress()
}

// startLoops starts what the entry does on its own.
func (e *Entry) startLoops(ctx context.Context) {
	e.loops.Go("configuration", func() { e.watchConfiguration(ctx) })
	e.loops.Go("tick", func() { e.tickLoop(ctx) })
	e.loops.Go("renewals", func() { e.renewals.run(ctx, e.loops) })
	for _, peer := range e.otherEntries() {
		e.loops.Go("sync", func() { e.syncLoop(ctx, peer) })
	}
}

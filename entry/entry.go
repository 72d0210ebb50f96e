// Package entry implements the host that callers and operators connect to. An entry routes
// callers' requests to targets through their agents, receives the heartbeats of the agents that
// chose it as their home, exchanges announcements with other entries and, with a control section
// in its settings, runs a replica of the control group.
package entry

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	apiv1 "github.com/cairnlift/cairnlift/api/v1"
	"github.com/cairnlift/cairnlift/control"
	"github.com/cairnlift/cairnlift/cordon"
	"github.com/cairnlift/cairnlift/dispatch"
	"github.com/cairnlift/cairnlift/failstop"
	"github.com/cairnlift/cairnlift/jobapi"
	"github.com/cairnlift/cairnlift/jobclient"
	"github.com/cairnlift/cairnlift/member"
	"github.com/cairnlift/cairnlift/pipeline"
	"github.com/cairnlift/cairnlift/quorum/node"
	"github.com/cairnlift/cairnlift/route"
	"github.com/cairnlift/cairnlift/settings"
)

// Options configure an entry.
type Options struct {
	Settings *settings.Entry
	Logger   *zap.Logger
	// Registry holds the entry's metrics; a new one is created when nil.
	Registry metrics.Registry
}

// Entry is one entry host.
type Entry struct {
	settings  *settings.Entry
	log       *zap.Logger
	routeLog  *zap.Logger
	registry  metrics.Registry
	metrics   *entryMetrics
	now       func() time.Time
	startedAt time.Time

	control control.Service
	// replica and node are nil on an entry without a control section in its settings;
	// follower is nil on an entry with one.
	replica  *control.Replica
	node     *node.Node
	follower *control.Forwarder
	// dispatcher is nil without a replica. jobs is a client of the control group's dispatcher.
	dispatcher *dispatch.Dispatcher
	jobs       *jobclient.Client
	zones      *cordon.Receiver
	// accounts determines the client accounts of submitted jobs.
	accounts jobapi.Accounts

	services       atomic.Pointer[serviceTable]
	router         *route.Router
	agents         agentClients
	internalClient *http.Client
	pipeline       pipeline.Pipeline[request]
	renewals       *renewalBatcher
	claimWindow    time.Duration
	decisions      decisionRing
	// inProgress is the number of callers' requests without an answer.
	inProgress atomic.Int64

	// deltas are the recent configuration changes for other entries, agentDeltas those for agents.
	deltas, agentDeltas *deltaHistory

	// mu protects directory, routedTargets and peers.
	mu            sync.Mutex
	directory     *member.Directory
	routedTargets map[string]map[string]bool
	peers         map[string]peerState

	// loops are the entry's servers and periodic work; background is work that may outlive the
	// request that started it.
	loops, background *failstop.Group
	leaving           atomic.Bool
}

// watchConfiguration applies each new configuration until the context ends.
func (e *Entry) watchConfiguration(ctx context.Context) {
	for {
		changed := e.control.Changed()
		e.applyConfiguration(e.control.Configuration())
		select {
		case <-changed:
		case <-ctx.Done():
			return
		}
	}
}

// applyConfiguration applies a configuration if its version is higher than the current one: a
// delayed response must not restore an older configuration.
func (e *Entry) applyConfiguration(cfg *apiv1.Configuration) {
	old := e.services.Load()
	if cfg.GetVersion() <= old.version {
		return
	}
	table := newServiceTable(cfg)
	for _, svc := range table.byName {
		e.router.SetService(svc)
	}
	for name := range old.byName {
		if table.byName[name] == nil {
			route.Deliver(e.router.RemoveService(name))
		}
	}
	e.services.Store(table)
	e.log.Info("configuration in force", zap.Uint64("version", cfg.GetVersion()), zap.Int("services", len(table.byName)))
}

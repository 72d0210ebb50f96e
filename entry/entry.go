// Package entry is the host that callers and operators reach. It routes callers'
// requests to targets through their agents, is the home of agents, exchanges
// announcements with other entries and, with a control section in its settings,
// runs a replica of the control group.
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
	"github.com/cairnlift/cairnlift/dispatch"
	"github.com/cairnlift/cairnlift/failstop"
	"github.com/cairnlift/cairnlift/jobclient"
	"github.com/cairnlift/cairnlift/member"
	"github.com/cairnlift/cairnlift/pipeline"
	"github.com/cairnlift/cairnlift/quorum/node"
	"github.com/cairnlift/cairnlift/route"
	"github.com/cairnlift/cairnlift/settings"
)

// Options are what an entry is made from.
type Options struct {
	Settings *settings.Entry
	Logger   *zap.Logger
	// Registry holds the entry's metrics; a new one is made when nil.
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
	// replica and node are nil on an entry without a control section, follower on
	// one with.
	replica  *control.Replica
	node     *node.Node
	follower *control.Forwarder
	// dispatcher is nil without a replica; jobs reaches the control group's.
	dispatcher *dispatch.Dispatcher
	jobs       *jobclient.Client

	services       atomic.Pointer[serviceTable]
	router         *route.Router
	agents         agentClients
	internalClient *http.Client
	pipeline       pipeline.Pipeline[request]
	renewals       *renewalBatcher
	claimWindow    time.Duration
	decisions      decisionRing
	// inProgress counts callers' requests that have no answer yet.
	inProgress atomic.Int64

	// deltas are the last changes for other entries, agentDeltas those for agents.
	deltas, agentDeltas *deltaHistory

	// mu guards the directory and what is kept beside it.
	mu            sync.Mutex
	directory     *member.Directory
	routedTargets map[string]map[string]bool
	peers         map[string]peerState

	// loops are what the entry does on its own; background is what outlives the
	// request it belongs to.
	loops, background *failstop.Group
	leaving           atomic.Bool
}

// watchConfiguration puts the newest configuration in force here, whenever it
// changes, until the context ends.
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

// applyConfiguration puts a configuration in force. Only a higher version is taken: an answer
// that was long on its way must not bring an older one back.
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

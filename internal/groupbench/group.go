package main

import (
	"context"
	"fmt"
	"net"
	"path/filepath"
	"time"

	"go.uber.org/zap"

	"github.com/cairnlift/cairnlift/agent"
	"github.com/cairnlift/cairnlift/entry"
	"github.com/cairnlift/cairnlift/failstop"
	"github.com/cairnlift/cairnlift/fakes"
	"github.com/cairnlift/cairnlift/settings"
)

const (
	heartbeatInterval = time.Second
	region            = "local"
	targetName        = "runner"
	drainDelay        = 100 * time.Millisecond
)

// group is a running control group with its agents and one target.
type group struct {
	cancel    context.CancelFunc
	processes *failstop.Group
	// stopEntry holds one function per entry that stops it.
	stopEntry []context.CancelFunc
}

func entryHost(i int) string { return fmt.Sprintf("127.0.41.%d", i+1) }
func agentHost(i int) string { return fmt.Sprintf("127.0.42.%d", i+1) }

func peers() []settings.Peer {
	var list []settings.Peer
	for i := range entries {
		list = append(list, settings.Peer{Name: fmt.Sprintf("entry-%d", i+1), Address: entryHost(i) + ":7002"})
	}
	return list
}

func location(i int) settings.Location {
	return settings.Location{Region: region, AvailabilityZone: fmt.Sprintf("zone-%d", i%entries+1)}
}

// startGroup starts the entries, the agents and one target on the first agent's host.
func startGroup(ctx context.Context, folder string, staleness time.Duration) (*group, error) {
	ctx, cancel := context.WithCancel(ctx)
	g := &group{cancel: cancel, processes: failstop.New()}
	for i, p := range peers() {
		s := &settings.Entry{
			Name: p.Name, Location: location(i), Peers: peers(), InternalAddress: p.Address,
			CallerAddress: entryHost(i) + ":7000", AdminAddress: entryHost(i) + ":7001",
			Control:        &settings.Control{DataFolder: filepath.Join(folder, p.Name)},
			StalenessBound: settings.Duration{Duration: staleness},
			DrainDelay:     settings.Duration{Duration: drainDelay},
		}
		s.SetDefaults()
		e, err := entry.New(entry.Options{Settings: s, Logger: zap.NewNop()})
		if err != nil {
			return nil, err
		}
		entryCtx, stop := context.WithCancel(ctx)
		g.stopEntry = append(g.stopEntry, stop)
		g.run(entryCtx, p.Name, e.Run)
	}
	for i := range agents {
		s := &settings.Agent{
			Name: fmt.Sprintf("host-%d", i+1), Location: location(i), Entries: peers(),
			Address: agentHost(i) + ":7010", LocalAddress: agentHost(i) + ":7011",
			HeartbeatInterval: settings.Duration{Duration: heartbeatInterval},
			StalenessBound:    settings.Duration{Duration: staleness},
		}
		s.SetDefaults()
		a, err := agent.New(agent.Options{Settings: s})
		if err != nil {
			return nil, err
		}
		g.run(ctx, s.Name, a.Run)
	}
	return g, g.startTarget(ctx)
}

func (g *group) startTarget(ctx context.Context) error {
	address := agentHost(0) + ":7030"
	ln, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	record, err := fakes.NewRecorder[fakes.ExecutedRequest]("")
	if err != nil {
		return err
	}
	t := fakes.NewTarget(fakes.TargetConfig{NoRecord: true, Announcement: fakes.Announcement{
		Name: targetName, Service: service, Address: address, Slots: 8, Connections: 64, TTLMS: 3000,
	}}, record)
	g.run(ctx, targetName, func(ctx context.Context) error { return t.Serve(ctx, ln, agentHost(0)+":7011") })
	return nil
}

// run runs f in the background; its error fails the process group.
func (g *group) run(ctx context.Context, name string, f func(context.Context) error) {
	g.processes.Go(name, func() {
		if err := f(ctx); err != nil {
			g.processes.Fail(err)
		}
	})
}

func (g *group) stop() {
	g.cancel()
	g.processes.Wait()
}

func (g *group) adminAddresses() []string {
	var list []string
	for i := range entries {
		list = append(list, entryHost(i)+":7001")
	}
	return list
}

// Package dev runs a whole system in one process for a first look: an entry with
// a control group of one, an agent, and stand-ins for the platform's worker and
// for two targets. Nothing of it is meant for service.
package dev

import (
	"context"
	"fmt"
	"io"
	"net"
	"os"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/conc"
	"go.uber.org/zap"

	"github.com/cairnlift/cairnlift/agent"
	apiv1 "github.com/cairnlift/cairnlift/api/v1"
	"github.com/cairnlift/cairnlift/entry"
	"github.com/cairnlift/cairnlift/fakes"
	"github.com/cairnlift/cairnlift/settings"
	"github.com/cairnlift/cairnlift/worker"
)

const (
	region            = "local"
	zone              = "local-a"
	rack              = "rack-1"
	host              = "host-1"
	milliProcessors   = 8000
	memoryBytes       = 16 << 30
	targetSlots       = 8
	targetConnections = 64
	announceTTL       = 3 * time.Second
	targetWork        = 5 * time.Millisecond
	usageLag          = 5 * time.Second
	drainDelay        = 100 * time.Millisecond
	shutdownBound     = 10 * time.Second
)

// Addresses are where the parts answer, each an IP number and a port.
type Addresses struct {
	// Callers, Admin and Internal are the entry's.
	Callers, Admin, Internal string
	// Agent answers the entry, AgentLocal the targets.
	Agent, AgentLocal string
	Worker            string
	Targets           []string
}

// DefaultAddresses returns fixed loopback addresses.
func DefaultAddresses() Addresses {
	return Addresses{
		Callers:    "127.0.0.1:8080",
		Admin:      "127.0.0.1:8081",
		Internal:   "127.0.0.1:8082",
		Agent:      "127.0.0.1:8083",
		AgentLocal: "127.0.0.1:8084",
		Worker:     "127.0.0.1:8085",
		Targets:    []string{"127.0.0.1:8086", "127.0.0.1:8087"},
	}
}

// Options say where the system runs and what it prints.
type Options struct {
	Addresses Addresses
	// DataFolder holds the replicated log; a temporary folder that is removed at
	// the end when empty.
	DataFolder string
	Logger     *zap.Logger
	// Out gets the commands to try.
	Out io.Writer
}

// Run runs the system until the context ends, then stops it gracefully.
func Run(ctx context.Context, o Options) error {
	if o.DataFolder == "" {
		folder, err := os.MkdirTemp("", "cairnlift-dev-")
		if err != nil {
			return errors.Wrap(err, "data folder")
		}
		defer func() { _ = os.RemoveAll(folder) }()
		o.DataFolder = folder
	}
	s, err := newSystem(o)
	if err != nil {
		return err
	}
	return s.run(ctx, o)
}

// system is all parts, made and not yet running.
type system struct {
	entry     *entry.Entry
	agent     *agent.Agent
	worker    *fakes.WorkerServer
	jobs      *jobsDemo
	targets   []*fakes.Target
	listeners []net.Listener
}

func newSystem(o Options) (*system, error) {
	s := &system{}
	for _, address := range append([]string{o.Addresses.Worker}, o.Addresses.Targets...) {
		ln, err := net.Listen("tcp", address)
		if err != nil {
			s.close()
			return nil, errors.Wrapf(err, "dev needs %s for itself", address)
		}
		s.listeners = append(s.listeners, ln)
	}
	if err := s.build(o); err != nil {
		s.close()
		return nil, err
	}
	return s, nil
}

func (s *system) close() {
	for _, ln := range s.listeners {
		_ = ln.Close()
	}
}

// build makes all parts; their goroutines start in run.
func (s *system) build(o Options) (err error) {
	s.entry, err = entry.New(entry.Options{Settings: entrySettings(o), Logger: o.Logger})
	if err != nil {
		return err
	}
	s.agent, err = agent.New(agent.Options{
		Settings: agentSettings(o.Addresses),
		Logger:   o.Logger,
		Worker:   worker.NewClient(o.Addresses.Worker),
	})
	if err != nil {
		return err
	}
	s.jobs = newJobsDemo(o)
	runs, err := fakes.NewRecorder[fakes.RunEvent]("")
	if err != nil {
		return err
	}
	s.worker = fakes.NewWorkerServer(workerConfig(), runs)
	for i, address := range o.Addresses.Targets {
		requests, err := fakes.NewRecorder[fakes.ExecutedRequest]("")
		if err != nil {
			return err
		}
		s.targets = append(s.targets, fakes.NewTarget(targetConfig(i, address), requests))
	}
	return nil
}

// run starts the parts and stops them in the order that cuts nothing off: the
// entry first, while agent and targets still serve what it passed on.
func (s *system) run(ctx context.Context, o Options) error {
	var wg conc.WaitGroup
	defer wg.Wait()
	rest, stopRest := context.WithCancel(context.Background())
	defer stopRest()
	failed := make(chan error, len(s.listeners)+1)
	start := func(run func(context.Context) error) {
		wg.Go(func() {
			if err := run(rest); err != nil {
				failed <- err
			}
		})
	}
	start(func(ctx context.Context) error { return s.worker.Serve(ctx, s.listeners[0]) })
	start(s.agent.Run)
	start(s.jobs.run)
	for i, t := range s.targets {
		start(func(ctx context.Context) error { return t.Serve(ctx, s.listeners[i+1], o.Addresses.AgentLocal) })
	}
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	wg.Go(func() {
		select {
		case err := <-failed:
			cancel(err)
		case <-rest.Done():
		}
	})
	printGuide(o)
	if err := s.entry.Run(ctx); err != nil {
		return err
	}
	if cause := context.Cause(ctx); !errors.Is(cause, context.Canceled) {
		return cause
	}
	return nil
}

func entrySettings(o Options) *settings.Entry {
	s := &settings.Entry{
		Name:            "entry-1",
		Location:        settings.Location{Region: region, AvailabilityZone: zone, Rack: rack},
		CallerAddress:   o.Addresses.Callers,
		AdminAddress:    o.Addresses.Admin,
		InternalAddress: o.Addresses.Internal,
		Peers:           []settings.Peer{{Name: "entry-1", Address: o.Addresses.Internal}},
		Control:         &settings.Control{DataFolder: o.DataFolder},
		DrainDelay:      settings.Duration{Duration: drainDelay},
		ShutdownBound:   settings.Duration{Duration: shutdownBound},
	}
	s.SetDefaults()
	return s
}

func agentSettings(a Addresses) *settings.Agent {
	s := &settings.Agent{
		Name:          host,
		Location:      settings.Location{Region: region, AvailabilityZone: zone, Rack: rack},
		Address:       a.Agent,
		LocalAddress:  a.AgentLocal,
		Entries:       []settings.Peer{{Name: "entry-1", Address: a.Internal}},
		Worker:        a.Worker,
		ShutdownBound: settings.Duration{Duration: shutdownBound},
	}
	s.SetDefaults()
	return s
}

func workerConfig() fakes.WorkerConfig {
	return fakes.WorkerConfig{
		Info: &apiv1.WorkerInfo{
			Name:     host,
			Location: &apiv1.Location{Region: region, AvailabilityZone: zone, Rack: rack},
			Capacity: &apiv1.Resources{MilliProcessors: milliProcessors, MemoryBytes: memoryBytes},
			// The stand-in loses its tasks with the process, so each start is another one.
			Incarnation: uint64(time.Now().UnixNano()),
		},
		RunFactor:   1,
		UsageFactor: 1,
		UsageLag:    usageLag,
	}
}

func targetConfig(i int, address string) fakes.TargetConfig {
	return fakes.TargetConfig{
		Announcement: fakes.Announcement{
			Name:        fmt.Sprintf("runner-%d", i+1),
			Service:     "bookings",
			Address:     address,
			Slots:       targetSlots,
			Connections: targetConnections,
			TTLMS:       announceTTL.Milliseconds(),
		},
		Work: targetWork,
	}
}

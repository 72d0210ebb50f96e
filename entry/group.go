package entry

import (
	"context"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"github.com/cairnlift/cairnlift/control"
	"github.com/cairnlift/cairnlift/place"
	"github.com/cairnlift/cairnlift/quorum/node"
)

// defaultCell names the cell of a deployment with a single log.
const defaultCell = "main"

// setUpControl creates the host's part of the control group: a replica if the settings have a
// control section, otherwise a follower of the other hosts.
func (e *Entry) setUpControl(o Options) {
	var others []string
	for _, p := range e.settings.Peers {
		if p.Name != e.settings.Name {
			others = append(others, p.Address)
		}
	}
	forwarder := control.NewForwarder(others, e.internalClient)
	c := e.settings.Control
	if c == nil {
		e.follower = forwarder
		e.useControl(forwarder)
		return
	}
	e.replica = control.NewReplica(control.Config{
		LeaseDuration:     c.LeaseDuration.Duration,
		ClockRateErrorPPM: c.ClockRateError,
		StalenessBound:    e.settings.StalenessBound.Duration,
		Planner:           place.New(place.Config{}),
		Forwarder:         forwarder,
		OnApplied:         e.notifyDispatcher,
		SubmitJob:         e.submitJob,
		Logger:            o.Logger,
		Metrics:           e.registry,
	})
	e.useControl(e.replica)
}

// useControl sets the control group that the entry uses.
func (e *Entry) useControl(c control.Service) {
	e.control = c
	e.renewals = newRenewalBatcher(c, e.log)
}

// startNode opens the data folder and joins the control group. It returns before the group is
// formed, since the other hosts must be able to connect to this one for that.
func (e *Entry) startNode(log *zap.Logger) error {
	c := e.settings.Control
	if c == nil {
		return nil
	}
	n, err := node.Start(node.Options{
		Cell:            defaultCell,
		Name:            e.settings.Name,
		Address:         e.settings.InternalAddress,
		Peers:           e.settings.Peers,
		Folder:          c.DataFolder,
		StateMachine:    e.replica,
		Logger:          log,
		Metrics:         e.registry,
		Tick:            c.HeartbeatInterval.Duration,
		ElectionTicks:   int(c.ElectionTimeout.Duration / c.HeartbeatInterval.Duration),
		HeartbeatTicks:  1,
		SnapshotEntries: c.SnapshotEntries,
	})
	if err != nil {
		return err
	}
	e.node = n
	e.replica.Attach(control.NodeLog{Node: n})
	return nil
}

// watchNode runs the replica and reports its failure. The entry then stops too, since its state
// would no longer be updated.
func (e *Entry) watchNode(ctx context.Context) {
	if e.node == nil {
		return
	}
	e.loops.Go("replica", func() {
		if err := e.replica.Run(ctx); err != nil {
			e.loops.Fail(err)
		}
	})
	e.loops.Go("log", func() {
		select {
		case err := <-e.node.Failed():
			e.loops.Fail(errors.Wrap(err, "control group replica"))
		case <-ctx.Done():
		}
	})
}

// stopNode transfers leadership and closes the data folder.
func (e *Entry) stopNode(ctx context.Context) {
	if e.node == nil {
		return
	}
	if err := e.node.Stop(ctx); err != nil {
		e.log.Error("replica did not stop cleanly", zap.Error(err))
	}
}

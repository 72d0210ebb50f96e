package dev

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/cairnlift/cairnlift/agent/runs"
	apiv1 "github.com/cairnlift/cairnlift/api/v1"
	"github.com/cairnlift/cairnlift/fakes"
	"github.com/cairnlift/cairnlift/jobclient"
	"github.com/cairnlift/cairnlift/jobqueue"
)

const (
	jobPool = "market"
	// jobTaskDuration is how long a task of a submitted job works at the stand-in.
	jobTaskDuration = time.Second
	// announceInterval is the time between the stand-in's announcements.
	announceInterval = time.Second
	jobMemoryMB      = 8192
)

// jobsDemo is a stand-in worker for submitted jobs with its agent's part.
type jobsDemo struct {
	client *jobclient.Client
	driver *runs.Driver
	worker *fakes.RunWorker
	log    *zap.Logger
}

func newJobsDemo(o Options) *jobsDemo {
	watch := fakes.NewRunChecker()
	worker := fakes.NewRunWorker(&apiv1.JobWorker{
		Id: "worker-" + time.Now().Format("150405.000"), Host: host, Pool: jobPool, AvailabilityZone: zone,
		CpuMilli: milliProcessors, MemoryMb: jobMemoryMB,
	}, watch)
	worker.Duration = func(jobqueue.TaskID) time.Duration { return jobTaskDuration }
	client := jobclient.New([]string{o.Addresses.Internal}, o.Logger)
	return &jobsDemo{
		client: client, worker: worker, log: o.Logger,
		driver: runs.New(runs.Options{Worker: worker, Leader: client, Logger: o.Logger.With(zap.String("demo", "jobs"))}),
	}
}

// run serves until the context ends.
func (d *jobsDemo) run(ctx context.Context) error {
	go d.client.Run(ctx)
	go d.announce(ctx)
	d.driver.Run(ctx)
	return nil
}

func (d *jobsDemo) announce(ctx context.Context) {
	ticker := time.NewTicker(announceInterval)
	defer ticker.Stop()
	for sequence := uint64(1); ctx.Err() == nil; sequence++ {
		if err := d.driver.Announce(runs.Announcement{Worker: d.worker.Spec, Sequence: sequence}); err != nil {
			d.log.Error("worker is not taken", zap.Error(err))
		}
		select {
		case <-ctx.Done():
		case <-ticker.C:
		}
	}
}

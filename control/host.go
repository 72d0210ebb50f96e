package control

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/conc"
	"go.uber.org/zap"

	"github.com/cairnlift/cairnlift/logging/event"
	"github.com/cairnlift/cairnlift/quorum/wal"
)

// diskCheckInterval is the time between two checks of a disk that refused a write. A full disk
// stays full for seconds at least, and each check costs one small synced write.
const diskCheckInterval = time.Second

// Host runs a control host whose replica may become unable to write to its disk.
type Host struct {
	// Replica runs the replica until the context ends or the replica fails.
	Replica func(context.Context) error
	// Directory serves without a replica until the context ends.
	Directory func(context.Context) error
	// CheckWritable returns an error while the disk refuses writes.
	CheckWritable func() error
	Logger        *zap.Logger
}

// Run runs the host until ctx ends or anything but a disk write fails.
//
// A replica stops at the first refused write, because nothing after it is known to be stored. A
// process that exited with its replica would be restarted, find the same full disk and exit again,
// once a second, and the host would not forward operators' requests in the meantime. The process
// therefore keeps running as a host without a replica, and restarts the replica from the stored
// data once the disk accepts writes again.
func (h Host) Run(ctx context.Context) error {
	for {
		err := h.Replica(ctx)
		var refused *wal.WriteError
		if ctx.Err() != nil || !errors.As(err, &refused) {
			return err
		}
		event.DiskUnwritable.Write(h.Logger, event.Err(err))
		if err := h.waitForDisk(ctx); err != nil || ctx.Err() != nil {
			return err
		}
		event.DiskWritable.Write(h.Logger)
	}
}

// waitForDisk serves without a replica until the disk accepts writes.
func (h Host) waitForDisk(ctx context.Context) error {
	serving, stop := context.WithCancel(ctx)
	defer stop()
	var checking conc.WaitGroup
	checking.Go(func() {
		defer stop()
		h.awaitWritable(serving)
	})
	err := h.Directory(serving)
	stop()
	checking.Wait()
	return err
}

// awaitWritable returns once a check has succeeded, or when ctx ends. The first check waits, too: a disk may
// accept checks and refuse what the replica writes.
func (h Host) awaitWritable(ctx context.Context) {
	ticker := time.NewTicker(diskCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		if h.CheckWritable() == nil {
			return
		}
	}
}

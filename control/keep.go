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

// diskCheckInterval is the time between looks at a disk that refused a write. A disk
// that is full stays so for seconds at least; each look costs one small synced write.
const diskCheckInterval = time.Second

// Host is a control host whose replica may lose the use of its disk.
type Host struct {
	// Replica runs the replica until the context ends, or it fails.
	Replica func(context.Context) error
	// Directory serves without a replica until the context ends.
	Directory func(context.Context) error
	// CheckWritable returns an error while the disk takes no writes.
	CheckWritable func() error
	Logger        *zap.Logger
}

// Run runs the host until ctx ends or something else than the disk fails.
//
// What goes wrong without it: a replica stops for good at the first refused write,
// since nothing after it is known to be stored. A process that ends with it is started
// again, finds the same full disk and ends again, once a second; nobody on the host
// passes operators on meanwhile. So the process stays, as a host without a replica, and
// starts the replica anew from what the disk holds once it takes writes.
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

// waitForDisk serves as a directory until the disk takes writes.
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

func (h Host) awaitWritable(ctx context.Context) {
	ticker := time.NewTicker(diskCheckInterval)
	defer ticker.Stop()
	for h.CheckWritable() != nil {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

package control_test

import (
	"context"
	"slices"
	"syscall"
	"testing"
	"testing/synctest"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"github.com/cairnlift/cairnlift/control"
	"github.com/cairnlift/cairnlift/quorum/wal"
)

// Symptom: a control process ends and starts again once a second, and its host passes
// nothing on.
// Sequence: the disk is full; after some seconds it has room again.
// Cause: the process ends with its replica.
// Evidence: on a day with a full disk one control process ended seven times, each
// time with "no space left on device" for the file of the log.
func TestFullDiskDoesNotStopTheHost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		var did []string
		full := 3
		h := control.Host{
			Logger: zap.NewNop(),
			Replica: func(ctx context.Context) error {
				did = append(did, "replica")
				if full > 0 {
					return errors.Wrap(&wal.WriteError{Op: "write", Cause: syscall.ENOSPC}, "replica")
				}
				cancel()
				return nil
			},
			Directory: func(ctx context.Context) error {
				did = append(did, "directory")
				<-ctx.Done()
				return nil
			},
			CheckWritable: func() error {
				full--
				if full > 0 {
					return syscall.ENOSPC
				}
				return nil
			},
		}
		if err := h.Run(ctx); err != nil {
			t.Fatal(err)
		}
		if want := []string{"replica", "directory", "replica"}; !slices.Equal(did, want) {
			t.Errorf("did %v, want %v", did, want)
		}
	})
}

// Symptom: a host whose log is damaged goes on as if it were well.
// Sequence: the replica finds damage in the middle of its log.
// Cause: every failure is taken for a disk that is full.
func TestOtherFailuresStopTheHost(t *testing.T) {
	damage := &wal.DamageError{File: "1.log"}
	h := control.Host{Logger: zap.NewNop(), Replica: func(context.Context) error { return damage }}
	if err := h.Run(t.Context()); !errors.Is(err, damage) {
		t.Errorf("error is %v", err)
	}
}

// Symptom: a host that is stopped while its disk is full never ends.
// Sequence: the disk is full; the process is told to stop.
// Cause: the look at the disk does not end with the process.
func TestHostStopsWhileTheDiskIsFull(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		h := control.Host{
			Logger:  zap.NewNop(),
			Replica: func(context.Context) error { return &wal.WriteError{Op: "sync", Cause: syscall.EIO} },
			Directory: func(ctx context.Context) error {
				cancel()
				<-ctx.Done()
				return nil
			},
			CheckWritable: func() error { return syscall.ENOSPC },
		}
		if err := h.Run(ctx); err != nil {
			t.Error(err)
		}
	})
}

package control_test

import (
	"context"
	"slices"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"github.com/cairnlift/cairnlift/control"
	"github.com/cairnlift/cairnlift/quorum/wal"
)

// A control process must not exit with its replica when the disk is full, because it would then
// restart and exit again once a second, and its host would forward nothing. The disk is full and
// has free space again some seconds later. On a day with a full disk, one control process exited
// seven times, each time with "no space left on device" for the log file.
func TestFullDiskDoesNotStopTheHost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		var calls []string
		full := 3
		h := control.Host{
			Logger: zap.NewNop(),
			Replica: func(ctx context.Context) error {
				calls = append(calls, "replica")
				if full > 0 {
					return errors.Wrap(&wal.WriteError{Op: "write", Cause: syscall.ENOSPC}, "replica")
				}
				cancel()
				return nil
			},
			Directory: func(ctx context.Context) error {
				calls = append(calls, "directory")
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
		if want := []string{"replica", "directory", "replica"}; !slices.Equal(calls, want) {
			t.Errorf("calls %v, want %v", calls, want)
		}
	})
}

// A host whose log is damaged must not continue as if it were healthy. The replica finds damage in
// the middle of its log, which must not be treated as a full disk.
func TestOtherFailuresStopTheHost(t *testing.T) {
	damage := &wal.DamageError{File: "1.log"}
	h := control.Host{Logger: zap.NewNop(), Replica: func(context.Context) error { return damage }}
	if err := h.Run(t.Context()); !errors.Is(err, damage) {
		t.Errorf("error is %v", err)
	}
}

// A host that is stopped while its disk is full must exit: the disk check must end with the
// process.
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

// Guards against a host that takes the whole processor: its disk accepts checks and refuses what the replica
// writes at its start.
func TestReplicaIsNotRestartedWithoutAPause(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const runTime, maxStarts = 10 * time.Second, 11
		ctx, cancel := context.WithTimeout(t.Context(), runTime)
		defer cancel()
		starts := 0
		h := control.Host{
			Logger: zap.NewNop(),
			Replica: func(context.Context) error {
				if starts++; starts > maxStarts {
					cancel()
				}
				return &wal.WriteError{Op: "sync", Cause: syscall.EIO}
			},
			Directory: func(ctx context.Context) error {
				<-ctx.Done()
				return nil
			},
			CheckWritable: func() error { return nil },
		}
		began := time.Now()
		_ = h.Run(ctx) // ends with the test's time
		if starts > maxStarts {
			t.Errorf("%d starts in %v", starts, time.Since(began))
		}
	})
}

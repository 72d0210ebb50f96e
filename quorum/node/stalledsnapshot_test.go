package node_test

import (
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"

	apiv1 "github.com/cairnlift/cairnlift/api/v1"
	"github.com/cairnlift/cairnlift/quorum"
	"github.com/cairnlift/cairnlift/quorum/node"
	"github.com/cairnlift/cairnlift/quorum/node/nodetest"
	"github.com/cairnlift/cairnlift/quorum/wal"
	"github.com/cairnlift/cairnlift/quorum/wal/waltest"
)

// stalledStorage is a data folder in which the write of a snapshot stalls until release is closed, and that
// refuses all else from the begin of that write on.
type stalledStorage struct {
	node.Storage
	staging, release chan struct{}
}

func (s stalledStorage) StageSnapshot(q *apiv1.QuorumSnapshot) error {
	close(s.staging)
	<-s.release
	return s.Storage.StageSnapshot(q)
}

func (s stalledStorage) Save(hs *apiv1.HardState, entries []*apiv1.LogEntry) error {
	select {
	case <-s.staging:
		return &wal.WriteError{Op: "write", Cause: syscall.ENOSPC}
	default:
		return s.Storage.Save(hs, entries)
	}
}

// Guards against a replica that failed and neither reports that nor gives up the leadership while the write of
// its snapshot stalls.
func TestFailureIsReportedWhileASnapshotStalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l, err := wal.Open(wal.Options{Folder: "/data", FS: waltest.NewDisk(1)})
		if err != nil {
			t.Fatal(err)
		}
		s := stalledStorage{l, make(chan struct{}), make(chan struct{})}
		n, err := node.Start(node.Options{
			Cell: "test", Name: "a", Address: "a", Storage: s, StateMachine: &nodetest.StateMachine{}, Tick: nodetest.Tick, SnapshotEntries: 5,
		})
		if err != nil {
			t.Fatal(err)
		}
		propose := func() { _, _, _ = n.Propose(nodetest.Within(time.Second), []byte("x")) } // fails before the election and at the end
		for begun := false; !begun; {
			propose()
			select {
			case <-s.staging:
				begun = true
			case <-time.After(nodetest.Tick):
			}
		}
		propose()
		time.Sleep(time.Minute)
		var refused *wal.WriteError
		select {
		case err := <-n.Failed():
			if !errors.As(err, &refused) {
				t.Error(err)
			}
		default:
			t.Error("no failure is reported")
		}
		if n.Status().Role == quorum.Leader {
			t.Error("the failed replica leads")
		}
		close(s.release)
		_ = n.Stop(nodetest.Within(time.Second)) // the error is the injected one
	})
}

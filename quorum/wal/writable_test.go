package wal_test

import (
	"testing"

	"github.com/cairnlift/cairnlift/quorum/wal"
	"github.com/cairnlift/cairnlift/quorum/wal/waltest"
)

// Guards against a replica that is started again and again on a disk that fails its first
// write, because the probe ignores a failed step or leaves its file behind. Each step of the
// probe fails in turn, then none fails.
func TestCheckWritable(t *testing.T) {
	disk := waltest.NewDisk(1)
	for step := 1; ; step++ {
		disk.FailAt(step, waltest.NoSpace)
		err := wal.CheckWritable(disk, "/data")
		if err == nil {
			if step < 3 { // Create and write take space; sync and remove do not.
				t.Fatalf("failure of step %d is not reported", step)
			}
			break
		}
		disk.FreeSpace()
		if err := wal.CheckWritable(disk, "/data"); err != nil {
			t.Fatalf("probe after a failure of step %d: %v", step, err)
		}
	}
	names, err := disk.List("/data")
	if err != nil || len(names) != 0 {
		t.Errorf("files %v are left, error %v", names, err)
	}
}

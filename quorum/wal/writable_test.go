package wal_test

import (
	"testing"

	"github.com/cairnlift/cairnlift/quorum/wal"
	"github.com/cairnlift/cairnlift/quorum/wal/waltest"
)

// Symptom: a replica is started on a disk that refuses its first write, again and again.
// Sequence: each single step of the probe fails in turn, then none does.
// Cause: a refused step that is taken for success, or a file that the probe leaves.
func TestCheckWritable(t *testing.T) {
	disk := waltest.NewDisk(1)
	for step := 1; ; step++ {
		disk.FailAt(step, waltest.NoSpace)
		err := wal.CheckWritable(disk, "/data")
		if err == nil {
			if step < 3 { // Create and write take space; sync and remove do not.
				t.Fatalf("step %d fails unnoticed", step)
			}
			break
		}
		disk.FreeSpace()
		if err := wal.CheckWritable(disk, "/data"); err != nil {
			t.Fatalf("after step %d: %v", step, err)
		}
	}
	names, err := disk.List("/data")
	if err != nil || len(names) != 0 {
		t.Errorf("%v is left, %v", names, err)
	}
}

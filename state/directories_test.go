package state

import (
	"fmt"
	"slices"
	"testing"

	apiv1 "github.com/cairnlift/cairnlift/api/v1"
)

// Guards against directories that a group forgets with a snapshot, that are recorded without a bound, or
// that are recorded under an address that no process can call.
func TestDirectoriesAreRecorded(t *testing.T) {
	m := New()
	record := func(address string) apiv1.Verdict {
		return m.Apply(m.index+1, &apiv1.Command{Body: &apiv1.Command_RecordDirectory{
			RecordDirectory: &apiv1.RecordDirectory{Address: address},
		}}).Verdict
	}
	for _, bad := range []string{"", "10.1.0.5", "host:7720", "10.1.0.5:", "10.1.0.5:70000"} {
		if got := record(bad); got != apiv1.Verdict_VERDICT_REFUSED {
			t.Errorf("%q: %v", bad, got)
		}
	}
	var want []string
	for i := range MaxDirectories + 2 {
		address := fmt.Sprintf("10.1.%d.%d:7720", i/250, i%250)
		if got := record(address); got != apiv1.Verdict_VERDICT_ACCEPTED {
			t.Fatalf("%s: %v", address, got)
		}
		if got := record(address); got != apiv1.Verdict_VERDICT_REPEATED {
			t.Fatalf("%s again: %v", address, got)
		}
		want = append(want, address)
	}
	want = want[2:]
	if !slices.Equal(m.Directories(), want) {
		t.Errorf("%d directories from %s on, want %d from %s on", len(m.directories), m.directories[0], len(want), want[0])
	}
	data, err := m.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	restored := New()
	if err := restored.Restore(data); err != nil || !slices.Equal(restored.Directories(), want) {
		t.Errorf("%d directories after a snapshot, %v", len(restored.directories), err)
	}
}

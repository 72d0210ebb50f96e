package record

import "testing"

// Guards against waits that a cordon causes and that are told as a lack of room.
func TestWaitCause(t *testing.T) {
	for workers, want := range map[string]Cause{
		"zone cordoned 25, disturbs 24, memory 25": WaitsForCapacity,
		"zone cordoned 50, disturbs 20, memory 4":  WaitsForCordon,
		"zone cordoned 74":                         WaitsForCordon,
		"disturbs 30, zone cordoned 25, memory 19": WaitsForInterference,
		"too slow 8, memory 3":                     WaitsForInterference,
		"":                                         WaitsUnexplained,
	} {
		if got := waitCause(workers); got != want {
			t.Errorf("%q: %v, want %v", workers, got, want)
		}
	}
}

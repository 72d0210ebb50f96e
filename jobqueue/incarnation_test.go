package jobqueue

import (
	"fmt"
	"testing"

	apiv1 "github.com/cairnlift/cairnlift/api/v1"
)

// TestIncarnationNames parses names, including those written before workers reported start times.
func TestIncarnationNames(t *testing.T) {
	for _, c := range []struct {
		name string
		want Incarnation
	}{
		{"w1", Incarnation{"w1", 0}},
		{"w1@1700000000000", Incarnation{"w1", 1_700_000_000_000}},
		{"a@b", Incarnation{"a@b", 0}},
		{"a@b@7", Incarnation{"a@b", 7}},
		{"a@-7", Incarnation{"a@-7", 0}},
		{"a@99999999999999999999", Incarnation{"a@99999999999999999999", 0}},
		{"", Incarnation{}},
	} {
		if got := ParseIncarnation(c.name); got != c.want {
			t.Errorf("%q is parsed as %v", c.name, got)
		}
	}
	for _, i := range []Incarnation{{"w1", 0}, {"w1", 7}, {"a@b", 0}, {"a@7", 0}, {"a@7", 8}, {"@", 0}} {
		if got := ParseIncarnation(i.Name()); got != i {
			t.Errorf("the name of %v is parsed as %v", i, got)
		}
	}
}

func TestIncarnationsAreOrderedPerWorker(t *testing.T) {
	first, second, other := Incarnation{"w1", 5}, Incarnation{"w1", 6}, Incarnation{"w2", 7}
	if !first.Precedes(second) || second.Precedes(first) || first.Precedes(first) || first.Precedes(other) {
		t.Error("incarnations are ordered incorrectly")
	}
	if !(Incarnation{WorkerID: "w1"}).Precedes(first) {
		t.Error("an incarnation with an unknown start time does not precede one with a known start time")
	}
}

func TestNewestIncarnations(t *testing.T) {
	m := New()
	for i, id := range []string{"w1@5", "w1@7", "w2", "w1@6"} {
		m.upsertWorker(&apiv1.ReportWorker{Worker: &apiv1.JobWorker{Id: id, Host: fmt.Sprint("h", i)}})
	}
	got := m.NewestIncarnations()
	if len(got) != 2 || got["w1"] != "w1@7" || got["w2"] != "w2" {
		t.Errorf("newest incarnations are %v", got)
	}
	for name, want := range map[string]string{"w1": "w1@7", "w1@5": "w1@5", "w2": "w2", "w3": "w3", "": ""} {
		if got := m.NewestIncarnation(name); got != want {
			t.Errorf("the newest incarnation of %q is %q", name, got)
		}
	}
}

// TestNewestIncarnationHasNotDeparted guards against host lists and placement advice that resolve
// to a departed incarnation because the wall clock went back before the current one started.
func TestNewestIncarnationHasNotDeparted(t *testing.T) {
	m := New()
	report := func(id string, departed bool) {
		m.Apply(&apiv1.JobsCommand{Body: &apiv1.JobsCommand_Report{Report: &apiv1.ReportWorker{
			Worker: &apiv1.JobWorker{Id: id, Host: "h1"}, Departed: departed,
		}}}, 0, 1)
	}
	report("w1@100", false)
	report("w1@100", true)
	report("w1@40", false)
	if name := m.NewestIncarnation("w1"); name != "w1@40" {
		t.Errorf("the newest incarnation is %s", name)
	}
	if name := m.NewestIncarnations()["w1"]; name != "w1@40" {
		t.Errorf("the newest incarnation is %s", name)
	}
}

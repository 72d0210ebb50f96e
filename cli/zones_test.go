package cli

import (
	"bytes"
	"context"
	"net/http/httptest"
	"strings"
	"testing"

	apiv1 "github.com/cairnlift/cairnlift/api/v1"
	"github.com/cairnlift/cairnlift/cordon"
	"github.com/cairnlift/cairnlift/jobapi"
)

// fakeZones knows two availability zones, of which one is cordoned.
type fakeZones struct {
	jobapi.Backend
	orders []cordon.Order
}

func (g *fakeZones) Read(context.Context, *apiv1.JobsReadRequest) (*apiv1.JobsReadResponse, error) {
	return &apiv1.JobsReadResponse{Outcome: apiv1.JobOutcome_JOB_OUTCOME_OK, Zones: []*apiv1.ZoneRecord{
		{Cordon: &apiv1.ZoneCordon{Zone: "north", Cordoned: true, Revision: 3, SinceMs: 1_000, Operator: "op"}, Workers: 2, Runs: 5},
		{Cordon: &apiv1.ZoneCordon{Zone: "south"}, Workers: 1},
	}}, nil
}

func (g *fakeZones) OrderZone(_ context.Context, o cordon.Order) (apiv1.JobOutcome, error) {
	g.orders = append(g.orders, o)
	if o.Zone == "east" {
		return apiv1.JobOutcome_JOB_OUTCOME_NO_ZONE, nil
	}
	return apiv1.JobOutcome_JOB_OUTCOME_OK, nil
}

// Checks the output and the exit codes of the commands about availability zones.
func TestZoneCommands(t *testing.T) {
	g := &fakeZones{}
	s := httptest.NewServer(jobapi.Handler(g))
	defer s.Close()
	for _, c := range []commandCase{
		{"zones list", 0, "north\tcordoned\t2 workers\t5 runs\t1970-01-01T00:00:01Z\top\nsouth\topen\t1 workers\t0 runs\t-\t-\n", ""},
		{"zones cordon north", 0, "accepted\n", ""},
		{"zones uncordon north --json", 0, "{\n  \"zone\": \"north\",\n  \"cordoned\": false\n}\n", ""},
		{"zones cordon east", 1, "", "no such availability zone"},
		{"zones cordon", 2, "", "zone"},
	} {
		c.check(t, s.URL)
	}
	if first := (cordon.Order{Zone: "north", Cordoned: true, Operator: "me"}); len(g.orders) != 3 || g.orders[0] != first {
		t.Errorf("orders: %v", g.orders)
	}
}

// Guards against a list whose JSON leaves out zones that are not cordoned.
func TestZoneListAsJSON(t *testing.T) {
	s := httptest.NewServer(jobapi.Handler(&fakeZones{}))
	defer s.Close()
	var out bytes.Buffer
	a := New()
	a.Stdout = &out
	if code := a.Run(t.Context(), []string{"-a", strings.TrimPrefix(s.URL, "http://"), "zones", "list", "--json"}); code != 0 {
		t.Fatalf("code %d", code)
	}
	if got := out.String(); strings.Count(got, `"zone"`) != 2 || !strings.Contains(got, `"cordoned": false`) {
		t.Errorf("list: %s", got)
	}
}

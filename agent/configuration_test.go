package agent_test

import (
	"fmt"
	"strings"
	"testing"

	apiv1 "github.com/cairnlift/cairnlift/api/v1"
	"github.com/cairnlift/cairnlift/configdelta"
)

// Symptom: an agent runs targets with slots that no version declares, or gets the
// whole configuration with each heartbeat. Sequence: an answer brings a damaged
// delta, then one is lost on the way, then they arrive whole.
// Cause: a delta applied without comparing its digest, or a request for the whole
// that is never taken back.
func TestConfigurationDeltas(t *testing.T) {
	t.Parallel()
	version := func(v uint64) *apiv1.Configuration {
		return &apiv1.Configuration{Version: v, Services: []*apiv1.Service{{Name: "bookings", Slots: int32(v)}}}
	}
	damaged := configdelta.Diff(version(1), version(2))
	damaged.Services[0].Insert[0] = &apiv1.Service{Name: "bookings", Slots: 9}
	answers := []*apiv1.HeartbeatResponse{
		{Configuration: version(1)},
		{Deltas: []*apiv1.ConfigurationDelta{damaged}},
		{ResendAgent: true}, // The entry is busy elsewhere and brings nothing.
		{Configuration: version(2)},
		{Deltas: []*apiv1.ConfigurationDelta{configdelta.Diff(version(2), version(3)), configdelta.Diff(version(3), version(4))}},
		{Deltas: []*apiv1.ConfigurationDelta{configdelta.Diff(version(5), version(6))}},
		{Configuration: version(6)},
	}
	// Version that each heartbeat names, and a w when it asks for the whole.
	asked := ""
	e := &fakeEntry{respond: func(req *apiv1.HeartbeatRequest) *apiv1.HeartbeatResponse {
		resp := &apiv1.HeartbeatResponse{}
		if len(answers) > 0 {
			resp, answers = answers[0], answers[1:]
		}
		asked += fmt.Sprint(req.ConfigurationVersion)
		if req.WholeConfiguration {
			asked += "w"
		}
		return resp
	}}
	r := newHarness(t, e, nil, nil)
	r.eventually("the last version is in force", func() bool {
		e.mu.Lock()
		defer e.mu.Unlock()
		return strings.Contains(asked, "6")
	})
	e.mu.Lock()
	defer e.mu.Unlock()
	if !strings.HasPrefix(asked, "011w1w244w6") {
		t.Errorf("asked %s", asked)
	}
}

package agent_test

import (
	"fmt"
	"strings"
	"testing"

	apiv1 "github.com/cairnlift/cairnlift/api/v1"
	"github.com/cairnlift/cairnlift/configdelta"
)

// TestConfigurationDeltas checks deltas that are corrupt, then missing one, then correct. If a
// delta is applied without comparing its digest, targets run with slots that no version
// declares; if the request for the whole configuration is never reset, each heartbeat transfers
// it.
func TestConfigurationDeltas(t *testing.T) {
	t.Parallel()
	version := func(v uint64) *apiv1.Configuration {
		return &apiv1.Configuration{Version: v, Services: []*apiv1.Service{{Name: "bookings", Slots: int32(v)}}}
	}
	damaged := configdelta.Diff(version(1), version(2))
	damaged.Services[0].Insert[0] = &apiv1.Service{Name: "bookings", Slots: 9}
	responses := []*apiv1.HeartbeatResponse{
		{Configuration: version(1)},
		{Deltas: []*apiv1.ConfigurationDelta{damaged}},
		{ResendAgent: true}, // The entry requests the announcement and sends no configuration.
		{Configuration: version(2)},
		{Deltas: []*apiv1.ConfigurationDelta{configdelta.Diff(version(2), version(3)), configdelta.Diff(version(3), version(4))}},
		{Deltas: []*apiv1.ConfigurationDelta{configdelta.Diff(version(5), version(6))}},
		{Configuration: version(6)},
	}
	// The version in each heartbeat, followed by w if it requests the whole configuration.
	requested := ""
	e := &fakeEntry{respond: func(req *apiv1.HeartbeatRequest) *apiv1.HeartbeatResponse {
		resp := &apiv1.HeartbeatResponse{}
		if len(responses) > 0 {
			resp, responses = responses[0], responses[1:]
		}
		requested += fmt.Sprint(req.ConfigurationVersion)
		if req.WholeConfiguration {
			requested += "w"
		}
		return resp
	}}
	r := newHarness(t, e, nil, nil)
	r.eventually("the last version is in force", func() bool {
		e.mu.Lock()
		defer e.mu.Unlock()
		return strings.Contains(requested, "6")
	})
	e.mu.Lock()
	defer e.mu.Unlock()
	if !strings.HasPrefix(requested, "011w1w244w6") {
		t.Errorf("requested %s", requested)
	}
}

package entry

import (
	"net/http"
	"testing"

	"go.uber.org/zap"

	apiv1 "github.com/cairnlift/cairnlift/api/v1"
	"github.com/cairnlift/cairnlift/settings"
)

// Guards against calls that are refused for lack of a target through an entry that has just been
// restarted. It was the home of the only agent, which has not found another home yet, so no other
// entry announces it.
func TestRestartedEntryWaitsForAgentsItWasHomeOf(t *testing.T) {
	h := newHarness(t, 1)
	h.awaitConfiguration()
	peer := settings.Peer{Name: "entry-1", Address: "127.0.0.1:1"}
	s := &settings.Entry{Name: "entry-0", InternalAddress: h.homeAddress, Peers: []settings.Peer{peer}}
	s.SetDefaults()
	e, err := newEntry(Options{Settings: s, Logger: zap.NewNop()})
	if err != nil {
		t.Fatal(err)
	}
	e.useControl(h.replica)
	e.applyConfiguration(h.replica.Configuration())
	push := &apiv1.SyncRequest{Entry: peer.Name, Full: true, UsableAgents: 1}
	sync := func() {
		t.Helper()
		if _, err := e.Sync(h.ctx, push); err != nil {
			t.Fatal(err)
		}
	}
	sync()
	if e.agentsKnown() {
		t.Error("the entry is ready without the agent that another entry knows")
	}
	if w := h.call(e, http.MethodGet, "/bookings/1", "", nil); w.Header().Get(HeaderReason) != "not-ready" {
		t.Errorf("got %d %s", w.Code, w.Body)
	}
	_, err = e.Heartbeat(h.ctx, &apiv1.HeartbeatRequest{Agent: &apiv1.AgentInfo{
		Name: "host-1", Address: "127.0.0.1:2", Incarnation: 1, Revision: 1,
		Targets: []*apiv1.TargetInfo{{Name: "t", Service: "bookings", Slots: 8, Connections: 64}},
	}})
	if err != nil {
		t.Fatal(err)
	}
	sync()
	if !e.agentsKnown() {
		t.Error("the entry is not ready although it knows the agent")
	}
}

package runs_test

import (
	"slices"
	"testing"
	"time"

	"github.com/cairnlift/cairnlift/agent/runs"
)

// Guards against a departure that is forgotten before its worker's next announcement, because a late one of
// a previous incarnation or one of another worker arrives after it.
func TestLaterDepartureReplacesNoOther(t *testing.T) {
	for name, before := range map[string]func(*leaving){
		"no session": func(*leaving) {},
		"session of a previous incarnation": func(h *leaving) {
			h.fail(errBroken)
			announce(h.t, h.d, runs.Announcement{Worker: workerSpec("w1@3"), Sequence: 9})
		},
	} {
		for _, departing := range []string{"w1", "w1@5"} {
			for _, later := range []string{"w1@4", "w0"} {
				t.Run(departing+", "+later+", "+name, func(t *testing.T) {
					l := &leader{epoch: 1, orders: idleOrders()}
					withLeavingWorker(t, l, func(h *leaving) {
						h.w.Drain()
						before(h)
						acknowledge := h.d.Depart(departing)
						h.d.Depart(later)
						time.Sleep(500 * time.Millisecond)
						h.w.renewError.Store(nil)
						h.announce()
						<-acknowledge
						h.fail(errNoListener)
						time.Sleep(time.Second)
						if ended, _ := l.provedEnds(); !slices.Contains(ended, "w1@5") {
							t.Errorf("reported the ends of %v", ended)
						}
					})
				})
			}
		}
	}
}

package entry

import (
	"net/http"
	"testing"

	apiv1 "github.com/cairnlift/cairnlift/api/v1"
)

// BenchmarkRequest measures a request from its arrival to its answer, with an agent that responds
// immediately over HTTP; the result is the cost of the entry's work and one hop.
func BenchmarkRequest(b *testing.B) {
	for _, c := range []struct {
		name, method string
		headers      map[string]string
	}{
		{"idempotent", http.MethodGet, nil},
		{"once", http.MethodPost, nil},
	} {
		b.Run(c.name, func(b *testing.B) {
			h := newHarness(b, 1)
			f := &faultyAgent{fault: func(*apiv1.DispatchRequest, *apiv1.DispatchResponse) {}}
			h.announceAgent(apiv1.NewAgentServer(f))
			b.ReportAllocs()
			b.RunParallel(func(pb *testing.PB) {
				for pb.Next() {
					if w := h.call(h.entries[0], c.method, "/bookings/1", "x", c.headers); w.Code != http.StatusOK && w.Code != http.StatusServiceUnavailable {
						b.Error(w.Code, w.Body)
					}
				}
			})
		})
	}
}

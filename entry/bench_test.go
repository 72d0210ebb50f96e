package entry

import (
	"net/http"
	"testing"

	apiv1 "github.com/cairnlift/cairnlift/api/v1"
)

// BenchmarkRequest measures a request from its arrival to its answer, with an
// agent that answers at once over HTTP; what is left is the entry's own work and
// one hop.
func BenchmarkRequest(b *testing.B) {
	for _, c := range []struct {
		name, method string
		headers      map[string]string
	}{
		{"idempotent", http.MethodGet, nil},
		{"once", http.MethodPost, nil},
	} {
		b.Run(c.name, func(b *testing.B) {
			g := newHarness(b, 1)
			f := &faultyAgent{fault: func(*apiv1.DispatchRequest, *apiv1.DispatchResponse) {}}
			g.announceAgent(apiv1.NewAgentServer(f))
			b.ReportAllocs()
			b.RunParallel(func(pb *testing.PB) {
				for pb.Next() {
					if w := g.call(g.entries[0], c.method, "/bookings/1", "x", c.headers); w.Code != http.StatusOK && w.Code != http.StatusServiceUnavailable {
						b.Error(w.Code, w.Body)
					}
				}
			})
		})
	}
}

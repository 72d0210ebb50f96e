package entry

import (
	"sync"
	"time"

	"github.com/cairnlift/cairnlift/admin"
)

// decisionRingSize is how many routing decisions are kept for operators.
const decisionRingSize = 1024

// routeDecision is what is kept of one routing decision.
type routeDecision struct {
	at         time.Time
	request    string
	attempt    uint32
	target     string
	candidates int
	reason     string
}

// decisionRing keeps the newest routing decisions.
type decisionRing struct {
	mu     sync.Mutex
	buffer [decisionRingSize]routeDecision
	next   int
}

func (d *decisionRing) add(one routeDecision) {
	d.mu.Lock()
	d.buffer[d.next%decisionRingSize] = one
	d.next++
	d.mu.Unlock()
}

// list returns the newest decisions about a request, or about all when it is
// empty, newest first.
func (d *decisionRing) list(request string, limit int) []admin.Decision {
	d.mu.Lock()
	defer d.mu.Unlock()
	out := []admin.Decision{}
	for i := d.next - 1; i >= max(0, d.next-decisionRingSize) && len(out) < limit; i-- {
		one := &d.buffer[i%decisionRingSize]
		if request != "" && one.request != request {
			continue
		}
		out = append(out, admin.Decision{
			TimeMs:     one.at.UnixMilli(),
			Part:       partRoute,
			Subject:    one.request,
			Attempt:    uint64(one.attempt),
			Chosen:     one.target,
			Candidates: one.candidates,
			Reason:     one.reason,
		})
	}
	return out
}

// The parts of the system that decide, as decision queries name them.
const (
	partRoute = "route"
	partPlace = "place"
)

package entry

import (
	"sync"
	"time"

	"github.com/cairnlift/cairnlift/admin"
)

// decisionRingSize is the number of routing decisions kept for operators' queries.
const decisionRingSize = 1024

// routeDecision is the record of one routing decision.
type routeDecision struct {
	at         time.Time
	request    string
	attempt    uint32
	target     string
	candidates int
	reason     string
}

// decisionRing is a ring buffer of the newest routing decisions.
type decisionRing struct {
	mu     sync.Mutex
	buffer [decisionRingSize]routeDecision
	next   int
}

func (d *decisionRing) add(decision routeDecision) {
	d.mu.Lock()
	d.buffer[d.next%decisionRingSize] = decision
	d.next++
	d.mu.Unlock()
}

// list returns at most limit decisions about a request, or about all requests when request is
// empty, newest first.
func (d *decisionRing) list(request string, limit int) []admin.Decision {
	d.mu.Lock()
	defer d.mu.Unlock()
	out := []admin.Decision{}
	for i := d.next - 1; i >= max(0, d.next-decisionRingSize) && len(out) < limit; i-- {
		decision := &d.buffer[i%decisionRingSize]
		if request != "" && decision.request != request {
			continue
		}
		out = append(out, admin.Decision{
			TimeMs:     decision.at.UnixMilli(),
			Part:       partRoute,
			Subject:    decision.request,
			Attempt:    uint64(decision.attempt),
			Chosen:     decision.target,
			Candidates: decision.candidates,
			Reason:     decision.reason,
		})
	}
	return out
}

// The parts of the system that make decisions, by their names in decision queries.
const (
	partRoute = "route"
	partPlace = "place"
)

package entry

import (
	"sync"

	"google.golang.org/protobuf/proto"

	apiv1 "github.com/cairnlift/cairnlift/api/v1"
	"github.com/cairnlift/cairnlift/configdelta"
)

const (
	// maxDeltas is how many of the last changes are kept for askers that are
	// behind: at 4,700 changes a day (docs/CAPACITY.md), those of 20 minutes.
	maxDeltas = 64
	// maxDeltaBytes bounds what they take together, and so an answer.
	maxDeltaBytes = 1 << 20
)

// deltaHistory keeps the last changes of a configuration for those that ask with
// an older version. It is safe for concurrent use.
type deltaHistory struct {
	// filter is what the askers get of a configuration.
	filter func(*apiv1.Configuration) *apiv1.Configuration

	mu     sync.Mutex
	newest *apiv1.Configuration
	deltas []*apiv1.ConfigurationDelta
	// deltaBytes is the encoded size of kept, whole that of newest.
	deltaBytes, newestBytes int
}

func newDeltaHistory(part func(*apiv1.Configuration) *apiv1.Configuration) *deltaHistory {
	return &deltaHistory{filter: part, newest: &apiv1.Configuration{}}
}

// updateSince returns what brings an asker that has a version up to cfg or a newer
// one: a chain of deltas, else the whole configuration, or neither when the asker
// is up to date. whole asks for no deltas.
func (h *deltaHistory) updateSince(cfg *apiv1.Configuration, have uint64, whole bool) (*apiv1.Configuration, []*apiv1.ConfigurationDelta) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.observe(cfg)
	if h.newest.GetVersion() <= have {
		return nil, nil
	}
	if !whole {
		if chain := h.chainFrom(have); chain != nil {
			return nil, chain
		}
	}
	return h.newest, nil
}

// observe adds the change to a configuration newer than the newest one seen. It
// runs before each answer and not beside it: were the change added later, each
// asker that came before it would get the whole configuration. mu is held.
func (h *deltaHistory) observe(cfg *apiv1.Configuration) {
	if cfg.GetVersion() <= h.newest.GetVersion() {
		return
	}
	old := h.newest
	h.newest = h.filter(cfg)
	h.newestBytes = proto.Size(h.newest)
	if old.GetVersion() == 0 {
		return
	}
	d := configdelta.Diff(old, h.newest)
	h.deltas = append(h.deltas, d)
	h.deltaBytes += proto.Size(d)
	for len(h.deltas) > maxDeltas || h.deltaBytes > maxDeltaBytes {
		h.deltaBytes -= proto.Size(h.deltas[0])
		h.deltas = h.deltas[1:]
	}
}

// chainFrom returns the unbroken chain from a version to the newest; nil when the
// version is older than what is kept, was passed over here, or when the chain is
// no shorter than the whole. mu is held.
func (h *deltaHistory) chainFrom(version uint64) []*apiv1.ConfigurationDelta {
	size := 0
	for i := len(h.deltas) - 1; i >= 0; i-- {
		size += proto.Size(h.deltas[i])
		if size >= h.newestBytes {
			return nil
		}
		if h.deltas[i].GetFromVersion() == version {
			return h.deltas[i:len(h.deltas):len(h.deltas)]
		}
	}
	return nil
}

func wholeConfiguration(cfg *apiv1.Configuration) *apiv1.Configuration { return cfg }

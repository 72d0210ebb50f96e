package entry

import (
	"sync"

	"google.golang.org/protobuf/proto"

	apiv1 "github.com/cairnlift/cairnlift/api/v1"
	"github.com/cairnlift/cairnlift/configdelta"
)

const (
	// maxDeltas is the number of recent changes kept for clients that are behind: at 4,700
	// changes a day (docs/CAPACITY.md), those of 20 minutes.
	maxDeltas = 64
	// maxDeltaBytes bounds the total size of the kept changes, and so the size of a response.
	maxDeltaBytes = 1 << 20
)

// deltaHistory keeps the recent changes of a configuration for clients that have an older version.
// It is safe for concurrent use.
type deltaHistory struct {
	// filter returns the part of a configuration that clients get.
	filter func(*apiv1.Configuration) *apiv1.Configuration

	mu     sync.Mutex
	newest *apiv1.Configuration
	deltas []*apiv1.ConfigurationDelta
	// deltaBytes is the encoded size of deltas, newestBytes that of newest.
	deltaBytes, newestBytes int
}

func newDeltaHistory(filter func(*apiv1.Configuration) *apiv1.Configuration) *deltaHistory {
	return &deltaHistory{filter: filter, newest: &apiv1.Configuration{}}
}

// updateSince returns the update for a client that has version have, to cfg or to a newer
// configuration: a chain of deltas if there is one, otherwise the whole configuration, or neither
// when the client is up to date. With whole set it returns no deltas.
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

// observe adds the change to cfg if cfg is newer than the newest configuration seen. It runs
// before each response and not concurrently: if the change were added later, every client whose
// request came before that would get the whole configuration. The caller must hold h.mu.
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

// chainFrom returns the unbroken chain of deltas from a version to the newest one. It returns nil
// when the version is older than the kept deltas or was never seen here, or when the chain is not
// smaller than the whole configuration. The caller must hold h.mu.
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

// wholeConfiguration is the filter of clients that get every part of the configuration.
func wholeConfiguration(cfg *apiv1.Configuration) *apiv1.Configuration { return cfg }

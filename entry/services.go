package entry

import (
	"sort"
	"strings"

	apiv1 "github.com/cairnlift/cairnlift/api/v1"
)

// serviceTable finds the service of a path. It is never changed once built.
type serviceTable struct {
	version uint64
	byName  map[string]*apiv1.Service
	// prefixes is sorted by length, longest first.
	prefixes []servicePrefix
}

type servicePrefix struct {
	prefix  string
	service *apiv1.Service
}

func newServiceTable(cfg *apiv1.Configuration) *serviceTable {
	t := &serviceTable{version: cfg.GetVersion(), byName: map[string]*apiv1.Service{}}
	for _, s := range cfg.GetServices() {
		t.byName[s.GetName()] = s
		for _, p := range s.GetPathPrefixes() {
			t.prefixes = append(t.prefixes, servicePrefix{prefix: strings.TrimSuffix(p, "/"), service: s})
		}
	}
	sort.SliceStable(t.prefixes, func(i, j int) bool {
		return len(t.prefixes[i].prefix) > len(t.prefixes[j].prefix)
	})
	return t
}

// match returns the service with the longest prefix of the path that ends at a
// path segment, nil when there is none.
func (t *serviceTable) match(path string) *apiv1.Service {
	for _, p := range t.prefixes {
		if hasPathPrefix(path, p.prefix) {
			return p.service
		}
	}
	return nil
}

// hasPathPrefix reports whether a path is at or below a prefix, by whole segments:
// /lotsX is not below /lots.
func hasPathPrefix(path, prefix string) bool {
	rest, ok := strings.CutPrefix(path, strings.TrimSuffix(prefix, "/"))
	return ok && (rest == "" || rest[0] == '/')
}

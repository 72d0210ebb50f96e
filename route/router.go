// Package route decides, for each request, whether it is admitted, which target it is sent to,
// whether it is retried and when it is hedged.
//
// It does no I/O: the caller passes the current time to each call, and random choices come from a
// seed. A Router may be called from many goroutines. Each service has a mutex of its own, which is
// locked for well under a microsecond per decision, and the map of services is read without a lock.
//
// The driver of a request makes these calls:
//
//	a := r.Admit(now, req)                   refused, queued or admitted
//	(queued: wait for req.Woken until a.LatestStart, then call Abandon)
//	c, ok := r.Pick(now, req)                choose a target
//	r.RecordSent(now, req, c.Target.ID)      before the attempt is sent
//	r.RecordOutcome(now, AttemptResult{...}) when the attempt has an outcome
//	d := r.Retry(now, req, ...)              if allowed, repeat from Pick
//	Deliver(r.Release(now, req, outcome))    once, when the request is finished
package route

import (
	"maps"
	"sync"
	"sync/atomic"
	"time"

	apiv1 "github.com/cairnlift/cairnlift/api/v1"
)

// Router holds the state of all services and their targets at one entry.
type Router struct {
	cfg Config

	// mu protects changes of the map of services, of serviceByTarget and of the entry names.
	mu       sync.Mutex
	services atomic.Pointer[map[string]*service]
	// serviceByTarget maps the id of a target to its service.
	serviceByTarget map[string]*service
	self            string
	entries         []string
}

// New returns a router without services or targets.
func New(cfg Config) *Router {
	r := &Router{cfg: cfg.withDefaults(), serviceByTarget: map[string]*service{}}
	r.services.Store(&map[string]*service{})
	return r
}

// service returns a service without locking the router's mutex, or nil if it is unknown.
func (r *Router) service(name string) *service {
	return (*r.services.Load())[name]
}

// ensureService returns the service. If it does not exist, ensureService creates it without a
// declaration. The caller must hold r.mu.
func (r *Router) ensureService(name string) *service {
	if s := r.service(name); s != nil {
		return s
	}
	next := maps.Clone(*r.services.Load())
	s := newService(name, r.cfg)
	s.setEntries(r.self, r.entries)
	next[name] = s
	r.services.Store(&next)
	return s
}

// SetService declares a service or changes its declaration.
func (r *Router) SetService(decl *apiv1.Service) {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.ensureService(decl.GetName())
	s.mu.Lock()
	defer s.mu.Unlock()
	s.declared = true
	s.objective = time.Duration(decl.GetObjectiveMs()) * time.Millisecond
}

// RemoveService removes the declaration of a service. New requests are refused, and so are queued
// ones, through the returned wakes. The targets stay known, so that they are available at once if
// the service is declared again.
func (r *Router) RemoveService(name string) []Wake {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.service(name)
	if s == nil {
		return nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.declared = false
	wakes := s.refuseQueued(apiv1.Reason_REASON_UNKNOWN_SERVICE, "service was removed")
	r.removeIfUnused(s)
	return wakes
}

// removeIfUnused removes a service that has neither a declaration nor targets. The caller must hold
// both locks.
func (r *Router) removeIfUnused(s *service) {
	if s.declared || len(s.targets) > 0 {
		return
	}
	next := maps.Clone(*r.services.Load())
	delete(next, s.name)
	r.services.Store(&next)
}

// SetEntries sets the name of this entry and the names of all entries, including this one. Until it
// is called, the router keeps every target of every service.
func (r *Router) SetEntries(self string, entries []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.self = self
	r.entries = append([]string(nil), entries...)
	for _, s := range *r.services.Load() {
		s.mu.Lock()
		s.setEntries(r.self, r.entries)
		s.mu.Unlock()
	}
}

// Tick refuses queued requests that can no longer finish in time and admits those for which there
// is capacity. A few calls a second are enough, because every Release does the latter for its
// service.
func (r *Router) Tick(now time.Time) []Wake {
	var wakes []Wake
	for _, s := range *r.services.Load() {
		s.mu.Lock()
		wakes = append(wakes, s.refuseExpired(now)...)
		wakes = append(wakes, s.startQueued(now)...)
		s.mu.Unlock()
	}
	return wakes
}

// Package route decides, for each request, whether it is admitted, which target
// gets it, whether it is tried again and when it is hedged.
//
// It does no I/O: the time comes in with each call and randomness comes from a
// seed. A Router may be called from many goroutines; each service has a mutex
// of its own, held for well under a microsecond per decision, and the map of
// services is read without a lock.
//
// The life of a request, as its driver sees it:
//
//	a := r.Admit(now, req)             refused, queued or admitted
//	(queued: wait for req.Woken or a.LatestStart, then call Abandon)
//	c, ok := r.Pick(now, req)          choose a target
//	r.Sent(now, req, c.Target.ID)      the attempt is on its way
//	r.Settled(now, Result{...})        the attempt has an outcome
//	d := r.Retry(now, req, ...)        again from Pick, if allowed
//	Deliver(r.Release(now, req, out))  once, when the request is over
package route

import (
	"maps"
	"sync"
	"sync/atomic"
	"time"

	apiv1 "github.com/cairnlift/cairnlift/api/v1"
)

// Router holds what one entry knows about services and their targets.
type Router struct {
	cfg Config

	// mu guards changes of the map, of owners and of the entry names.
	mu       sync.Mutex
	services atomic.Pointer[map[string]*service]
	// serviceByTarget maps a target id to the service that it serves.
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

// service finds a service without taking the router's lock; nil when unknown.
func (r *Router) service(name string) *service {
	return (*r.services.Load())[name]
}

// ensureService returns the service, creating it undeclared. r.mu is held.
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

// RemoveService takes a declaration back. New requests are refused; those that
// are queued are refused through the returned wakes. Targets stay known, so
// that a service declared again has them at once.
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

// removeIfUnused drops a service that is neither declared nor served. Both locks are held.
func (r *Router) removeIfUnused(s *service) {
	if s.declared || len(s.targets) > 0 {
		return
	}
	next := maps.Clone(*r.services.Load())
	delete(next, s.name)
	r.services.Store(&next)
}

// SetEntries tells the router its own name and those of all entries, itself
// included. Without it the router keeps every target of every service.
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

// Tick refuses queued requests that can no longer finish in time and wakes
// those that fit. Calling it a few times a second is enough: every Release does
// the same for its service.
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

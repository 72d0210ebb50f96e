package fakes

import (
	"context"
	"sync"
	"time"

	"github.com/cairnlift/cairnlift/dispatch"
	"github.com/cairnlift/cairnlift/schedule"
)

// Hosts is a stand-in for the platform's interface to its hosts: it checks fencing
// tokens, takes hosts down and up again, and may leave a call unanswered and carry
// it out late.
type Hosts struct {
	// Down is called when a host goes down for its maintenance, Up when it is back.
	Down func(host string)
	Up   func(host string)
	// Takes is how long a maintenance takes.
	Takes time.Duration
	// Fault is asked for each order; nil means that nothing goes wrong.
	Fault func(call string) OrderFault

	mu    sync.Mutex
	hosts map[string]*fleetHost
	most  map[uint64]int
}

type fleetHost struct {
	worker string
	up     bool
	term   uint64
	begun  map[uint64]bool
	wave   uint64
}

// Put adds a host, or tells of its worker's new incarnation.
func (f *Hosts) Put(host, worker string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.hosts == nil {
		f.hosts, f.most = map[string]*fleetHost{}, map[uint64]int{}
	}
	if f.hosts[host] == nil {
		f.hosts[host] = &fleetHost{up: true, begun: map[uint64]bool{}}
	}
	f.hosts[host].worker = worker
}

// MostDown is the largest number of hosts that were down for a wave at once.
func (f *Hosts) MostDown(wave uint64) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.most[wave]
}

// Begun reports whether a host had its maintenance in a wave.
func (f *Hosts) Begun(host string, wave uint64) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.hosts[host].begun[wave]
}

// List implements dispatch.Hosts.
func (f *Hosts) List(context.Context) (map[string]schedule.HostView, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	views := map[string]schedule.HostView{}
	for name, h := range f.hosts {
		views[name] = schedule.HostView{Worker: h.worker, Up: h.up}
	}
	return views, nil
}

// Maintain implements dispatch.Hosts.
func (f *Hosts) Maintain(ctx context.Context, term uint64, host string, wave uint64) (dispatch.HostAnswer, error) {
	var fault OrderFault
	if f.Fault != nil {
		fault = f.Fault("maintain")
	}
	if fault.Late > 0 {
		time.AfterFunc(fault.Late, func() { f.carryOut(term, host, wave) })
	}
	if fault.Lost || fault.Late > 0 {
		<-ctx.Done()
		return 0, ctx.Err()
	}
	return f.carryOut(term, host, wave), nil
}

func (f *Hosts) carryOut(term uint64, host string, wave uint64) dispatch.HostAnswer {
	f.mu.Lock()
	defer f.mu.Unlock()
	h := f.hosts[host]
	switch {
	case h == nil:
		return dispatch.HostRefused
	case term < h.term:
		return dispatch.HostFenced
	}
	h.term = term
	switch {
	case h.begun[wave]:
		return dispatch.HostDone
	case !h.up:
		return dispatch.HostBusy
	}
	h.up, h.wave, h.begun[wave] = false, wave, true
	down := 0
	for _, other := range f.hosts {
		if !other.up && other.wave == wave {
			down++
		}
	}
	f.most[wave] = max(f.most[wave], down)
	f.Down(host)
	time.AfterFunc(f.Takes, func() { f.back(host) })
	return dispatch.HostDone
}

func (f *Hosts) back(host string) {
	f.Up(host)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.hosts[host].up = true
}

package fakes

import (
	"context"
	"errors"
	"math"
	"slices"
	"sync"
	"time"

	"github.com/cairnlift/cairnlift/dispatch"
	"github.com/cairnlift/cairnlift/jobqueue"
	"github.com/cairnlift/cairnlift/schedule"
)

// Hosts is a stand-in for the platform's interface to its hosts: it checks fencing
// tokens, takes hosts down and up again, moves them between pools, and may leave a call
// unanswered and carry it out late.
type Hosts struct {
	// Down is called when a host goes down for its maintenance or a move, Up when it is
	// back, unless it is switched off then.
	Down func(host string)
	Up   func(host string)
	// Takes is how long a maintenance or a move takes.
	Takes time.Duration
	// Standby are the pools whose hosts are switched off.
	Standby map[string]bool
	// Stale is asked for each list; true answers with the hosts as they were before the
	// last change. Nil means that lists are up to date.
	Stale func() bool
	// CallsPerSecond is how many lists and orders are accepted in a second; 0 is no bound.
	CallsPerSecond int
	// Fault is asked for each order; nil means that nothing goes wrong.
	Fault func(call string) OrderFault

	mu    sync.Mutex
	hosts map[string]*fleetHost
	most  map[uint64]int
	// before are the hosts before the last change.
	before map[string]schedule.HostView
	// mostAway is the largest number of hosts that were between two pools at once.
	mostAway int
	// lists and orders count the calls, refused those that came too fast.
	lists, refused int
	orders         []HostOrder
	second         time.Time
	inSecond       int
}

// HostOrder is an order as it was sent, whatever became of it.
type HostOrder struct {
	Host  string
	Token uint64
	// Pool is where the host was to go, empty for maintenance in Wave.
	Pool string
	Wave uint64
}

type fleetHost struct {
	view   schedule.HostView
	token  uint64
	begun  map[uint64]bool
	wave   uint64
	moving bool
	busy   bool
}

// Put adds a host, or tells of its worker's new incarnation.
func (f *Hosts) Put(host, worker string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.hosts == nil {
		f.hosts, f.most = map[string]*fleetHost{}, map[uint64]int{}
	}
	if f.hosts[host] == nil {
		f.hosts[host] = &fleetHost{view: schedule.HostView{Up: true}, begun: map[uint64]bool{}}
	}
	f.before = f.views()
	f.hosts[host].view.Worker = worker
}

// Place says which pool a host is in and what it has; in a standby pool it is off.
func (f *Hosts) Place(host, pool string, capacity jobqueue.Resources) {
	f.mu.Lock()
	defer f.mu.Unlock()
	v := &f.hosts[host].view
	v.Pool, v.Capacity = pool, capacity
	v.Up, v.Down = !f.Standby[pool], f.Standby[pool]
	f.before = f.views()
}

// PoolOf returns the pool of a host.
func (f *Hosts) PoolOf(host string) string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.hosts[host].view.Pool
}

// SetBusy has the platform refuse orders about a host as busy.
func (f *Hosts) SetBusy(host string, busy bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.hosts[host].busy = busy
}

// Fence has another holder give an order about a host, under a higher token than any.
func (f *Hosts) Fence(host string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.hosts[host].token = math.MaxUint64
}

// Orders returns the orders in the sequence that they were sent in.
func (f *Hosts) Orders() []HostOrder {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.orders)
}

// Calls counts the lists and orders, and those that were refused as too many.
func (f *Hosts) Calls() (all, refused int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.lists + len(f.orders), f.refused
}

// MostAway is the largest number of hosts that were between two pools at once.
func (f *Hosts) MostAway() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.mostAway
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
	f.lists++
	if f.tooMany() {
		return nil, errTooManyCalls
	}
	if f.Stale != nil && f.Stale() {
		return f.before, nil
	}
	return f.views(), nil
}

func (f *Hosts) views() map[string]schedule.HostView {
	views := map[string]schedule.HostView{}
	for name, h := range f.hosts {
		views[name] = h.view
	}
	return views
}

var errTooManyCalls = errors.New("too many calls")

// tooMany counts a call.
func (f *Hosts) tooMany() bool {
	if second := time.Now().Truncate(time.Second); !second.Equal(f.second) {
		f.second, f.inSecond = second, 0
	}
	f.inSecond++
	if f.CallsPerSecond == 0 || f.inSecond <= f.CallsPerSecond {
		return false
	}
	f.refused++
	return true
}

// Maintain implements dispatch.Hosts.
func (f *Hosts) Maintain(ctx context.Context, token uint64, host string, wave uint64) (dispatch.HostAnswer, error) {
	return f.order(ctx, "maintain", HostOrder{Host: host, Token: token, Wave: wave})
}

// Move implements dispatch.Hosts.
func (f *Hosts) Move(ctx context.Context, token uint64, host, pool string) (dispatch.HostAnswer, error) {
	return f.order(ctx, "move", HostOrder{Host: host, Token: token, Pool: pool})
}

func (f *Hosts) order(ctx context.Context, call string, o HostOrder) (dispatch.HostAnswer, error) {
	f.mu.Lock()
	f.orders = append(f.orders, o)
	refused := f.tooMany()
	f.mu.Unlock()
	if refused {
		return 0, errTooManyCalls
	}
	var fault OrderFault
	if f.Fault != nil {
		fault = f.Fault(call)
	}
	if fault.Late > 0 {
		time.AfterFunc(fault.Late, func() { f.carryOut(o) })
	}
	if fault.Lost || fault.Late > 0 {
		<-ctx.Done()
		return 0, ctx.Err()
	}
	return f.carryOut(o), nil
}

func (f *Hosts) carryOut(o HostOrder) dispatch.HostAnswer {
	f.mu.Lock()
	defer f.mu.Unlock()
	h := f.hosts[o.Host]
	switch {
	case h == nil:
		return dispatch.HostRefused
	case o.Token < h.token:
		return dispatch.HostFenced
	}
	h.token = o.Token
	off := f.Standby[h.view.Pool] && h.view.Down
	switch {
	case o.Pool == "" && h.begun[o.Wave], o.Pool != "" && h.view.Pool == o.Pool:
		return dispatch.HostDone
	case h.busy, !h.view.Up && !off, o.Pool == "" && off:
		return dispatch.HostBusy
	}
	f.before = f.views()
	h.view.Up, h.view.Down = false, false
	if o.Pool == "" {
		f.maintain(h, o.Wave)
	} else {
		h.moving, h.view.Pool, h.view.Worker = true, o.Pool, ""
		f.mostAway = max(f.mostAway, f.count(func(h *fleetHost) bool { return h.moving }))
	}
	if !off {
		f.Down(o.Host)
	}
	time.AfterFunc(f.Takes, func() { f.back(o.Host) })
	return dispatch.HostDone
}

func (f *Hosts) maintain(h *fleetHost, wave uint64) {
	h.wave, h.begun[wave] = wave, true
	down := f.count(func(other *fleetHost) bool { return !other.view.Up && other.wave == wave })
	f.most[wave] = max(f.most[wave], down)
}

func (f *Hosts) count(match func(*fleetHost) bool) int {
	n := 0
	for _, h := range f.hosts {
		if match(h) {
			n++
		}
	}
	return n
}

func (f *Hosts) back(host string) {
	standby := f.Standby[f.PoolOf(host)]
	if !standby {
		f.Up(host)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.before = f.views()
	h := f.hosts[host]
	h.moving, h.view.Up, h.view.Down = false, !standby, standby
}

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

// Hosts is a stand-in for the platform's interface to its hosts. It checks fencing
// tokens, shuts hosts down and starts them again, moves them between pools, and can leave
// a call unanswered and execute it later.
type Hosts struct {
	// OnDown is called when a host goes down for maintenance or a move, and OnUp when it
	// is up again, unless it is switched off after the move.
	OnDown func(host string)
	OnUp   func(host string)
	// Duration is the duration of a maintenance or a move.
	Duration time.Duration
	// Standby contains the pools whose hosts are switched off.
	Standby map[string]bool
	// Stale is called for each list; if it returns true, the list contains the hosts as
	// they were before the last change. Nil means that lists are up to date.
	Stale func() bool
	// CallsPerSecond limits the lists and orders accepted per second; 0 means no limit.
	CallsPerSecond int
	// Fault returns the fault to apply to an order; nil means no faults.
	Fault func(call string) OrderFault

	mu      sync.Mutex
	hosts   map[string]*hostState
	maxDown map[uint64]int
	// previous contains the hosts as they were before the last change.
	previous map[string]schedule.HostView
	// maxMoving is the maximum number of hosts moving between pools at a time.
	maxMoving int
	// lists is the number of list calls; refused is the number of lists and orders
	// above CallsPerSecond.
	lists, refused int
	orders         []HostOrder
	window         time.Time
	callsInWindow  int
}

// HostOrder is an order as it was sent, whether or not it was executed.
type HostOrder struct {
	Host  string
	Token uint64
	// Pool is the destination of a move; it is empty for maintenance in Wave.
	Pool string
	Wave uint64
}

type hostState struct {
	view       schedule.HostView
	token      uint64
	maintained map[uint64]bool
	wave       uint64
	moving     bool
	busy       bool
}

// Put adds a host or sets the new incarnation of its worker.
func (f *Hosts) Put(host, worker string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.hosts == nil {
		f.hosts, f.maxDown = map[string]*hostState{}, map[uint64]int{}
	}
	if f.hosts[host] == nil {
		f.hosts[host] = &hostState{view: schedule.HostView{Up: true}, maintained: map[uint64]bool{}}
	}
	f.previous = f.views()
	f.hosts[host].view.Worker = worker
}

// SetPool sets the pool and the capacity of a host. In a standby pool it is switched off.
func (f *Hosts) SetPool(host, pool string, capacity jobqueue.Resources) {
	f.mu.Lock()
	defer f.mu.Unlock()
	v := &f.hosts[host].view
	v.Pool, v.Capacity = pool, capacity
	v.Up, v.Down = !f.Standby[pool], f.Standby[pool]
	f.previous = f.views()
}

// PoolOf returns the pool of a host.
func (f *Hosts) PoolOf(host string) string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.hosts[host].view.Pool
}

// SetBusy sets whether orders for a host are refused as busy.
func (f *Hosts) SetBusy(host string, busy bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.hosts[host].busy = busy
}

// Fence simulates an order for a host by another holder with the highest possible token,
// so that all further orders are fenced.
func (f *Hosts) Fence(host string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.hosts[host].token = math.MaxUint64
}

// Orders returns the orders in the sequence in which they were sent.
func (f *Hosts) Orders() []HostOrder {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.orders)
}

// Calls returns the number of lists and orders and how many of them exceeded
// CallsPerSecond.
func (f *Hosts) Calls() (all, refused int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.lists + len(f.orders), f.refused
}

// MaxMoving returns the maximum number of hosts that were moving between pools at a time.
func (f *Hosts) MaxMoving() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.maxMoving
}

// MaxDown returns the maximum number of hosts that were down for a wave at a time.
func (f *Hosts) MaxDown(wave uint64) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.maxDown[wave]
}

// Maintained reports whether the maintenance of a host in a wave has begun.
func (f *Hosts) Maintained(host string, wave uint64) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.hosts[host].maintained[wave]
}

// List implements dispatch.Hosts.
func (f *Hosts) List(context.Context) (map[string]schedule.HostView, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.lists++
	if f.exceedsCallLimit() {
		return nil, errTooManyCalls
	}
	if f.Stale != nil && f.Stale() {
		return f.previous, nil
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

// exceedsCallLimit counts a call and reports whether it exceeds CallsPerSecond. The
// caller must hold f.mu.
func (f *Hosts) exceedsCallLimit() bool {
	if window := time.Now().Truncate(time.Second); !window.Equal(f.window) {
		f.window, f.callsInWindow = window, 0
	}
	f.callsInWindow++
	if f.CallsPerSecond == 0 || f.callsInWindow <= f.CallsPerSecond {
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
	refused := f.exceedsCallLimit()
	f.mu.Unlock()
	if refused {
		return 0, errTooManyCalls
	}
	var fault OrderFault
	if f.Fault != nil {
		fault = f.Fault(call)
	}
	if fault.Late > 0 {
		time.AfterFunc(fault.Late, func() { f.execute(o) })
	}
	if fault.Lost || fault.Late > 0 {
		<-ctx.Done()
		return 0, ctx.Err()
	}
	if fault.Refused {
		return dispatch.HostRefused, nil
	}
	return f.execute(o), nil
}

func (f *Hosts) execute(o HostOrder) dispatch.HostAnswer {
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
	case o.Pool == "" && h.maintained[o.Wave], o.Pool != "" && h.view.Pool == o.Pool:
		return dispatch.HostDone
	case h.busy, !h.view.Up && !off, o.Pool == "" && off:
		return dispatch.HostBusy
	}
	f.previous = f.views()
	h.view.Up, h.view.Down = false, false
	if o.Pool == "" {
		f.startMaintenance(h, o.Wave)
	} else {
		h.moving, h.view.Pool, h.view.Worker = true, o.Pool, ""
		f.maxMoving = max(f.maxMoving, f.count(func(h *hostState) bool { return h.moving }))
	}
	if !off {
		f.OnDown(o.Host)
	}
	time.AfterFunc(f.Duration, func() { f.restore(o.Host) })
	return dispatch.HostDone
}

func (f *Hosts) startMaintenance(h *hostState, wave uint64) {
	h.wave, h.maintained[wave] = wave, true
	down := f.count(func(other *hostState) bool { return !other.view.Up && other.wave == wave })
	f.maxDown[wave] = max(f.maxDown[wave], down)
}

func (f *Hosts) count(match func(*hostState) bool) int {
	n := 0
	for _, h := range f.hosts {
		if match(h) {
			n++
		}
	}
	return n
}

func (f *Hosts) restore(host string) {
	standby := f.Standby[f.PoolOf(host)]
	if !standby {
		f.OnUp(host)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.previous = f.views()
	h := f.hosts[host]
	h.moving, h.view.Up, h.view.Down = false, !standby, standby
}

package httplimit

import (
	"container/list"
	"context"
	"net"
	"net/http"
	"net/netip"
	"sync"

	"github.com/rcrowley/go-metrics"
)

// Connections bounds the open connections of several servers together. A connection beyond the limit
// replaces one that is not in use: the one that has been idle, or without a whole request head, for
// longest, or else the one whose body has not gone on for longest. If there is none, the new
// connection is closed.
type Connections struct {
	limit int
	// protected is how many connections of an IP address are not closed for those of addresses that
	// have more. The first ones of an address replace even connections that are in use.
	protected int
	onClosed  func()
	open      metrics.Gauge

	mu        sync.Mutex
	conns     map[net.Conn]*trackedConn
	addresses map[netip.Addr]int
	// waiting and reading hold connections in the order of their last progress.
	waiting, reading *list.List
}

// NewConnections returns a bound that reports the number of open connections as a metric. onClosed is
// called for each connection that is closed to make room.
func NewConnections(limit, protected int, open metrics.Gauge, onClosed func()) *Connections {
	return &Connections{
		limit: limit, protected: protected, onClosed: onClosed, open: open, addresses: map[netip.Addr]int{},
		conns: map[net.Conn]*trackedConn{}, waiting: list.New(), reading: list.New(),
	}
}

// trackedConn is an open connection. Its methods do nothing on nil, or after its removal.
type trackedConn struct {
	owner   *Connections
	conn    net.Conn
	address netip.Addr
	// in is the list that holds the connection at position, nil while it is in use.
	in       *list.List
	position *list.Element
}

type connKey struct{}

func connOf(r *http.Request) *trackedConn {
	c, _ := r.Context().Value(connKey{}).(*trackedConn)
	return c
}

// Attach makes the connections of a server count. It must be called before the server is started.
func (c *Connections) Attach(s *http.Server) {
	s.ConnContext = func(ctx context.Context, conn net.Conn) context.Context {
		return context.WithValue(ctx, connKey{}, c.add(conn))
	}
	s.ConnState = c.setState
}

func (c *Connections) add(conn net.Conn) *trackedConn {
	t := &trackedConn{owner: c, conn: conn}
	if a, ok := conn.RemoteAddr().(*net.TCPAddr); ok {
		t.address = a.AddrPort().Addr()
	}
	c.mu.Lock()
	var victim *trackedConn
	if len(c.conns) >= c.limit {
		victim = c.victim(t)
		victim.remove()
	}
	if victim != t {
		c.conns[conn] = t
		c.addresses[t.address]++
		t.moveTo(c.waiting)
	}
	c.open.Update(int64(len(c.conns)))
	c.mu.Unlock()
	if victim != nil {
		_ = victim.conn.Close() // its server has no use for the error
		c.onClosed()
	}
	return t
}

// victim returns the connection that is closed for a new one, which may be the new one itself.
func (c *Connections) victim(added *trackedConn) *trackedConn {
	for _, l := range []*list.List{c.waiting, c.reading} {
		for e := l.Front(); e != nil; e = e.Next() {
			if t := e.Value.(*trackedConn); c.addresses[t.address] > c.protected {
				return t
			}
		}
	}
	victim := added
	if most := c.addresses[added.address]; most < c.protected {
		for _, t := range c.conns {
			if n := c.addresses[t.address]; n > max(most, c.protected) {
				victim, most = t, n
			}
		}
	}
	return victim
}

// setState implements http.Server.ConnState.
func (c *Connections) setState(conn net.Conn, state http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	t := c.conns[conn]
	if t == nil {
		return
	}
	switch state {
	case http.StateActive:
		t.moveTo(nil)
	case http.StateIdle:
		t.moveTo(c.waiting)
	case http.StateClosed, http.StateHijacked:
		t.remove()
		c.open.Update(int64(len(c.conns)))
	}
}

func (t *trackedConn) bodyBegan() {
	if t != nil {
		t.enter(t.owner.reading)
	}
}

func (t *trackedConn) bodyEnded() {
	if t != nil {
		t.enter(nil)
	}
}

// lingers marks a connection that stays open only until its client has received the response.
func (t *trackedConn) lingers() {
	if t != nil {
		t.enter(t.owner.waiting)
	}
}

func (t *trackedConn) enter(l *list.List) {
	t.owner.mu.Lock()
	defer t.owner.mu.Unlock()
	if t.owner.conns[t.conn] == t {
		t.moveTo(l)
	}
}

// progressed records that the body goes on.
func (t *trackedConn) progressed() {
	if t == nil {
		return
	}
	t.owner.mu.Lock()
	defer t.owner.mu.Unlock()
	if t.in != nil {
		t.in.MoveToBack(t.position)
	}
}

// moveTo moves the connection to the end of a list, or takes it off all lists. The owner is locked.
func (t *trackedConn) moveTo(l *list.List) {
	if t.in != nil {
		t.in.Remove(t.position)
	}
	t.in = l
	if l != nil {
		t.position = l.PushBack(t)
	}
}

// remove ends the tracking of the connection. The owner is locked.
func (t *trackedConn) remove() {
	t.moveTo(nil)
	if t.owner.conns[t.conn] != t {
		return
	}
	delete(t.owner.conns, t.conn)
	if t.owner.addresses[t.address]--; t.owner.addresses[t.address] == 0 {
		delete(t.owner.addresses, t.address)
	}
}

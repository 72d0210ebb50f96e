package forward

import (
	"context"
	"net"
	"net/http/httptrace"
	"sync"
	"sync/atomic"

	"github.com/cockroachdb/errors"
)

var errDiscarded = errors.New("connection gave an answer that belongs to another request")

// countingConn counts the bytes handed to the kernel, so that after an error it is
// certain whether any part of a request can have reached the target.
type countingConn struct {
	net.Conn
	written   atomic.Int64
	discarded atomic.Bool
}

// Write implements net.Conn.
func (c *countingConn) Write(b []byte) (int, error) {
	if c.discarded.Load() {
		return 0, errDiscarded
	}
	n, err := c.Conn.Write(b)
	c.written.Add(int64(n))
	return n, err
}

// discard closes the connection and keeps any later request off it. Without the
// mark a request that got hold of it just before could be written and then lost.
func (c *countingConn) discard() {
	c.discarded.Store(true)
	_ = c.Conn.Close()
}

// writeTracker follows the connections that one request was given.
type writeTracker struct {
	mu    sync.Mutex
	conns []usedConn
}

type usedConn struct {
	conn          *countingConn
	writtenBefore int64
}

func (s *writeTracker) trace(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: s.gotConn})
}

func (s *writeTracker) gotConn(info httptrace.GotConnInfo) {
	c, ok := info.Conn.(*countingConn)
	if !ok {
		panic("invariant: every connection to a target is counted")
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.conns = append(s.conns, usedConn{conn: c, writtenBefore: c.written.Load()})
}

// noConnection reports whether the request was not even given a connection.
func (s *writeTracker) noConnection() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns) == 0
}

// anyWritten reports whether any byte of the request was written.
func (s *writeTracker) anyWritten() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, u := range s.conns {
		if u.conn.written.Load() > u.writtenBefore {
			return true
		}
	}
	return false
}

func (s *writeTracker) discard() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, u := range s.conns {
		u.conn.discard()
	}
}

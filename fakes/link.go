package fakes

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/conc"
)

// LinkMode says what a link does with bytes.
type LinkMode string

// The modes of a link.
const (
	// LinkOpen forwards.
	LinkOpen LinkMode = "open"
	// LinkCut forwards nothing and closes nothing, as a network partition does:
	// both ends keep connections that carry nothing.
	LinkCut LinkMode = "cut"
	// LinkCutReplies forwards what the connecting side sends and holds the answers.
	LinkCutReplies LinkMode = "cut-replies"
	// LinkDropped closes its connections and takes no new ones.
	LinkDropped LinkMode = "dropped"
)

const (
	linkBuffer      = 64 << 10
	linkDialTimeout = time.Second
)

// LinkState is what a link does.
type LinkState struct {
	Mode    LinkMode `json:"mode"`
	DelayMS int64    `json:"delay_ms"`
}

// Link is a TCP proxy that can be cut. Bytes held by a cut are sent on once it
// is healed, as a network's retransmissions would.
type Link struct {
	upstream string

	mu      sync.Mutex
	changed chan struct{}
	state   LinkState
	conns   map[net.Conn]struct{}
}

// NewLink returns an open link to an address.
func NewLink(upstream string) *Link {
	return &Link{
		upstream: upstream,
		changed:  make(chan struct{}),
		state:    LinkState{Mode: LinkOpen},
		conns:    map[net.Conn]struct{}{},
	}
}

// Set changes what the link does.
func (l *Link) Set(s LinkState) error {
	switch s.Mode {
	case LinkOpen, LinkCut, LinkCutReplies, LinkDropped:
	default:
		return errors.Newf("a link has no mode %q", s.Mode)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.state = s
	close(l.changed)
	l.changed = make(chan struct{})
	if s.Mode == LinkDropped {
		l.closeAll()
	}
	return nil
}

func (l *Link) closeAll() {
	for c := range l.conns {
		_ = c.Close()
	}
}

// Serve forwards connections of listener until ctx ends.
func (l *Link) Serve(ctx context.Context, listener net.Listener) error {
	ctx, cancel := context.WithCancel(ctx)
	var wg conc.WaitGroup
	defer wg.Wait()
	defer cancel()
	context.AfterFunc(ctx, func() {
		_ = listener.Close()
		l.mu.Lock()
		defer l.mu.Unlock()
		l.closeAll()
	})
	for {
		conn, err := listener.Accept()
		if ctx.Err() != nil {
			return nil
		}
		if err != nil {
			return errors.Wrap(err, "link")
		}
		wg.Go(func() { l.proxy(ctx, conn) })
	}
}

func (l *Link) proxy(ctx context.Context, near net.Conn) {
	defer near.Close()
	if !l.track(ctx, near) {
		return
	}
	defer l.untrack(near)
	if !l.awaitMode(ctx, LinkOpen, LinkCutReplies) {
		return
	}
	far, err := net.DialTimeout("tcp", l.upstream, linkDialTimeout)
	if err != nil {
		return
	}
	defer far.Close()
	if !l.track(ctx, far) {
		return
	}
	defer l.untrack(far)
	var wg conc.WaitGroup
	wg.Go(func() { l.forward(ctx, far, near, LinkOpen, LinkCutReplies) })
	wg.Go(func() { l.forward(ctx, near, far, LinkOpen) })
	wg.Wait()
}

// track registers a connection so that it can be closed.
func (l *Link) track(ctx context.Context, c net.Conn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.state.Mode == LinkDropped || ctx.Err() != nil {
		return false
	}
	l.conns[c] = struct{}{}
	return true
}

func (l *Link) untrack(c net.Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.conns, c)
}

// forward copies one direction. The end of one direction ends both, since HTTP
// makes no use of half-closed connections.
func (l *Link) forward(ctx context.Context, to, from net.Conn, modes ...LinkMode) {
	defer to.Close()
	defer from.Close()
	buf := make([]byte, linkBuffer)
	for {
		n, err := from.Read(buf)
		if !l.awaitMode(ctx, modes...) {
			return
		}
		if _, werr := to.Write(buf[:n]); werr != nil {
			return
		}
		if err != nil {
			return
		}
	}
}

// awaitMode waits until the link is in one of the modes and then for its delay. It
// reports false when the link is dropped or ctx ended.
func (l *Link) awaitMode(ctx context.Context, modes ...LinkMode) bool {
	for {
		l.mu.Lock()
		state, changed := l.state, l.changed
		l.mu.Unlock()
		if state.Mode == LinkDropped {
			return false
		}
		for _, m := range modes {
			if state.Mode == m {
				time.Sleep(time.Duration(state.DelayMS) * time.Millisecond)
				return true
			}
		}
		select {
		case <-ctx.Done():
			return false
		case <-changed:
		}
	}
}

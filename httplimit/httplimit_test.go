package httplimit

import (
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rcrowley/go-metrics"
)

// echo reads the body, and responds with 200 if it can.
func echo(w http.ResponseWriter, r *http.Request) {
	if _, err := ReadAll(r); err != nil {
		w.WriteHeader(Refuse(w, r, err))
		return
	}
	if err := Reserve(r, 1000); err != nil {
		w.WriteHeader(Refuse(w, r, err))
	}
}

// Guards against a budget that runs dry: a kind of end leaves what the request held.
func TestBudgetIsReturned(t *testing.T) {
	large := strings.Repeat("x", 200<<10)
	panics := func(_ http.ResponseWriter, r *http.Request) {
		if _, err := ReadAll(r); err == nil {
			panic(http.ErrAbortHandler)
		}
	}
	readsNothing := func(http.ResponseWriter, *http.Request) {}
	discards := func(_ http.ResponseWriter, r *http.Request) { _, _ = io.Copy(io.Discard, r.Body) }
	for _, c := range []struct {
		name, text     string
		budget, factor int64
		handler        http.HandlerFunc
		status         int
		refused        error
	}{
		{"no body", "GET / HTTP/1.1\r\nHost: h\r\n\r\n", 1 << 20, 0, echo, 200, nil},
		{"announced", announced(len(large), large), 1 << 20, 0, echo, 200, nil},
		{"announced, with just the memory for it", announced(len(large), large), 400 << 10, 0, echo, 200, nil},
		{"chunked", chunked(large) + "0\r\n\r\n", 1 << 20, 0, echo, 200, nil},
		{"announced, counted at once", announced(len(large), large), 1 << 20, 2, discards, 200, nil},
		{"too large, announced", announced(testMaxBody+1, ""), 1 << 20, 0, echo, 413, ErrTooLarge},
		{"too large, chunked", chunked(large + large), 1 << 20, 0, echo, 413, ErrTooLarge},
		{"no length", chunked(large), 1 << 20, 2, discards, 411, nil},
		{"no memory for the body", announced(len(large), large), 128 << 10, 0, echo, 503, ErrBusy},
		{"no memory for what is announced", announced(len(large), ""), 128 << 10, 1, discards, 503, ErrBusy},
		{"stalled", announced(len(large), "x"), 1 << 20, 0, echo, 408, ErrTimeout},
		{"stalled, chunked", chunked("x"), 1 << 20, 0, echo, 408, ErrTimeout},
		{"stalled, not read by the handler", announced(100, "x"), 1 << 20, 0, readsNothing, 200, nil},
		{"malformed", strings.Replace(chunked("x"), "\r\nx", "\r\nxx", 1) + "zz", 1 << 20, 0, echo, 400, nil},
		{"panic", announced(1, "x"), 1 << 20, 0, panics, 0, nil},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newTestServer(t, c.budget, 10, c.factor, c.handler)
				conn := s.dial()
				send(conn, c.text)
				if got := status(conn); got != c.status {
					t.Errorf("status %d, want %d", got, c.status)
				}
				if c.refused != nil {
					if err := <-s.refused; !errors.Is(err, c.refused) {
						t.Errorf("refused: %v, want %v", err, c.refused)
					}
				}
				time.Sleep(time.Second)
				if c.status != http.StatusOK && isOpen(conn) {
					t.Error("the connection is open after a refusal")
				}
				_ = conn.Close() // the server may have closed it
				s.stop(t)
			})
		})
	}
}

// Guards against a crowd that holds the budget by stalling, or by what it only announces.
func TestStalledBodiesHoldTheBudgetForALimitedTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const budget = 1 << 20
		s := newTestServer(t, budget, 100, 0, echo)
		part := strings.Repeat("x", 130<<10)
		for range 20 {
			send(s.dial(), announced(200<<10, part))
		}
		synctest.Wait()
		if held := s.budget.Held(); held > budget || held < budget/4 {
			t.Errorf("%d bytes are held", held)
		}
		ordinary := s.dial()
		send(ordinary, announced(3, "abc"))
		if got := status(ordinary); got != http.StatusOK {
			t.Errorf("a small request beside the crowd got %d", got)
		}
		time.Sleep(testTimeout + time.Second)
		synctest.Wait()
		if held := s.budget.Held(); held != 0 {
			t.Errorf("%d bytes are held after the deadline", held)
		}
		_ = ordinary.Close()
		s.stop(t)
	})
}

// Guards against a client that is cut although it keeps its deadline, and against a request whose
// context ends because the deadline for its body passes after the body has arrived.
func TestSlowBodyIsServedAndItsHandlerIsNotCut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newTestServer(t, 1<<20, 10, 0, func(w http.ResponseWriter, r *http.Request) {
			echo(w, r)
			select {
			case <-r.Context().Done():
				t.Error("the request's context has ended")
			case <-time.After(2 * testTimeout):
			}
		})
		conn := s.dial()
		go func() {
			_, _ = io.WriteString(conn, announced(20, "")) // the response shows a failure
			for range 20 {
				time.Sleep(testTimeout / 25)
				_, _ = io.WriteString(conn, "x")
			}
		}()
		if got := status(conn); got != http.StatusOK {
			t.Errorf("status %d", got)
		}
		_ = conn.Close()
		s.stop(t)
	})
}

func TestReserveForSmallRequests(t *testing.T) {
	const limit = 8 * maxSmallRequest
	b := NewBudget(limit, 2*limit, metrics.NewGauge())
	large, other, sole := reservation{budget: b}, reservation{budget: b}, reservation{budget: b}
	if !large.grow(limit - limit/smallShare) {
		t.Fatal("the large part of the budget is not granted")
	}
	if other.grow(maxSmallRequest + 1) {
		t.Error("a large request got the reserve")
	}
	if !other.grow(1000) || other.grow(maxSmallRequest) {
		t.Error("a small request got no reserve, or kept it when it became large")
	}
	large.shrink(large.held)
	if !other.grow(maxSmallRequest) || !other.large || b.small.held != 0 {
		t.Error("a request that became large did not leave the reserve")
	}
	if sole.grow(limit) {
		t.Error("a second large request exceeded the budget")
	}
	other.shrink(other.held)
	if !sole.grow(limit) || !sole.grow(limit-1) || !sole.grow(1) || sole.grow(2) {
		t.Error("a sole request can't have the ceiling, or can exceed it")
	}
	sole.shrink(sole.held)
	if held := b.Held(); held != 0 {
		t.Errorf("%d bytes are held at the end", held)
	}
}

// Guards against connections that do nothing and keep callers out, and against a connection in use
// that is closed for a new one.
func TestConnectionsAreClosedInOrderOfProgress(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		release := make(chan struct{})
		s := newTestServer(t, 1<<20, 4, 0, func(w http.ResponseWriter, r *http.Request) {
			echo(w, r)
			if r.Method == http.MethodGet {
				<-release
			}
		})
		dial := func(text string) net.Conn {
			c := s.dial()
			send(c, text)
			time.Sleep(10 * time.Millisecond)
			return c
		}
		inUse := dial("GET / HTTP/1.1\r\nHost: h\r\n\r\n")
		slow := dial(announced(100, "x"))
		stalled := dial(announced(100, "x"))
		head := dial("GET / HTTP/1.1\r\nHo")
		send(slow, "x")
		time.Sleep(10 * time.Millisecond)
		for i, c := range []struct {
			name   string
			closed net.Conn
			next   string
		}{
			{"without a whole head", head, announced(100, "x")},
			{"stalled for longest", stalled, "GET / HTTP/1.1\r\nHost: h\r\n\r\n"},
			{"stalled", slow, "GET / HTTP/1.1\r\nHost: h\r\n\r\n"},
		} {
			dial(c.next)
			if s.closed.Load() != int64(i+1) || isOpen(c.closed) {
				t.Errorf("%s: open %v, %d connections were closed", c.name, isOpen(c.closed), s.closed.Load())
			}
		}
		dial("GET / HTTP/1.1\r\nHost: h\r\n\r\n") // closes the last body
		if refused := dial(""); s.closed.Load() != 5 || isOpen(refused) || !isOpen(inUse) {
			t.Errorf("with all connections in use, %d were closed", s.closed.Load())
		}
		close(release)
		s.stop(t)
	})
}

type addressedConn struct {
	net.Conn
	address net.Addr
}

func (c addressedConn) RemoteAddr() net.Addr { return c.address }

// Guards against a process that opens many connections and keeps another one out that needs a few.
func TestFirstConnectionsOfAnAddressAreProtected(t *testing.T) {
	const limit, protected = 8, 2
	c := NewConnections(limit, protected, metrics.NewGauge(), func() {})
	open := func(ip string) net.Conn {
		_, server := net.Pipe()
		conn := addressedConn{server, &net.TCPAddr{IP: net.ParseIP(ip)}}
		c.add(conn)
		return conn
	}
	idle := open("10.0.0.1")
	for range 2 * limit {
		c.setState(open("10.0.0.2"), http.StateActive)
	}
	if c.conns[idle] == nil {
		t.Error("the only connection of an address was closed for the many of another")
	}
	var few []net.Conn
	for range protected + 1 {
		few = append(few, open("10.0.0.3"))
		c.setState(few[len(few)-1], http.StateActive)
	}
	if c.conns[few[0]] == nil || c.conns[few[1]] == nil || c.conns[few[2]] != nil || len(c.conns) != limit {
		t.Errorf("of the connections of an address with few, not just the first %d are open", protected)
	}
}

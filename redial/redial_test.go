package redial_test

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"sync"
	"testing"
	"time"

	"github.com/cairnlift/cairnlift/redial"
)

// blackholeListener accepts connections. Once blackhole is called, the open connections deliver no
// data, while new ones work.
type blackholeListener struct {
	net.Listener
	mu    sync.Mutex
	conns []*blackholeConn
}

type blackholeConn struct {
	net.Conn
	mu         sync.Mutex
	blackholed bool
	closed     chan struct{}
	// deadlinePassed is closed once the read deadline has passed; a later deadline replaces it.
	deadlinePassed chan struct{}
}

func (l *blackholeListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	opened := &blackholeConn{Conn: c, closed: make(chan struct{}), deadlinePassed: make(chan struct{})}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.conns = append(l.conns, opened)
	return opened, nil
}

func (l *blackholeListener) blackhole() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, open := range l.conns {
		open.mu.Lock()
		open.blackholed = true
		open.mu.Unlock()
	}
}

func (l *blackholeConn) Read(b []byte) (int, error) {
	n, err := l.Conn.Read(b)
	l.mu.Lock()
	blackholed, deadlinePassed := l.blackholed, l.deadlinePassed
	l.mu.Unlock()
	if !blackholed || err != nil {
		return n, err
	}
	select {
	case <-l.closed:
		return 0, net.ErrClosed
	case <-deadlinePassed:
		return 0, os.ErrDeadlineExceeded
	}
}

// SetReadDeadline also ends a blackholed read: after it has responded, the server ends its pending
// background read by a deadline and waits until the read has returned.
func (l *blackholeConn) SetReadDeadline(t time.Time) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	past := !t.IsZero() && !t.After(time.Now())
	select {
	case <-l.deadlinePassed:
		if !past {
			l.deadlinePassed = make(chan struct{})
		}
	default:
		if past {
			close(l.deadlinePassed)
		}
	}
	return l.Conn.SetReadDeadline(t)
}

func (l *blackholeConn) Close() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	select {
	case <-l.closed:
	default:
		close(l.closed)
	}
	return l.Conn.Close()
}

// Calls to a host must not continue to time out after the host is back. Several connections are
// idle and all of them become blackholed, while new connections work; this guards against each
// blackholed connection costing a timed-out call of its own.
func TestTimeoutClosesAllUnresponsiveConnections(t *testing.T) {
	const idle = 6
	var together sync.WaitGroup
	together.Add(idle)
	listener := &blackholeListener{}
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/together" {
			together.Done()
			together.Wait()
		}
	}))
	listener.Listener = server.Listener
	server.Listener = listener
	server.Start()
	defer server.Close()
	client := &http.Client{Transport: redial.New(redial.Options{
		DialTimeout: time.Second, MaxIdlePerHost: idle, IdleTimeout: time.Minute,
	})}
	var calls sync.WaitGroup
	for range idle {
		calls.Go(func() {
			if err := get(client, server.URL+"/together", 10*time.Second); err != nil {
				t.Error(err)
			}
		})
	}
	calls.Wait()
	listener.blackhole()
	if err := get(client, server.URL, 100*time.Millisecond); err == nil {
		t.Fatal("a call on a blackholed connection succeeded")
	}
	if err := get(client, server.URL, 10*time.Second); err != nil {
		t.Fatalf("the call after the first timeout: %v", err)
	}
}

func get(c *http.Client, url string, timeout time.Duration) error {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return err
	}
	resp, err := c.Do(r)
	if err != nil {
		return err
	}
	return resp.Body.Close()
}

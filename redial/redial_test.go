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

// blackholeListener accepts connections and hands them on, until they are silenced: then
// nothing passes on those that are open, while new ones work.
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
	// deadlinePassed is closed while the read deadline has passed.
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
	silent, ended := l.blackholed, l.deadlinePassed
	l.mu.Unlock()
	if !silent || err != nil {
		return n, err
	}
	select {
	case <-l.closed:
		return 0, net.ErrClosed
	case <-ended:
		return 0, os.ErrDeadlineExceeded
	}
}

// SetReadDeadline ends a held read as it does any other: the server ends the read
// that it waits in once it has answered, and waits until it has returned.
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

// Symptom: calls to a host go on timing out after it is back.
// Sequence: several connections are idle; all of them go silent; new connections
// work.
// Cause: each silent connection is found out by a call of its own.
func TestTimeoutClosesAllUnresponsiveConnections(t *testing.T) {
	const idle = 6
	var together sync.WaitGroup
	together.Add(idle)
	links := &blackholeListener{}
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/together" {
			together.Done()
			together.Wait()
		}
	}))
	links.Listener = server.Listener
	server.Listener = links
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
	links.blackhole()
	if err := get(client, server.URL, 100*time.Millisecond); err == nil {
		t.Fatal("a silent connection answered")
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

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

// silentLinks accepts connections and hands them on, until they are silenced: then
// nothing passes on those that are open, while new ones work.
type silentLinks struct {
	net.Listener
	mu    sync.Mutex
	links []*link
}

type link struct {
	net.Conn
	mu     sync.Mutex
	silent bool
	closed chan struct{}
	// ended is closed while the read deadline has passed.
	ended chan struct{}
}

func (l *silentLinks) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	opened := &link{Conn: c, closed: make(chan struct{}), ended: make(chan struct{})}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.links = append(l.links, opened)
	return opened, nil
}

func (l *silentLinks) silence() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, open := range l.links {
		open.mu.Lock()
		open.silent = true
		open.mu.Unlock()
	}
}

func (l *link) Read(b []byte) (int, error) {
	n, err := l.Conn.Read(b)
	l.mu.Lock()
	silent, ended := l.silent, l.ended
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
func (l *link) SetReadDeadline(t time.Time) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	past := !t.IsZero() && !t.After(time.Now())
	select {
	case <-l.ended:
		if !past {
			l.ended = make(chan struct{})
		}
	default:
		if past {
			close(l.ended)
		}
	}
	return l.Conn.SetReadDeadline(t)
}

func (l *link) Close() error {
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
func TestOneTimeoutDropsAllSilentConnections(t *testing.T) {
	const idle = 6
	var together sync.WaitGroup
	together.Add(idle)
	links := &silentLinks{}
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
	links.silence()
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

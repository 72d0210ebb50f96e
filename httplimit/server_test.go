package httplimit

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rcrowley/go-metrics"
)

const (
	testMaxBody = 256 << 10
	testTimeout = 3 * time.Second
)

// testServer is a server in a synctest bubble.
type testServer struct {
	budget  *Budget
	conns   *Connections
	closed  atomic.Int64
	accept  chan net.Conn
	refused chan error
	server  *http.Server
}

func newTestServer(t *testing.T, budget int64, connections int, factor int64, h http.HandlerFunc) *testServer {
	t.Helper()
	const maxRefused = 100
	s := &testServer{accept: make(chan net.Conn), refused: make(chan error, maxRefused)}
	s.budget = NewBudget(budget, budget, metrics.NewGauge())
	s.conns = NewConnections(connections, 0, metrics.NewGauge(), func() { s.closed.Add(1) })
	l := &Limits{
		Budget: func(*http.Request) *Budget { return s.budget }, MaxBody: testMaxBody, AnnouncedFactor: factor,
		BodyTimeout: func(*http.Request) time.Duration { return testTimeout },
		WriteError:  func(w http.ResponseWriter, status int, _ string) { w.WriteHeader(status) },
		OnRefused:   func(err error) { s.refused <- err },
		Metrics:     NewRequestMetrics(metrics.NewRegistry()),
	}
	s.server = &http.Server{Handler: l.Handler(h)}
	s.conns.Attach(s.server)
	go func() { _ = s.server.Serve(s) }() // ends with Close
	return s
}

// Accept, Close and Addr implement net.Listener.
func (s *testServer) Accept() (net.Conn, error) {
	c, ok := <-s.accept
	if !ok {
		return nil, net.ErrClosed
	}
	return c, nil
}

func (s *testServer) Close() error { close(s.accept); return nil }

func (s *testServer) Addr() net.Addr { return &net.TCPAddr{} }

func (s *testServer) dial() net.Conn {
	client, server := net.Pipe()
	s.accept <- server
	return client
}

// stop closes the server and checks that nothing is held.
func (s *testServer) stop(t *testing.T) {
	t.Helper()
	_ = s.server.Close()    // closes the listener, which returns no error
	time.Sleep(time.Second) // refused connections stay open for a moment
	synctest.Wait()
	if held := s.budget.Held(); held != 0 {
		t.Errorf("%d bytes are held at the end", held)
	}
	if n := len(s.conns.conns) + s.conns.waiting.Len() + s.conns.reading.Len(); n != 0 {
		t.Errorf("%d connections are tracked at the end", n)
	}
}

// send writes a text in the background, as a client that does not wait for a response.
func send(c net.Conn, text string) {
	go func() { _, _ = io.WriteString(c, text) }() // the server may close the connection
}

// status reads one response, and returns 0 if the connection is closed instead.
func status(c net.Conn) int {
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0
	}
	return resp.StatusCode
}

func announced(length int, body string) string {
	return fmt.Sprintf("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", length, body)
}

func chunked(body string) string {
	return fmt.Sprintf("POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n", len(body), body)
}

// isOpen reports whether the server has not closed a connection. The client must not expect a response.
func isOpen(c net.Conn) bool {
	_ = c.SetReadDeadline(time.Now().Add(time.Millisecond)) // fails on a closed pipe only
	_, err := c.Read(make([]byte, 1))
	timeout, ok := err.(net.Error)
	return ok && timeout.Timeout()
}

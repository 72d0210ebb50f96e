package soak

import (
	"io"
	"net"
	"os"
	"syscall"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
)

// startEchoServer serves connections that send back what they get.
func startEchoServer(t *testing.T) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() { _, _ = io.Copy(conn, conn) }()
		}
	}()
	return listener.Addr().String()
}

func dial(t *testing.T, l *link) net.Conn {
	conn, err := tryDial(t, l)
	if err != nil {
		t.Fatal(err)
	}
	return conn
}

func tryDial(t *testing.T, l *link) (net.Conn, error) {
	conn, err := net.Dial("tcp", l.listener.Addr().String())
	if err == nil {
		t.Cleanup(func() { _ = conn.Close() })
	}
	return conn, err
}

const (
	silenceTimeout = 200 * time.Millisecond
	answerTimeout  = 10 * time.Second
)

// receivesByte sends a byte if told so, and reports whether one comes back within a time.
func receivesByte(conn net.Conn, send bool, within time.Duration) (bool, error) {
	if send {
		if _, err := conn.Write([]byte{1}); err != nil {
			return false, err
		}
	}
	_ = conn.SetReadDeadline(time.Now().Add(within)) // a read tells if it failed
	n, err := conn.Read(make([]byte, 1))
	return n == 1, err
}

// TestLinkModes guards against plays whose faults of the network do not happen.
func TestLinkModes(t *testing.T) {
	for _, c := range []struct {
		mode             linkMode
		present, further string
	}{
		{linkRestore, "works", "works"}, {linkDelay, "works", "works"}, {linkReset, "ends", "works"}, {linkRefuse, "ends", "ends"},
		{linkStallExisting, "silent", "works"}, {linkBlackhole, "silent", "silent"}, {linkOneWay, "silent", "silent"},
	} {
		l, err := newLink("127.0.0.1:0", startEchoServer(t))
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(l.close)
		present := dial(t, l)
		if ok, err := receivesByte(present, true, answerTimeout); !ok {
			t.Fatal(err)
		}
		l.setMode(c.mode)
		conns := map[net.Conn]string{present: c.present}
		further, err := tryDial(t, l)
		switch {
		case err == nil:
			conns[further] = c.further
		case c.further != "ends" || !errors.Is(err, syscall.ECONNRESET): // a reset may reach the dial
			t.Fatal(err)
		}
		for conn, want := range conns {
			expectState(t, c.mode, conn, want)
		}
		l.setMode(linkRestore)
		for conn, was := range conns {
			if was != "silent" {
				continue
			}
			if ok, err := receivesByte(conn, false, answerTimeout); !ok {
				t.Errorf("%s: what was held back is lost: %v", c.mode, err)
			}
		}
	}
}

func expectState(t *testing.T, mode linkMode, conn net.Conn, want string) {
	t.Helper()
	within := answerTimeout
	if want == "silent" {
		within = silenceTimeout
	}
	ok, err := receivesByte(conn, true, within)
	is := "ends"
	if ok {
		is = "works"
	} else if errors.Is(err, os.ErrDeadlineExceeded) {
		is = "silent"
	}
	if is != want {
		t.Errorf("%s: a connection %s (%v), want %s", mode, is, err, want)
	}
}

package fakes

import (
	"context"
	"io"
	"net"
	"testing"
	"time"

	"github.com/sourcegraph/conc"
)

// A connection that stands when its link is cut hears nothing and is not closed;
// what was sent meanwhile arrives once the link is healed.
func TestLinkCutKeepsConnectionsOpen(t *testing.T) {
	echo := localListener(t)
	ctx, cancel := context.WithCancel(context.Background())
	var wg conc.WaitGroup
	defer wg.Wait()
	defer cancel()
	received := make(chan byte, 16)
	wg.Go(func() {
		conn, err := echo.Accept()
		if err != nil {
			return
		}
		defer conn.Close()
		b := make([]byte, 1)
		for _, err := conn.Read(b); err == nil; _, err = conn.Read(b) {
			received <- b[0]
			_, _ = conn.Write(b)
		}
	})
	listener := localListener(t)
	link := NewLink(echo.Addr().String())
	wg.Go(func() { _ = link.Serve(ctx, listener) })
	conn, err := net.Dial("tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	reads := func(wait time.Duration) error {
		_ = conn.SetReadDeadline(time.Now().Add(wait))
		_, err := conn.Read(make([]byte, 1))
		return err
	}
	const long, short = 10 * time.Second, 50 * time.Millisecond
	for _, c := range []struct {
		mode    LinkMode
		arrives int
	}{{LinkCut, 0}, {LinkCutReplies, 1}} {
		_, _ = conn.Write([]byte("a"))
		if err := reads(long); err != nil || <-received != 'a' {
			t.Fatalf("an open link: %v", err)
		}
		_ = link.Set(LinkState{Mode: c.mode})
		_, _ = conn.Write([]byte("b"))
		if err := reads(short); err == nil || err == io.EOF {
			t.Errorf("%s: reading gave %v, want silence", c.mode, err)
		}
		if len(received) != c.arrives {
			t.Errorf("%s: %d bytes arrived, want %d", c.mode, len(received), c.arrives)
		}
		_ = link.Set(LinkState{Mode: LinkOpen})
		if err := reads(long); err != nil || <-received != 'b' {
			t.Errorf("%s: after healing: %v", c.mode, err)
		}
	}
	_ = link.Set(LinkState{Mode: LinkDropped})
	if err := reads(long); err == nil {
		t.Error("a dropped link still carries")
	}
}

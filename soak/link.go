package soak

import (
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/cairnlift/cairnlift/platform/platformtest"
)

// linkMode is what becomes of the connections of a link. Bytes that are held back arrive when
// the link is mended, as they do on a network.
type linkMode string

const (
	// linkRestore: all is well again.
	linkRestore linkMode = "mend"
	// linkDelay: bytes come later, both ways.
	linkDelay linkMode = "delay"
	// linkReset: present connections are reset, new ones work.
	linkReset linkMode = "reset"
	// linkRefuse: present connections and new ones are reset.
	linkRefuse linkMode = "refuse"
	// linkStallExisting: present connections fall silent, new ones work.
	linkStallExisting linkMode = "silence"
	// linkBlackhole: present connections and new ones are silent.
	linkBlackhole linkMode = "dark"
	// linkOneWay: the worker hears the agent, which hears nothing from it.
	linkOneWay linkMode = "cut"
)

var linkModes = []linkMode{linkRestore, linkDelay, linkReset, linkRefuse, linkStallExisting, linkBlackhole, linkOneWay}

const (
	linkPort = "8081"
	// linkDelayTime is how much later bytes come on a link with delay.
	linkDelayTime    = 400 * time.Millisecond
	linkPollInterval = 10 * time.Millisecond
	linkBufferSize   = 16 << 10
	linkDialTimeout  = time.Second
)

// link is a proxy between an agent and its worker.
type link struct {
	listener net.Listener
	// workerAddress is where the worker listens.
	workerAddress string

	mu    sync.Mutex
	mode  linkMode
	conns map[*proxiedConn]struct{}
}

// proxiedConn is a connection of the agent and the one that carries it on.
type proxiedConn struct {
	agent, worker *net.TCPConn
	stalled       bool
}

func newLink(address, worker string) (*link, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, errors.Wrap(err, "link")
	}
	l := &link{listener: listener, workerAddress: worker, mode: linkRestore, conns: map[*proxiedConn]struct{}{}}
	go l.accept()
	return l, nil
}

// addLinks puts links before the workers whose connections a plan disturbs.
func (c *cluster) addLinks(plan []action) error {
	for _, a := range plan {
		if a.kind != linkKind || c.hosts[a.host].link != nil {
			continue
		}
		ip := c.ip(firstWorkerIP + a.host)
		l, err := newLink(platformtest.WorkerAddress(ip), net.JoinHostPort(ip, linkPort))
		if err != nil {
			return err
		}
		c.hosts[a.host].link = l
	}
	return nil
}

func (l *link) accept() {
	for {
		conn, err := l.listener.Accept()
		if err != nil {
			return
		}
		go l.forward(conn.(*net.TCPConn))
	}
}

// forward connects to the worker and passes bytes on until either side ends.
func (l *link) forward(agent *net.TCPConn) {
	conn, err := net.DialTimeout("tcp", l.workerAddress, linkDialTimeout)
	if err != nil {
		resetConn(agent)
		return
	}
	p := &proxiedConn{agent: agent, worker: conn.(*net.TCPConn)}
	l.mu.Lock()
	l.conns[p] = struct{}{}
	refused := l.mode == linkRefuse
	l.mu.Unlock()
	if refused {
		p.reset()
	}
	var both sync.WaitGroup
	both.Go(func() { l.copyBytes(p, p.agent, p.worker) })
	both.Go(func() { l.copyBytes(p, p.worker, p.agent) })
	both.Wait()
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.conns, p)
}

// copyBytes passes bytes on in one direction; an end, too, is held back while the link is silent.
func (l *link) copyBytes(p *proxiedConn, from, to *net.TCPConn) {
	buffer := make([]byte, linkBufferSize)
	for {
		n, readErr := from.Read(buffer)
		l.waitUntilOpen(p, to)
		if _, err := to.Write(buffer[:n]); err != nil || readErr != nil {
			_ = to.Close() // the other direction ends by it, too
			_ = from.Close()
			return
		}
	}
}

// waitUntilOpen waits until bytes may pass.
func (l *link) waitUntilOpen(p *proxiedConn, to *net.TCPConn) {
	if l.currentMode() == linkDelay {
		time.Sleep(linkDelayTime)
	}
	for l.blocked(p, to) {
		time.Sleep(linkPollInterval)
	}
}

func (l *link) currentMode() linkMode {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.mode
}

func (l *link) blocked(p *proxiedConn, to *net.TCPConn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return p.stalled || l.mode == linkBlackhole || (l.mode == linkOneWay && to == p.agent)
}

// setMode changes what becomes of the connections.
func (l *link) setMode(m linkMode) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.mode = m
	for p := range l.conns {
		p.stalled = m == linkStallExisting
		if m == linkReset || m == linkRefuse {
			p.reset()
		}
	}
}

// close ends the link with all of its connections.
func (l *link) close() {
	_ = l.listener.Close() // nothing is left to be lost
	l.setMode(linkRefuse)
	l.setMode(linkRestore)
}

func (p *proxiedConn) reset() {
	resetConn(p.agent)
	resetConn(p.worker)
}

func resetConn(c *net.TCPConn) {
	_ = c.SetLinger(0) // it may be closed already
	_ = c.Close()
}

var (
	linkFaultTimes    = []span{{100 * time.Millisecond, 2 * time.Second}, {5 * time.Second, 7 * time.Second}, {8 * time.Second, 14 * time.Second}}
	betweenLinkFaults = span{2 * time.Second, 12 * time.Second}
)

// drawLinkFaults draws the disturbances of links, one at a time.
func drawLinkFaults(r *rand.Rand, workers int, within time.Duration, p Profile) []action {
	if !p.Links {
		return nil
	}
	var plan []action
	for at := betweenLinkFaults.draw(r); at < within; at += betweenLinkFaults.draw(r) {
		a := action{at: at, kind: linkKind, host: r.IntN(workers), link: linkModes[1+r.IntN(len(linkModes)-1)]}
		at += drawFromOne(r, linkFaultTimes)
		plan = append(plan, a, action{at: at, kind: linkKind, host: a.host, link: linkRestore})
	}
	return plan
}

package soak

import (
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/cairnlift/cairnlift/platform/platformtest"
)

// linkMode is how a link treats its connections. Bytes that are held back are delivered when the link is
// restored, as on a network that retransmits.
type linkMode string

const (
	// linkRestore forwards all connections again.
	linkRestore linkMode = "mend"
	// linkDelay delays bytes in both directions.
	linkDelay linkMode = "delay"
	// linkReset resets existing connections; new ones work.
	linkReset linkMode = "reset"
	// linkRefuse resets existing and new connections.
	linkRefuse linkMode = "refuse"
	// linkStallExisting blackholes existing connections; new ones work.
	linkStallExisting linkMode = "silence"
	// linkBlackhole blackholes existing and new connections.
	linkBlackhole linkMode = "dark"
	// linkOneWay forwards bytes from the agent to the worker only.
	linkOneWay linkMode = "cut"
)

var linkModes = []linkMode{linkRestore, linkDelay, linkReset, linkRefuse, linkStallExisting, linkBlackhole, linkOneWay}

const (
	linkPort = "8081"
	// linkDelayTime is the delay of each chunk of bytes in mode linkDelay.
	linkDelayTime    = 400 * time.Millisecond
	linkPollInterval = 10 * time.Millisecond
	linkBufferSize   = 16 << 10
	linkDialTimeout  = time.Second
)

// link is a proxy between an agent and its worker.
type link struct {
	listener net.Listener
	// workerAddress is the address at which the worker listens.
	workerAddress string

	mu    sync.Mutex
	mode  linkMode
	conns map[*proxiedConn]struct{}
}

// proxiedConn is a connection from the agent and the corresponding one to the worker.
type proxiedConn struct {
	agent, worker *net.TCPConn
	// stalled is whether the connection existed when the link was set to linkStallExisting.
	stalled bool
}

func newLink(address, worker string) (*link, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, errors.Wrap(err, "link listener")
	}
	l := &link{listener: listener, workerAddress: worker, mode: linkRestore, conns: map[*proxiedConn]struct{}{}}
	go l.accept()
	return l, nil
}

// addLinks puts links in front of the workers whose connections a plan disturbs.
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

// forward connects to the worker and forwards bytes until either side closes its connection.
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

// copyBytes forwards bytes in one direction. While the link is blackholed, it holds back the end of a
// connection as well.
func (l *link) copyBytes(p *proxiedConn, from, to *net.TCPConn) {
	buffer := make([]byte, linkBufferSize)
	for {
		n, readErr := from.Read(buffer)
		l.waitUntilOpen(p, to)
		if _, err := to.Write(buffer[:n]); err != nil || readErr != nil {
			_ = to.Close() // this ends the other direction as well
			_ = from.Close()
			return
		}
	}
}

// waitUntilOpen waits until the link forwards bytes to one side of a connection.
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

// blocked reports whether the link holds back bytes to one side of a connection.
func (l *link) blocked(p *proxiedConn, to *net.TCPConn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return p.stalled || l.mode == linkBlackhole || (l.mode == linkOneWay && to == p.agent)
}

// setMode changes the mode of the link, and resets existing connections where the mode requires it.
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

// close closes the link and resets all of its connections.
func (l *link) close() {
	_ = l.listener.Close() // a listener holds no data that an error could lose
	l.setMode(linkRefuse)
	l.setMode(linkRestore)
}

func (p *proxiedConn) reset() {
	resetConn(p.agent)
	resetConn(p.worker)
}

func resetConn(c *net.TCPConn) {
	_ = c.SetLinger(0) // the connection may be closed already
	_ = c.Close()
}

var (
	// linkFaultTimes are how long a link fault lasts, betweenLinkFaults the times from the end of one to the
	// start of the next.
	linkFaultTimes    = []span{{100 * time.Millisecond, 2 * time.Second}, {5 * time.Second, 7 * time.Second}, {8 * time.Second, 14 * time.Second}}
	betweenLinkFaults = span{2 * time.Second, 12 * time.Second}
)

// drawLinkFaults draws link faults, one at a time, each followed by the restoration of the link.
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

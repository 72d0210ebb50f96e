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
	// linkMend: all is well again.
	linkMend linkMode = "mend"
	// linkDelay: bytes come later, both ways.
	linkDelay linkMode = "delay"
	// linkReset: present connections are reset, new ones work.
	linkReset linkMode = "reset"
	// linkRefuse: present connections and new ones are reset.
	linkRefuse linkMode = "refuse"
	// linkSilence: present connections fall silent, new ones work.
	linkSilence linkMode = "silence"
	// linkDark: present connections and new ones are silent.
	linkDark linkMode = "dark"
	// linkCut: the worker hears the agent, which hears nothing from it.
	linkCut linkMode = "cut"
)

var linkModes = []linkMode{linkMend, linkDelay, linkReset, linkRefuse, linkSilence, linkDark, linkCut}

const (
	linkPort = "8081"
	// linkLag is how much later bytes come on a link with delay.
	linkLag     = 400 * time.Millisecond
	linkPoll    = 10 * time.Millisecond
	linkBuffer  = 16 << 10
	linkWaiting = time.Second
)

// link is a proxy between an agent and its worker.
type link struct {
	listener net.Listener
	// worker is where the worker listens.
	worker string

	mu    sync.Mutex
	mode  linkMode
	pairs map[*pair]struct{}
}

// pair is a connection of the agent and the one that carries it on.
type pair struct {
	agent, worker *net.TCPConn
	silent        bool
}

func newLink(address, worker string) (*link, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, errors.Wrap(err, "link")
	}
	l := &link{listener: listener, worker: worker, mode: linkMend, pairs: map[*pair]struct{}{}}
	go l.accept()
	return l, nil
}

// linkHosts puts links before the workers whose connections a plan disturbs.
func (c *cluster) linkHosts(plan []action) error {
	for _, a := range plan {
		if a.kind != linkKind || c.hosts[a.host].link != nil {
			continue
		}
		ip := c.ip(firstWorker + a.host)
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
		go l.carry(conn.(*net.TCPConn))
	}
}

// carry connects to the worker and passes bytes on until either side ends.
func (l *link) carry(agent *net.TCPConn) {
	conn, err := net.DialTimeout("tcp", l.worker, linkWaiting)
	if err != nil {
		reset(agent)
		return
	}
	p := &pair{agent: agent, worker: conn.(*net.TCPConn)}
	l.mu.Lock()
	l.pairs[p] = struct{}{}
	refused := l.mode == linkRefuse
	l.mu.Unlock()
	if refused {
		p.reset()
	}
	var both sync.WaitGroup
	both.Go(func() { l.pass(p, p.agent, p.worker) })
	both.Go(func() { l.pass(p, p.worker, p.agent) })
	both.Wait()
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.pairs, p)
}

// pass passes bytes on in one direction; an end, too, is held back while the link is silent.
func (l *link) pass(p *pair, from, to *net.TCPConn) {
	buffer := make([]byte, linkBuffer)
	for {
		n, readErr := from.Read(buffer)
		l.await(p, to)
		if _, err := to.Write(buffer[:n]); err != nil || readErr != nil {
			_ = to.Close() // the other direction ends by it, too
			_ = from.Close()
			return
		}
	}
}

// await waits until bytes may pass.
func (l *link) await(p *pair, to *net.TCPConn) {
	if l.modeNow() == linkDelay {
		time.Sleep(linkLag)
	}
	for l.holdsBack(p, to) {
		time.Sleep(linkPoll)
	}
}

func (l *link) modeNow() linkMode {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.mode
}

func (l *link) holdsBack(p *pair, to *net.TCPConn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return p.silent || l.mode == linkDark || (l.mode == linkCut && to == p.agent)
}

// set changes what becomes of the connections.
func (l *link) set(m linkMode) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.mode = m
	for p := range l.pairs {
		p.silent = m == linkSilence
		if m == linkReset || m == linkRefuse {
			p.reset()
		}
	}
}

// close ends the link with all of its connections.
func (l *link) close() {
	_ = l.listener.Close() // nothing is left to be lost
	l.set(linkRefuse)
	l.set(linkMend)
}

func (p *pair) reset() {
	reset(p.agent)
	reset(p.worker)
}

func reset(c *net.TCPConn) {
	_ = c.SetLinger(0) // it may be closed already
	_ = c.Close()
}

var (
	linkTimes  = []span{{100 * time.Millisecond, 2 * time.Second}, {5 * time.Second, 7 * time.Second}, {8 * time.Second, 14 * time.Second}}
	linkPauses = span{2 * time.Second, 12 * time.Second}
)

// drawLinks draws the disturbances of links, one at a time.
func drawLinks(r *rand.Rand, workers int, within time.Duration, p Profile) []action {
	if !p.Links {
		return nil
	}
	var plan []action
	for at := linkPauses.draw(r); at < within; at += linkPauses.draw(r) {
		a := action{at: at, kind: linkKind, host: r.IntN(workers), link: linkModes[1+r.IntN(len(linkModes)-1)]}
		at += drawOne(r, linkTimes)
		plan = append(plan, a, action{at: at, kind: linkKind, host: a.host, link: linkMend})
	}
	return plan
}

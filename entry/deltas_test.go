package entry

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"testing"

	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	apiv1 "github.com/cairnlift/cairnlift/api/v1"
	"github.com/cairnlift/cairnlift/control"
	"github.com/cairnlift/cairnlift/settings"
)

// configurationPeer simulates another entry that answers pushes, and the network to it.
type configurationPeer struct {
	apiv1.Control
	history *deltaHistory
	cfg     *apiv1.Configuration
	// answers has W for each response with the whole configuration, D for one with deltas and -
	// for one with neither.
	answers string
	// fault corrupts or loses the next response.
	fault func(*apiv1.SyncResponse) error
}

func (p *configurationPeer) change() {
	v := p.cfg.GetVersion() + 1
	p.cfg = &apiv1.Configuration{Version: v, Text: strings.Repeat("line\n", 1000) + fmt.Sprintf("change %d\n", v)}
	p.cfg.Jobs = []*apiv1.Job{{Name: "kept"}, {Name: fmt.Sprint("job-", v)}}
}

func (p *configurationPeer) Sync(_ context.Context, req *apiv1.SyncRequest) (*apiv1.SyncResponse, error) {
	resp := &apiv1.SyncResponse{ConfigurationVersion: p.cfg.GetVersion()}
	resp.Configuration, resp.Deltas = p.history.updateSince(p.cfg, req.GetConfigurationVersion(), req.GetWholeConfiguration())
	switch {
	case resp.Configuration != nil:
		p.answers += "W"
	case len(resp.Deltas) > 0:
		p.answers += "D"
	default:
		p.answers += "-"
	}
	resp = proto.CloneOf(resp)
	fault := p.fault
	p.fault = nil
	if fault != nil {
		return resp, fault(resp)
	}
	return resp, nil
}

func loseAnswer(*apiv1.SyncResponse) error { return errors.New("lost") }

func corruptDelta(r *apiv1.SyncResponse) error {
	r.Deltas[0].Jobs[0].Insert[0].Name = "job-nobody-submitted"
	return nil
}

func breakChain(r *apiv1.SyncResponse) error {
	r.Deltas = r.Deltas[1:]
	return nil
}

// deltaClient is an entry that gets its configuration from one peer.
type deltaClient struct {
	t    *testing.T
	peer *configurationPeer
	*Entry
	whole bool
}

func (a *deltaClient) restart() {
	s := &settings.Entry{Name: "asker"}
	s.SetDefaults()
	e, err := newEntry(Options{Settings: s, Logger: zap.NewNop()})
	if err != nil {
		a.t.Fatal(err)
	}
	e.follower = control.NewForwarder(nil, nil)
	e.useControl(e.follower)
	a.Entry, a.whole = e, false
}

// push pushes once, and checks that only the peer's configuration is applied.
func (a *deltaClient) push(fault func(*apiv1.SyncResponse) error) {
	p := a.peer
	p.fault = fault
	before := a.control.Configuration()
	a.whole = a.syncOnce(a.t.Context(), p, settings.Peer{Name: "peer"}, a.whole)
	if after := a.control.Configuration(); after.GetVersion() < before.GetVersion() || after.GetVersion() == p.cfg.GetVersion() && !proto.Equal(after, p.cfg) {
		a.t.Fatalf("after %s: version %d after %d, or another configuration than the peer's", p.answers, after.GetVersion(), before.GetVersion())
	}
}

// change makes n changes at the peer.
func (a *deltaClient) change(n int) {
	for range n {
		a.peer.change()
		a.peer.history.updateSince(a.peer.cfg, a.peer.cfg.GetVersion(), false)
	}
}

// overtake is a fault that lets the whole configuration arrive before the response.
func (a *deltaClient) overtake(*apiv1.SyncResponse) error {
	a.follower.Adopt(a.peer.cfg, a.peer.cfg.GetVersion(), a.now())
	return nil
}

func (a *deltaClient) step(kind rune) {
	switch kind {
	case 'c':
		a.change(1)
	case 'm':
		a.change(300)
	case 's':
		a.push(nil)
	case 'l':
		a.push(loseAnswer)
	case 'd':
		a.push(corruptDelta)
	case 'b':
		a.push(breakChain)
	case 'r':
		a.restart()
	case 'o':
		a.push(a.overtake)
	}
}

// An entry must not keep an old configuration, apply one that no operator submitted, revert, or
// request the whole configuration repeatedly. The steps are: c a change, m 300 changes, s a push, l
// a push whose response is lost, d one whose delta is corrupted, b one whose chain lacks its first
// delta, r a restart of the client, o the whole configuration overtaking the delta that answers the
// same push. This guards against applying deltas to another base or without comparing the digest,
// keeping an unbounded chain, and never withdrawing the request for the whole configuration.
func TestConfigurationDeltas(t *testing.T) {
	for name, c := range map[string]struct{ steps, answers string }{
		"steady":        {"cscscss", "WDD-"},
		"several":       {"cscccss", "WD-"},
		"lost answer":   {"csclss", "WDD-"},
		"lost whole":    {"cscdlscs", "WDWWD"},
		"restart":       {"cscrscs", "WWD"},
		"far behind":    {"csmscss", "WWD-"},
		"damaged":       {"cscdscss", "WDWD-"},
		"damaged twice": {"cscdscdscs", "WDWDWD"},
		"broken chain":  {"csccbscs", "WDWD"},
		"overtaken":     {"cscoscs", "WD-D"},
	} {
		t.Run(name, func(t *testing.T) {
			p := &configurationPeer{history: newDeltaHistory(wholeConfiguration)}
			a := &deltaClient{t: t, peer: p}
			a.restart()
			for _, kind := range c.steps {
				a.step(kind)
			}
			if got := a.control.Configuration(); p.answers != c.answers || !proto.Equal(got, p.cfg) || a.whole {
				t.Errorf("answers %s, want %s; version %d of %d, whole %t", p.answers, c.answers, got.GetVersion(), p.cfg.GetVersion(), a.whole)
			}
		})
	}
}

// A long-running entry must not run out of memory, nor send more than the whole configuration. Some
// changes are as large as the configuration; this guards against a history that is bounded only by
// its number of changes, or not at all.
func TestDeltaHistoryIsBounded(t *testing.T) {
	h := newDeltaHistory(wholeConfiguration)
	for v := range uint64(200) {
		text := strings.Repeat(fmt.Sprintf("text of version %d\n", v), 1+int(v%3)*10_000)
		h.updateSince(&apiv1.Configuration{Version: v + 1, Text: text}, v+1, false)
		sum := 0
		for i, d := range h.deltas {
			sum += proto.Size(d)
			if i > 0 && d.FromVersion != h.deltas[i-1].ToVersion {
				t.Fatalf("version %d: kept chain is broken", v)
			}
		}
		whole, chain := h.updateSince(&apiv1.Configuration{}, v, false)
		if len(h.deltas) > maxDeltas || sum > maxDeltaBytes || sum != h.deltaBytes || whole == nil && proto.Size(&apiv1.SyncResponse{Deltas: chain}) > proto.Size(h.newest)+8 {
			t.Fatalf("version %d: %d deltas of %d bytes kept, %d counted", v, len(h.deltas), sum, h.deltaBytes)
		}
	}
}

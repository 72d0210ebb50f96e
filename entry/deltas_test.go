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

// configurationPeer is another entry that answers pushes, and the way there.
type configurationPeer struct {
	apiv1.Control
	history *deltaHistory
	cfg     *apiv1.Configuration
	// answers has W for each answer with the whole, D with deltas, - with neither.
	answers string
	// fault damages or loses the next answer.
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

// deltaClient is an entry that asks one peer for its configuration.
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

// push asks once, and checks that no configuration but the peer's comes into force.
func (a *deltaClient) push(fault func(*apiv1.SyncResponse) error) {
	p := a.peer
	p.fault = fault
	before := a.control.Configuration()
	a.whole = a.syncOnce(a.t.Context(), p, settings.Peer{Name: "peer"}, a.whole)
	if after := a.control.Configuration(); after.GetVersion() < before.GetVersion() || after.GetVersion() == p.cfg.GetVersion() && !proto.Equal(after, p.cfg) {
		a.t.Fatalf("after %s: version %d after %d, or another configuration than the peer's", p.answers, after.GetVersion(), before.GetVersion())
	}
}

// change makes a number of changes at the peer.
func (a *deltaClient) change(n int) {
	for range n {
		a.peer.change()
		a.peer.history.updateSince(a.peer.cfg, a.peer.cfg.GetVersion(), false)
	}
}

// overtake is a fault that lets the whole configuration arrive before the answer.
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

// Symptom: an entry keeps an old configuration, has one that no operator
// submitted, reverts, or asks for the whole text over and over. Sequence: c is a
// change, m 300 of them, s a push, l a push whose answer is lost, d one whose delta
// is damaged, b one whose chain lacks its first link, r a restart of the asker, o
// the whole overtaking the delta that answers the same push.
// Cause: deltas applied to another base or without comparing the digest, a chain
// that is kept without bound, or a request for the whole that is never taken back.
func TestConfigurationDeltas(t *testing.T) {
	for name, c := range map[string]struct{ steps, shape string }{
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
			if got := a.control.Configuration(); p.answers != c.shape || !proto.Equal(got, p.cfg) || a.whole {
				t.Errorf("answers %s, not %s; version %d of %d, whole %t", p.answers, c.shape, got.GetVersion(), p.cfg.GetVersion(), a.whole)
			}
		})
	}
}

// Symptom: an entry that is long up runs out of memory, or sends more than the
// whole. Sequence: changes of which some are as large as the configuration.
// Cause: a history bounded by its number alone, or not at all.
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

package record

import (
	"time"

	"github.com/cairnlift/cairnlift/logging/event"
	"github.com/cairnlift/cairnlift/trace"
)

// leadership collects the periods with a leader.
type leadership struct {
	readyAt []time.Time
	// terms are the terms of the leaders in readyAt, and lastSeen is the last sign of the leader of
	// each term.
	terms    []float64
	lastSeen map[float64]time.Time
}

func (g *leadership) apply(l *trace.Line) {
	term, known := l.Fields[event.NameTerm].(float64)
	if !known {
		return
	}
	if l.Event == event.LeaderReady.Name && l.Part == string(event.Dispatch) {
		g.readyAt = append(g.readyAt, l.At)
		g.terms = append(g.terms, term)
	}
	isLeader := l.Event == event.GroupState.Name && l.Fields[event.NameLeads] == true
	if isLeader || l.Part == string(event.Dispatch) || l.Event == lineStart || l.Event == lineEnded {
		if g.lastSeen == nil {
			g.lastSeen = map[float64]time.Time{}
		}
		if l.At.After(g.lastSeen[term]) {
			g.lastSeen[term] = l.At
		}
	}
}

// leaderless returns the periods from the last sign of a leader until the next leader was ready.
func (g *leadership) leaderless() []span {
	var spans []span
	for i := 1; i < len(g.readyAt); i++ {
		if last := g.lastSeen[g.terms[i-1]]; last.Before(g.readyAt[i]) {
			spans = append(spans, span{last, g.readyAt[i]})
		}
	}
	return spans
}

package chaos

import "fmt"

// race is two operators that submit on the same version.
type race struct {
	version   int
	operators []string
}

func (g *generator) race() {
	g.settleRace()
	n := g.version + 1
	r := &race{version: n}
	g.jobs = append(g.jobs, job{fmt.Sprintf("late-%d", n), 2, 2, 500})
	for _, side := range []string{"left", "right"} {
		name := fmt.Sprintf("%s-%d", side, n)
		r.operators = append(r.operators, name)
		g.addFile(name+".toml", g.configuration(name))
		g.writeLine("run %s cairnlift -a $ADMIN%d -a $ADMIN%d apply --base %d --submission-id %s %s.toml",
			name, 1+g.rng.Intn(hostsPerKind), 1+g.rng.Intn(hostsPerKind), n-1, name, name)
	}
	g.pending = r
}

// settleRace gives up on the answers and sends both texts again: exactly one wins,
// and it is the one that was said to have won.
func (g *generator) settleRace() {
	r := g.pending
	if r == nil {
		return
	}
	g.healEntries()
	for _, name := range r.operators {
		g.writeLine("crash %s", name)
		g.writeLine("run %s-again %s apply --base %d --submission-id %s %s.toml", name, cairnlift, r.version-1, name, name)
		g.writeLine(`waitlog %s-again 'version %d (is accepted|had been accepted before)|conflict'`, name, r.version)
		g.writeLine("exec sh kept.sh %s %d", name, r.version)
	}
	g.writeLine("exec cat %s-again.log %s-again.log", r.operators[0], r.operators[1])
	g.writeLine(`stdout -count=1 'version %d (is accepted|had been accepted before)'`, r.version)
	g.version, g.pending = r.version, nil
}

// runOperator sends a change in the background and again at the end.
func (g *generator) runOperator(args string) {
	g.commands++
	g.writeLine("run operator%d %s %s", g.commands, cairnlift, args)
}

func (g *generator) cancel() {
	j := g.jobs[g.rng.Intn(3)]
	g.canceled[j.name] = true
	g.runOperator("cancel " + j.name)
}

func (g *generator) drain(host string) {
	if g.drained[host] {
		g.runOperator("drain --undo " + host) // Refused for a target: that restarts.
		return
	}
	g.drained[host] = true
	g.runOperator("drain " + host)
}

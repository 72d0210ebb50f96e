package chaos

import (
	"fmt"
	"strings"
)

func (g *generator) kill(host string) {
	if g.isFaulted(host) {
		return
	}
	g.writeLine("crash %s", host)
	if g.rng.Intn(2) == 0 {
		g.writeLine("up %s", host)
		g.pause(300)
		g.writeLine("crash %s", host)
	}
	g.scheduleEnd(host, "up "+host)
}

// freeze stops an entry for one stretch only: one that lasts over steps could
// outlast the callers' patience.
func (g *generator) freeze(host string) {
	if g.isFaulted(host) {
		return
	}
	g.writeLine("freeze %s", host)
	if !strings.HasPrefix(host, "entry") {
		g.scheduleEnd(host, "thaw "+host)
		return
	}
	if other := g.pick("entry", "agent", "target"); g.rng.Intn(3) == 0 && !g.isFaulted(other) && other != host {
		g.writeLine("crash %s", other)
		g.scheduleEnd(other, "up "+other)
	}
	g.pause(maxFreezeMS)
	g.writeLine("thaw %s", host)
}

func (g *generator) cut() {
	link := g.pick("agent", "entry")
	if g.rng.Intn(2) == 0 {
		link = fmt.Sprintf("%s-%s", g.pick("agent"), g.pick("entry"))
	}
	if g.isFaulted(link) {
		return
	}
	g.writeLine("%s %s", []string{"cut", "cut", "drop"}[g.rng.Intn(3)], link)
	g.scheduleEnd(link, "heal "+link)
}

// replaceDisk takes an entry's disk once the one lost before is repaired.
func (g *generator) replaceDisk(host string) {
	g.healEntries()
	g.writeLine(`capture LOST '"id": (\d+),\s+"name": "%s"' cairnlift members list --json`, host)
	g.writeLine("crash %s\nrm data-%s\nmkdir data-%s", host, host, host)
	g.repairing = host
	g.scheduleEnd(host, "up "+host)
}

func (g *generator) healEntries() {
	g.endFaults(func(f activeFault) bool { return strings.HasPrefix(f.name, "entry") })
	if g.repairing != "" {
		g.writeLine("waitfor '' sh repaired.sh %s $LOST", g.repairing)
		g.repairing = ""
	}
}

// terminate asks a host to stop in good order, and sees that it does. One that has
// just been started may not listen to signals yet, and a target waits for its agent.
func (g *generator) terminate(host string) {
	if g.isFaulted(host) || g.isFaulted("agent"+strings.TrimPrefix(host, "target")) {
		return
	}
	g.writeLine("exec sleep 0.8")
	g.writeLine("shutdown %s", host)
	g.scheduleEnd(host, "up "+host)
}

// injectWorkerFault changes what a worker has, or its next replies.
func (g *generator) injectWorkerFault(host string) {
	if g.isFaulted(host) {
		return
	}
	g.writeLine("ready %s", host)
	number := host[len("worker"):]
	if g.rng.Intn(3) == 0 {
		g.writeLine(`put http://$WORKER%s/v1/capacity '{"milliProcessors":"%d","memoryBytes":"17179869184"}'`, number, 1000*(3+g.rng.Intn(6)))
		return
	}
	path := []string{"start", "stop", "checkpoint", "renew", "forget", "tasks", "info"}[g.rng.Intn(7)]
	mode := []string{"lost", "late", "doubled"}[g.rng.Intn(3)]
	g.writeLine(`put http://$WORKER%s/v1/faults '{"path":"/v1/%s","mode":"%s","times":%d,"delay_ms":%d}'`,
		number, path, mode, 1+g.rng.Intn(3), g.rng.Intn(3000))
}

// injectTargetFaults makes a share of a target's answers go wrong until it restarts.
func (g *generator) injectTargetFaults(host string) {
	if g.isFaulted(host) {
		return
	}
	fault := []string{"truncated", "swapped", "failed", "closed", "late"}[g.rng.Intn(5)]
	g.writeLine("ready %s", host)
	g.writeLine(`put http://$TARGET%s/fake/faults '{"%s":0.3,"late_ms":%d}'`, host[len("target"):], fault, g.rng.Intn(6000))
}

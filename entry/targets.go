package entry

import (
	apiv1 "github.com/cairnlift/cairnlift/api/v1"
	"github.com/cairnlift/cairnlift/member"
	"github.com/cairnlift/cairnlift/route"
)

// applyDirectoryChanges tells the router what the directory learnt. e.mu is held.
func (e *Entry) applyDirectoryChanges() {
	for _, c := range e.directory.TakeChanges() {
		e.applyDirectoryChange(c)
	}
}

func (e *Entry) applyDirectoryChange(c member.Change) {
	name := c.Agent.GetName()
	now := e.now()
	known := e.routedTargets[name]
	current := make(map[string]bool, len(c.Agent.GetTargets()))
	if c.Usable && !c.Removed {
		for _, t := range c.Agent.GetTargets() {
			id := targetID(name, t.GetName())
			current[id] = true
			route.Deliver(e.router.Upsert(now, newRouteTarget(c.Agent, t)))
		}
	}
	for id := range known {
		if !current[id] {
			route.Deliver(e.router.Remove(now, id))
		}
	}
	e.routedTargets[name] = current
	if c.Removed {
		delete(e.routedTargets, name)
	}
}

// targetID names a target in the whole system: target names are unique on their
// agent only.
func targetID(agent, target string) string { return agent + "/" + target }

func newRouteTarget(a *apiv1.AgentInfo, t *apiv1.TargetInfo) route.Target {
	return route.Target{
		ID:               targetID(a.GetName(), t.GetName()),
		Service:          t.GetService(),
		Agent:            a.GetName(),
		Address:          a.GetAddress(),
		AgentIncarnation: a.GetIncarnation(),
		AvailabilityZone: a.GetLocation().GetAvailabilityZone(),
		Region:           a.GetLocation().GetRegion(),
		Slots:            int(t.GetSlots()),
		Connections:      int(t.GetConnections()),
		Leaving:          t.GetLeaving() || a.GetLeaving(),
	}
}

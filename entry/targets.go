package entry

import (
	apiv1 "github.com/cairnlift/cairnlift/api/v1"
	"github.com/cairnlift/cairnlift/member"
	"github.com/cairnlift/cairnlift/route"
)

// applyChanges tells the router what the directory learnt. e.mu is held.
func (e *Entry) applyChanges() {
	for _, c := range e.directory.TakeChanges() {
		e.applyChange(c)
	}
}

func (e *Entry) applyChange(c member.Change) {
	name := c.Agent.GetName()
	now := e.now()
	known := e.routed[name]
	current := make(map[string]bool, len(c.Agent.GetTargets()))
	if c.Usable && !c.Removed {
		for _, t := range c.Agent.GetTargets() {
			id := targetID(name, t.GetName())
			current[id] = true
			route.Deliver(e.router.Upsert(now, routeTarget(c.Agent, t)))
		}
	}
	for id := range known {
		if !current[id] {
			route.Deliver(e.router.Remove(now, id))
		}
	}
	e.routed[name] = current
	if c.Removed {
		delete(e.routed, name)
	}
}

// targetID names a target in the whole system: target names are unique on their
// agent only.
func targetID(agent, target string) string { return agent + "/" + target }

func routeTarget(a *apiv1.AgentInfo, t *apiv1.TargetInfo) route.Target {
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

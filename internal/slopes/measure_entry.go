package main

import (
	"time"

	apiv1 "github.com/cairnlift/cairnlift/api/v1"
	"github.com/cairnlift/cairnlift/member"
	"github.com/cairnlift/cairnlift/route"
)

var epoch = time.UnixMilli(1e12)

// measureEntry measures the directory and the router of an entry.
func (r *recorder) measureEntry() {
	r.measureDirectory()
	r.measurePushSizes()
	r.measurePushCosts()
	r.measureRouter()
}

func (r *recorder) measureDirectory() {
	r.measure("heapAgent", "directory: agents of 6 targets", "B", "agent", workerSizes, func(n int) float64 {
		return retainedHeap(func() any { return newDirectory(n) })
	})
	r.measure("heard", "directory: steady heartbeats", "ns", "heartbeat", workerSizes, func(n int) float64 {
		d := member.New(member.DefaultConfig())
		var heartbeats []*apiv1.HeartbeatRequest
		for i := range n {
			first := heartbeatRequest(i, 0, 0)
			first.Agent = agentInfo(i, targetsPerWorker)
			d.RecordHeartbeat(epoch, first)
			heartbeats = append(heartbeats, heartbeatRequest(i, leasesPerWorker, targetsPerWorker))
		}
		return costPerCall(func() {
			for _, hb := range heartbeats {
				d.RecordHeartbeat(epoch, hb)
			}
		})
	})
	r.measure("tick", "directory: judging every agent's silence", "ns", "agent", workerSizes, func(n int) float64 {
		d := newDirectory(n)
		return costPerCall(func() { d.Tick(epoch) })
	})
}

// measurePushSizes measures the sync requests (pushes) by which entries exchange their agents.
func (r *recorder) measurePushSizes() {
	r.measure("pushSteady", "a push when nothing changed, by the sender's own agents", "B", "agent", batchSizes, func(n int) float64 {
		return encodedSize(newHomeDirectory(n).changedPush(0))
	})
	r.measure("pushChanged", "a push, by agents that changed", "B", "agent", batchSizes, func(n int) float64 {
		return encodedSize(newHomeDirectory(n).changedPush(n))
	})
	r.measure("pushLagging", "a push, by agents that have not adopted the newest configuration yet", "B", "agent", batchSizes, func(n int) float64 {
		return encodedSize(newHomeDirectory(n).laggingPush())
	})
	r.measure("pushGone", "the push after one agent has gone, by the sender's own agents", "B", "agent", batchSizes, func(n int) float64 {
		return encodedSize(newHomeDirectory(n).departurePush(n))
	})
}

// measurePushCosts measures the processor time of building and applying a push.
func (r *recorder) measurePushCosts() {
	r.measure("push", "directory: building a steady push, by agents known; one in 38 is the sender's", "ns", "agent", workerSizes, func(n int) float64 {
		d := newDirectory(n)
		return costPerCall(func() { d.BuildSyncRequest(epoch, entryName(1), configurationVersion) })
	})
	r.measure("receive", "directory: taking a steady push, by agents known; one in 38 is the sender's", "ns", "agent", workerSizes, func(n int) float64 {
		d := newDirectory(n)
		from := member.New(member.DefaultConfig())
		for i := range n {
			if i%entries == 1 {
				recordAnnouncement(from, i)
			}
		}
		_, sequence := from.BuildSyncRequest(epoch, entryName(0), configurationVersion)
		from.RecordSyncResponse(entryName(0), sequence, &apiv1.SyncResponse{})
		req, _ := from.BuildSyncRequest(epoch, entryName(0), configurationVersion)
		req.Entry = entryName(1)
		if d.ApplySyncRequest(epoch, req) {
			panic("directory requested a resend although both directories agree")
		}
		return costPerCall(func() { d.ApplySyncRequest(epoch, req) })
	})
}

// recordAnnouncement records a heartbeat of agent i that contains its announcement.
func recordAnnouncement(d *member.Directory, i int) {
	hb := heartbeatRequest(i, 0, 0)
	hb.Agent = agentInfo(i, targetsPerWorker)
	d.RecordHeartbeat(epoch, hb)
}

// newDirectory returns entry 0's directory of n agents whose home entries are spread over all
// entries.
func newDirectory(n int) *member.Directory {
	d := member.New(member.DefaultConfig())
	for i := 0; i < n; i += entries {
		recordAnnouncement(d, i)
	}
	for e := 1; e < entries; e++ {
		req := &apiv1.SyncRequest{Entry: entryName(e), Full: true, ConfigurationVersion: configurationVersion}
		for i := e; i < n; i += entries {
			req.Agents = append(req.Agents, agentInfo(i, targetsPerWorker))
		}
		d.ApplySyncRequest(epoch, req)
	}
	d.TakeChanges()
	return d
}

// homeDirectory is the directory of the home entry of n agents, after another entry has
// acknowledged them.
type homeDirectory struct{ *member.Directory }

func newHomeDirectory(n int) homeDirectory {
	d := member.New(member.DefaultConfig())
	for i := range n {
		recordAnnouncement(d, i)
	}
	_, sequence := d.BuildSyncRequest(epoch, entryName(1), configurationVersion)
	d.RecordSyncResponse(entryName(1), sequence, &apiv1.SyncResponse{})
	return homeDirectory{d}
}

// laggingPush returns a push right after the entry adopted a newer configuration.
func (d homeDirectory) laggingPush() *apiv1.SyncRequest { return d.push(configurationVersion + 1) }

func (d homeDirectory) push(version uint64) *apiv1.SyncRequest {
	req, _ := d.BuildSyncRequest(epoch, entryName(1), version)
	req.Entry, req.Address, req.AdminAddress = entryName(0), "10.0.0.17:7301", "10.0.0.17:7303"
	req.AvailabilityZone = "sto-01"
	return req
}

// departurePush returns the push that names the departed agent, after the receiver has found
// that its directory differs and requested a resend.
func (d homeDirectory) departurePush(agents int) *apiv1.SyncRequest {
	other := member.New(member.DefaultConfig())
	for i := range agents {
		other.ApplySyncRequest(epoch, &apiv1.SyncRequest{Entry: entryName(0), Agents: []*apiv1.AgentInfo{agentInfo(i, targetsPerWorker)}})
	}
	_, first := d.BuildSyncRequest(epoch, entryName(1), configurationVersion)
	d.RecordSyncResponse(entryName(1), first, &apiv1.SyncResponse{})
	later := epoch.Add(member.DefaultConfig().HomeTimeout + time.Second)
	for i := 1; i < agents; i++ {
		d.RecordHeartbeat(later, heartbeatRequest(i, 0, 0))
	}
	d.Tick(later)
	for {
		req, sequence := d.BuildSyncRequest(later, entryName(1), configurationVersion)
		req.Entry = entryName(0)
		if !other.ApplySyncRequest(later, req) {
			return req
		}
		d.RecordSyncResponse(entryName(1), sequence, &apiv1.SyncResponse{Resend: true})
	}
}

// changedPush returns a push after some agents sent changed announcements.
func (d homeDirectory) changedPush(agents int) *apiv1.SyncRequest {
	for i := range agents {
		hb := heartbeatRequest(i, 0, 0)
		hb.Agent = agentInfo(i, targetsPerWorker)
		hb.Agent.Revision++
		d.RecordHeartbeat(epoch, hb)
	}
	return d.push(configurationVersion)
}

func (r *recorder) measureRouter() {
	r.measure("heapTarget", "router: targets of services of 54, 38 entries", "B", "target", targetSizes, func(n int) float64 {
		return retainedHeap(func() any { return newRouter(n) })
	})
	r.measure("request", "router: a request from admission to release, by targets known", "ns", "target", targetSizes, func(n int) float64 {
		rt := newRouter(n)
		now := epoch.Add(time.Minute)
		return costPerCall(func() { routeRequest(rt, now) })
	})
}

func newRouter(targets int) *route.Router {
	rt := route.New(route.Config{AvailabilityZone: "sto-01", Region: "sto", Seed: 1})
	var names []string
	for e := range entries {
		names = append(names, entryName(e))
	}
	rt.SetEntries(entryName(0), names)
	for i := range targets {
		t := target(i)
		if i%targetsPerService == 0 {
			rt.SetService(service(i / targetsPerService))
		}
		rt.Upsert(epoch, route.Target{
			ID: t.Name, Service: t.Service, Agent: workerName(i / targetsPerWorker), Address: "10.0.0.17:7302",
			AvailabilityZone: location(i).AvailabilityZone, Region: "sto", Slots: 8, Connections: 64,
		})
	}
	return rt
}

// routeRequest routes one request from admission to release.
func routeRequest(rt *route.Router, now time.Time) {
	req := &route.Request{
		ID: "entry-00-0000000000000001", Service: serviceName(0), Caller: "caller", Idempotent: true,
		Deadline: now.Add(2 * time.Second), Priority: apiv1.Priority_PRIORITY_URGENT,
	}
	if a := rt.Admit(now, req); !a.OK {
		panic("router refused a request for an idle service: " + a.Text)
	}
	choice, ok := rt.Pick(now, req)
	if !ok {
		panic("router found no target for an idle service")
	}
	rt.RecordSent(now, req, choice.Target.ID)
	rt.RecordOutcome(now, route.AttemptResult{
		Request: req, Target: choice.Target.ID, Outcome: apiv1.Outcome_OUTCOME_ANSWERED,
		Load: &apiv1.Load{InFlight: 2, Slots: 8, MeanResponseUs: 41_000}, Latency: 40 * time.Millisecond,
	})
	rt.Release(now, req, apiv1.Outcome_OUTCOME_ANSWERED)
}

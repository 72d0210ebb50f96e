package entry

import (
	"context"
	"slices"
	"strings"
	"time"

	"github.com/cairnlift/cairnlift/admin"
	apiv1 "github.com/cairnlift/cairnlift/api/v1"
	"github.com/cairnlift/cairnlift/control"
	"github.com/cairnlift/cairnlift/member"
	"github.com/cairnlift/cairnlift/state"
)

// workerAliveTimeout is the time from a worker's last report during which it is shown as alive.
const workerAliveTimeout = 5 * time.Second

// Status implements admin.Backend.
func (b backend) Status(ctx context.Context, sections []string) (*admin.Status, error) {
	s := &admin.Status{
		Entry:                b.settings.Name,
		ConfigurationVersion: b.control.Configuration().GetVersion(),
		ConfirmedAgeMs:       b.confirmedAgeMs(),
		Leader:               b.peerName(b.leaderAddress()),
	}
	wants := func(section string) bool { return len(sections) == 0 || slices.Contains(sections, section) }
	if wants(admin.SectionProcesses) {
		s.Processes = b.processes()
	}
	if wants(admin.SectionTargets) {
		s.Targets = b.targets()
	}
	if b.replica != nil {
		b.addReplicaStatus(s, wants)
		return s, nil
	}
	return s, b.addLeaderStatus(ctx, s, wants)
}

// addReplicaStatus adds the state of this host's replica.
func (b backend) addReplicaStatus(s *admin.Status, wants func(string) bool) {
	st := b.replica.Status()
	s.Term, s.Index, s.CordonedZones = st.Term, st.Index, st.CordonedZones
	s.HeldQueues, s.PrioritizedJobs = st.HeldQueues, st.PrioritizedJobs
	if wants(admin.SectionWorkers) {
		for _, w := range st.Workers {
			s.Workers = append(s.Workers, b.worker(w, st.Leading))
		}
	}
	if wants(admin.SectionJobs) {
		for _, j := range st.Jobs {
			s.Jobs = append(s.Jobs, adminJob(j))
		}
	}
}

// addLeaderStatus queries the leader for the sections that only a replica has.
func (b backend) addLeaderStatus(ctx context.Context, s *admin.Status, wants func(string) bool) error {
	var sections []string
	for _, section := range []string{admin.SectionWorkers, admin.SectionJobs} {
		if wants(section) {
			sections = append(sections, section)
		}
	}
	if len(sections) == 0 {
		return nil
	}
	client, err := b.leaderClient()
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, relayTimeout)
	defer cancel()
	leader, err := client.Status(ctx, sections...)
	if err != nil {
		return err
	}
	s.Term, s.Index, s.CordonedZones = leader.Term, leader.Index, leader.CordonedZones
	s.HeldQueues, s.PrioritizedJobs = leader.HeldQueues, leader.PrioritizedJobs
	s.Workers, s.Jobs = leader.Workers, leader.Jobs
	return nil
}

// processes lists this entry, the other entries and all agents, this entry first.
func (b backend) processes() []admin.Process {
	now := b.now()
	leader := b.leaderAddress()
	list := []admin.Process{b.ownProcess(leader)}
	b.mu.Lock()
	defer b.mu.Unlock()
	for name, p := range b.peers {
		list = append(list, b.peerProcess(now, name, p, leader))
	}
	for _, v := range b.directory.Views() {
		list = append(list, agentProcess(now, v))
	}
	slices.SortFunc(list[1:], func(x, y admin.Process) int { return strings.Compare(x.Name, y.Name) })
	return list
}

func (b backend) ownProcess(leader string) admin.Process {
	return admin.Process{
		Name:                 b.settings.Name,
		Role:                 b.role(b.settings.InternalAddress, leader),
		Address:              b.settings.InternalAddress,
		AvailabilityZone:     b.settings.Location.AvailabilityZone,
		ConfigurationVersion: b.services.Load().version,
		Ready:                b.Ready() == nil,
		Leaving:              b.leaving.Load(),
	}
}

func (b backend) peerProcess(now time.Time, name string, p peerState, leader string) admin.Process {
	return admin.Process{
		Name:                 name,
		Role:                 b.role(p.address, leader),
		Address:              p.address,
		AvailabilityZone:     p.availabilityZone,
		ConfigurationVersion: p.configurationVersion,
		Ready:                now.Sub(p.lastPush) <= peerAliveTimeout && !p.leaving,
		Leaving:              p.leaving,
		LastHeardMs:          now.Sub(p.lastPush).Milliseconds(),
	}
}

func agentProcess(now time.Time, v member.View) admin.Process {
	return admin.Process{
		Name:                 v.Info.GetName(),
		Role:                 "agent",
		Address:              v.Info.GetAddress(),
		AvailabilityZone:     v.Info.GetLocation().GetAvailabilityZone(),
		ConfigurationVersion: v.ConfigurationVersion,
		Ready:                v.Usable && !v.Info.GetLeaving(),
		Leaving:              v.Info.GetLeaving(),
		LastHeardMs:          now.Sub(v.LastHeard).Milliseconds(),
	}
}

// role returns an entry's role in the control group, as known to this host.
func (b backend) role(address, leader string) string {
	if address == leader {
		return "leader"
	}
	for _, r := range b.replicas() {
		if r.GetAddress() == address && r.GetLearner() {
			return "learner"
		}
		if r.GetAddress() == address {
			return "follower"
		}
	}
	return "entry"
}

// replicas returns the members of the control group known to this host: its own replica's view,
// or the peers in the settings on an entry without a replica.
func (b backend) replicas() []*apiv1.Replica {
	if b.node != nil {
		return b.node.Status().Membership.GetReplicas()
	}
	var replicas []*apiv1.Replica
	for _, p := range b.settings.Peers {
		replicas = append(replicas, &apiv1.Replica{Name: p.Name, Address: p.Address})
	}
	return replicas
}

func (b backend) peerName(address string) string {
	for _, p := range b.settings.Peers {
		if p.Address == address {
			return p.Name
		}
	}
	return address
}

// targets lists every known target with the load it announced last.
func (b backend) targets() []admin.Target {
	b.mu.Lock()
	defer b.mu.Unlock()
	var list []admin.Target
	for _, v := range b.directory.Views() {
		for _, t := range v.Info.GetTargets() {
			list = append(list, admin.Target{
				Name:             t.GetName(),
				Service:          t.GetService(),
				Agent:            v.Info.GetName(),
				AvailabilityZone: v.Info.GetLocation().GetAvailabilityZone(),
				Slots:            int(t.GetSlots()),
				InFlight:         int(t.GetLoad().GetInFlight()),
				Leaving:          t.GetLeaving() || v.Info.GetLeaving(),
			})
		}
	}
	slices.SortFunc(list, func(x, y admin.Target) int {
		return strings.Compare(x.Agent+"/"+x.Name, y.Agent+"/"+y.Name)
	})
	return list
}

// worker converts a worker's status. Only the leader receives workers' reports; any other
// replica takes the heartbeat of the worker's agent as the sign that the worker is alive.
func (b backend) worker(w control.WorkerStatus, leading bool) admin.Worker {
	alive := w.ReportAge >= 0 && w.ReportAge <= workerAliveTimeout
	if !leading {
		alive = b.agentUsable(w.Name)
	}
	return admin.Worker{
		Name:             w.Name,
		AvailabilityZone: w.AvailabilityZone,
		Rack:             w.Rack,
		Capacity:         adminResources(w.Capacity),
		Reserved:         adminResources(w.Reserved),
		Granted:          adminResources(w.Granted),
		Tasks:            w.Tasks,
		Alive:            alive,
		Draining:         w.Draining,
		Cordoned:         w.Cordoned,
	}
}

// agentUsable reports whether a heartbeat of the worker's agent arrived recently.
func (e *Entry) agentUsable(worker string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, v := range e.directory.Views() {
		if v.Info.GetName() == worker {
			return v.Usable
		}
	}
	return false
}

func adminResources(r state.Resources) admin.Resources {
	return admin.Resources{MilliProcessors: r.MilliProcessors, MemoryBytes: r.MemoryBytes, Accelerators: r.Accelerators}
}

func adminJob(j state.Job) admin.Job {
	return admin.Job{
		Name:      j.Definition.GetName(),
		Team:      j.Definition.GetTeam(),
		Priority:  strings.ToLower(strings.TrimPrefix(j.Definition.GetPriority().String(), "PRIORITY_")),
		Queued:    j.Tasks[apiv1.TaskState_TASK_STATE_QUEUED],
		Running:   j.Tasks[apiv1.TaskState_TASK_STATE_GRANTED],
		Stopping:  j.Tasks[apiv1.TaskState_TASK_STATE_STOPPING],
		Succeeded: j.Tasks[apiv1.TaskState_TASK_STATE_SUCCEEDED],
		Failed:    j.Tasks[apiv1.TaskState_TASK_STATE_FAILED],
		Canceled:  j.Tasks[apiv1.TaskState_TASK_STATE_CANCELED],
		WaitsFor:  j.WaitsFor,
	}
}

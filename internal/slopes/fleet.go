package main

import (
	"fmt"

	apiv1 "github.com/cairnlift/cairnlift/api/v1"
	"github.com/cairnlift/cairnlift/spec"
)

// Sizes at which slopes are measured. The last of each list is about the target size or larger.
var (
	workerSizes = []int{11, 110, 1100, 3700}
	targetSizes = []int{62, 620, 6200, 21000}
	taskSizes   = []int{77, 770, 7700, 26000}
	jobSizes    = []int{11, 110, 1100, 12000}
	teamSizes   = []int{4, 39, 130, 390}
	batchSizes  = []int{11, 110, 440, 1100}
	leaseSizes  = []int{0, 4, 7, 14, 28}
)

const (
	// leasesPerWorker and targetsPerWorker are 26,000 batch tasks and 21,000 latency-critical
	// tasks divided by 3,700 workers, rounded.
	leasesPerWorker  = 7
	targetsPerWorker = 6
	// entries is the number of entry hosts that share the agents: two per availability zone.
	entries = 38
	teams   = 390
	// configurationVersion is the version after three weeks of 4,700 changes a day.
	configurationVersion = 100_000
	// configuredJobs is the number of jobs in the configuration at a time. Each change adds
	// jobsPerChange jobs and removes as many: 37,000 jobs a day divided by 4,700 changes.
	configuredJobs = 37_000 / 3
	jobsPerChange  = 8
	// targetsPerService is 21,000 targets divided by the number of services, one per team.
	targetsPerService = 54
)

func workerName(i int) string  { return fmt.Sprintf("sto-a-r%03d-h%05d", i/37, i) }
func entryName(i int) string   { return fmt.Sprintf("entry-%02d", i) }
func teamName(i int) string    { return fmt.Sprintf("team-%03d", i%teams) }
func serviceName(i int) string { return fmt.Sprintf("valuation-%03d", i) }
func jobName(i int) string     { return fmt.Sprintf("provenance-check-%05d", i) }
func taskName(job, i int) string {
	return fmt.Sprintf("%s@1/%d", jobName(job), i)
}

func taskSize() *apiv1.Resources {
	return &apiv1.Resources{MilliProcessors: 2000, MemoryBytes: 8 << 30}
}

func location(i int) *apiv1.Location {
	return &apiv1.Location{Region: "sto", AvailabilityZone: fmt.Sprintf("sto-%02d", i%19), Rack: fmt.Sprintf("r%03d", i/37)}
}

func workerInfo(i int) *apiv1.WorkerInfo {
	return &apiv1.WorkerInfo{
		Name:        workerName(i),
		Location:    location(i),
		Capacity:    &apiv1.Resources{MilliProcessors: 64000, MemoryBytes: 250 << 30, Accelerators: 2},
		Incarnation: 1_700_000_000_000_000_000,
	}
}

func target(i int) *apiv1.TargetInfo {
	return &apiv1.TargetInfo{
		Name:        fmt.Sprintf("valuation-%05d", i),
		Service:     serviceName(i / targetsPerService),
		Slots:       8,
		Connections: 64,
		Load:        &apiv1.Load{InFlight: 3, Slots: 8, MeanResponseUs: 41_000},
	}
}

func latencyReport(i int) *apiv1.LatencyReport {
	t := target(i)
	return &apiv1.LatencyReport{
		Target: t.Name, Service: t.Service,
		P50Us: 31_000, P99Us: 97_000, Requests: 80, MeanInFlightMilli: 2400, WindowMs: 1000, AgeMs: 700,
	}
}

// workerHeartbeat returns worker i's part of a heartbeat in the steady state.
func workerHeartbeat(i, leases, targets int) *apiv1.WorkerHeartbeat {
	hb := &apiv1.WorkerHeartbeat{Worker: workerName(i), Incarnation: workerInfo(i).Incarnation, Sequence: 1_000_000}
	for n := range leases {
		a := &apiv1.TaskAttempt{Task: taskName(i, n), Attempt: 2}
		hb.Tasks = append(hb.Tasks, &apiv1.TaskStatus{
			Task: a, Phase: apiv1.TaskPhase_TASK_PHASE_RUNNING, ProgressMilli: 400, Grant: taskSize(),
			Checkpoint: fmt.Sprintf("%s/2/000041", taskName(i, n)),
		})
		hb.Usage = append(hb.Usage, &apiv1.UsageReport{
			Task: a, Used: &apiv1.Resources{MilliProcessors: 1730, MemoryBytes: 6 << 30}, AgeMs: 4200,
		})
	}
	for n := range targets {
		hb.Targets = append(hb.Targets, target(i*targetsPerWorker+n))
		hb.Latency = append(hb.Latency, latencyReport(i*targetsPerWorker+n))
	}
	return hb
}

// heartbeatRequest returns agent i's heartbeat in the steady state, without its announcement,
// which the entry already has.
func heartbeatRequest(i, leases, targets int) *apiv1.HeartbeatRequest {
	return &apiv1.HeartbeatRequest{
		Revision: 9, AgentName: workerName(i), AgentIncarnation: workerInfo(i).Incarnation,
		ConfigurationVersion: configurationVersion, Worker: workerHeartbeat(i, leases, targets),
	}
}

func heartbeatResponse(i int) *apiv1.HeartbeatResponse {
	return &apiv1.HeartbeatResponse{
		ConfigurationVersion: configurationVersion, ConfirmedAgeMs: 300,
		Orders: &apiv1.WorkerOrders{Worker: workerName(i), Sequence: 1_000_000, Renewed: true, LeaseMs: 6000},
	}
}

func agentInfo(i, targets int) *apiv1.AgentInfo {
	a := &apiv1.AgentInfo{
		Name: workerName(i), Address: fmt.Sprintf("10.%d.%d.17:7302", i/250, i%250), Location: location(i),
		Incarnation: workerInfo(i).Incarnation, Revision: 9, ConfigurationVersion: configurationVersion,
	}
	for n := range targets {
		a.Targets = append(a.Targets, target(i*targetsPerWorker+n))
	}
	return a
}

func job(i, tasks int) *apiv1.Job {
	return &apiv1.Job{
		Name: jobName(i), Kind: fmt.Sprintf("kind-%02d", i%50), Size: taskSize(), Tasks: int32(tasks),
		ExpectedRunMs: 26_000, Team: teamName(i), Priority: apiv1.Priority_PRIORITY_BATCH,
	}
}

func service(i int) *apiv1.Service {
	return &apiv1.Service{
		Name: serviceName(i), PathPrefixes: []string{"/" + serviceName(i)}, ObjectiveMs: 300, TimeoutMs: 2000,
		Size: &apiv1.Resources{MilliProcessors: 1000, MemoryBytes: 2 << 30}, Slots: 8, Connections: 64, Team: teamName(i),
		IdempotentRoutes: []*apiv1.Route{{Method: "GET", PathPrefix: "/" + serviceName(i)}},
	}
}

// configuration returns a configuration compiled from its text, as a submission is. With
// jobs, it contains all teams, since jobs refer to them.
func configuration(jobs, tasksPerJob, services, teamCount int) *apiv1.Configuration {
	if jobs > 0 {
		teamCount = teams
	}
	c := &apiv1.Configuration{}
	for i := range teamCount {
		c.Teams = append(c.Teams, &apiv1.Team{Name: teamName(i), Quota: &apiv1.Resources{MilliProcessors: 640_000}, Weight: 1})
	}
	for i := range services {
		c.Services = append(c.Services, service(i))
	}
	text := spec.Format(c)
	for i := range jobs {
		text = append(text, jobText(i, tasksPerJob)...)
	}
	return compile(text)
}

// jobWindow returns a configuration whose jobs are numbered consecutively from a first number.
// It models operators who remove finished jobs at the front of the text and append new ones.
func jobWindow(from, jobs int) *apiv1.Configuration {
	c := &apiv1.Configuration{}
	for i := range teams {
		c.Teams = append(c.Teams, &apiv1.Team{Name: teamName(i), Quota: &apiv1.Resources{MilliProcessors: 640_000}, Weight: 1})
	}
	text := spec.Format(c)
	for i := range jobs {
		text = append(text, jobText(from+i, 1)...)
	}
	return compile(text)
}

// jobText returns the text of a job as an operator writes it, without default settings.
func jobText(i, tasks int) string {
	return fmt.Sprintf("\n[[job]]\nname = %q\nkind = \"kind-%02d\"\nteam = %q\ntasks = %d\n"+
		"size = { processors = 2, memory = \"8GiB\" }\nexpected_run = \"26s\"\n", jobName(i), i%50, teamName(i), tasks)
}

func compile(text []byte) *apiv1.Configuration {
	c, problems := spec.Parse(text)
	if len(problems) > 0 {
		panic("generated configuration is invalid: " + problems.Error())
	}
	return c
}

package main

// unit determines the format of a result and its default bound.
type unit int

const (
	bytesPerSecond unit = iota
	// coreUsage is processor time per second in nanoseconds.
	coreUsage
	memory
	seconds
	count
	// bytesTotal is the total size of a single burst.
	bytesTotal
	perSecond
)

// Bounds that the requirements set: for the control traffic, processor time and memory of a
// daemon, and in seconds for a change to be in effect and for an urgent task to start.
const (
	maxBytesPerSecond     = 6000
	maxCoreUsage          = 1e7
	maxMemoryBytes        = 256e6
	maxInEffectSeconds    = 3
	maxUrgentStartSeconds = 9.6
)

// row is one flow or cost of a role, with its formula.
type row struct {
	// name, if not empty, refers to the result in later formulas.
	name    string
	flow    string
	formula string
	unit    unit
	// bound is the largest allowed result. 0 selects the default bound of the unit, and a
	// negative bound means that there is none.
	bound float64
	// lowerBound is set if bound is the smallest allowed result instead.
	lowerBound bool
	// note names the mechanism behind the flow, or a limit of the estimate.
	note string
}

// noBound marks a row without a bound.
const noBound = -1

// limit returns the bound of the row, or a negative number if there is none.
func (r row) limit() float64 {
	if r.bound != 0 {
		return r.bound
	}
	switch r.unit {
	case bytesPerSecond:
		return maxBytesPerSecond
	case coreUsage:
		return maxCoreUsage
	case memory:
		return maxMemoryBytes
	}
	return noBound
}

// sections maps the names that the template uses to the tables of the page.
var sections = map[string][]row{
	"agent":      agentRows,
	"entry":      entryRows,
	"follower":   followerRows,
	"leader":     leaderRows,
	"operators":  operatorRows,
	"times":      timeRows,
	"mechanisms": mechanismRows,
	"failures":   failureRows,
}

const (
	heartbeatBytes     = "beatLease_0 + leases*beatLease + perHost*beatTarget + orders_0 + callB"
	configurationBytes = "(standing*submitJob + teams*submitTeam)"
	// logDeltaBytes and deltaBytes are formulas of bytes per second. Each job of a day is added
	// once, and another is removed in the same change.
	logDeltaBytes = "(changes*submitDelta_0 + jobs/86400*submitDelta)"
	deltaBytes    = "(changes*syncDelta_0 + jobs/86400*syncDelta)"
	roundTime     = "(round_0 + workers*round)"
	batchCalls    = "workers/(1 + gather*workers/entries)"
	logEntryRate  = "starts*(1 + 1/perCommand)"
	stateHeap     = "workers*heapWorker + 2*tasks*heapTask + standing*heapJob + teams*heapTeam"
)

var agentRows = []row{
	{name: "agentBeat", flow: "heartbeat and its answer", formula: "(" + heartbeatBytes + ")/beat", unit: bytesPerSecond,
		note: "one message per host and interval, to one home entry: built"},
	{name: "agentStarts", flow: "starts ordered at the peak", formula: "starts*orders/workers", unit: bytesPerSecond,
		note: "all starts of a worker in one answer: built"},
	{name: "agentConfig", flow: "configuration", formula: "changes*(agentDelta_0 + agentDelta)", unit: bytesPerSecond,
		note: "by delta, jobs, teams and text left out: built; taken as if each change were of one service"},
	{name: "agentBytes", flow: "sum of the bytes", formula: "agentBeat + agentStarts + agentConfig", unit: bytesPerSecond},
	{name: "agentCore", flow: "leases and heartbeat", formula: "(agentLease_0 + leases*agentLease + callNs)/beat + 3*callNs/lookEvery", unit: coreUsage,
		note: "three calls per look at the worker, counted as whole twirp calls, client and server"},
	{name: "agentMemory", flow: "memory", formula: "gc*(records*gateRecord + answers)", unit: memory,
		note: "bounded tables: built; process base not measured"},
}

var entryRows = []row{
	{name: "entryBeats", flow: "heartbeats of its agents", formula: "workers/entries*(" + heartbeatBytes + ")/beat", unit: bytesPerSecond,
		note: "see mechanisms 1 and 2"},
	{name: "entryRenewals", flow: "renewals passed on", formula: "workers/entries*(renewBatch + renewAnswer)/beat + callB*" + batchCalls + "/entries", unit: bytesPerSecond,
		note: "see mechanisms 1 and 3"},
	{name: "entryPushes", flow: "steady pushes, sent and taken", formula: "2*(entries-1)/sync*(pushSteady_0 + callB)", unit: bytesPerSecond,
		note: "digest in place of the agents: built; see mechanism 4"},
	{name: "entryLagging", flow: "agents behind a new configuration, sent and taken", formula: "2*changes*beat/sync*(entries-1)*workers/entries*pushLagging", unit: bytesPerSecond,
		note: "named one by one until they adopt it: built; see mechanism 4"},
	{name: "entryConfig", flow: "configuration, one copy per change", formula: deltaBytes, unit: bytesPerSecond,
		note: "by delta: built; at least one copy per change, answers that cross bring more. See mechanism 5"},
	{name: "entryConfigMost", flow: "the same when the answers of all other entries cross", formula: "(entries-1)*" + deltaBytes, unit: bytesPerSecond,
		note: "the most that can come; not in the sum"},
	{name: "entryAgentConfig", flow: "configuration handed to its agents", formula: "workers/entries*agentConfig", unit: bytesPerSecond,
		note: "by delta: built"},
	{name: "entryBytes", flow: "sum of the bytes", formula: "entryBeats + entryRenewals + entryPushes + entryLagging + entryConfig + entryAgentConfig", unit: bytesPerSecond},
	{name: "entryBeatsCore", flow: "heartbeats", formula: "workers/entries*(callNs + heard + renewCodec)/beat", unit: coreUsage,
		note: "the agents' half of the call is in it"},
	{name: "entryPushesCore", flow: "pushes, sent and taken", formula: "(entries-1)/sync*(callNs + workers*(push + receive))", unit: coreUsage,
		note: "each push looks at the whole directory; an index by home entry is on paper"},
	{name: "entryTicksCore", flow: "silence of agents", formula: "ticks*workers*tick", unit: coreUsage},
	{name: "entryConfigCore", flow: "taking a change and making its delta for others", formula: "changes*standing*(applyDelta + makeDelta)", unit: coreUsage,
		note: "the state machine's cost of a delta stands for the smaller one here"},
	{name: "entryCore", flow: "sum of processor time", formula: "entryBeatsCore + entryPushesCore + entryTicksCore + entryConfigCore", unit: coreUsage},
	{name: "entryMemory", flow: "memory", formula: "gc*(workers*heapAgent + targets*heapTarget + standing*heapJob + teams*heapTeam + 2*kept)", unit: memory,
		note: "every entry knows every target, and keeps a subset per service for picking: built; changes kept for others bounded: built"},
	{flow: "a request (not control)", formula: "request_0 + gateRequest", unit: coreUsage, bound: noBound,
		note: "read as: processor time of one request a second, router and gate, HTTP left out"},
}

var followerRows = []row{
	{name: "followerLog", flow: "log at the peak of starts", formula: "starts*(grantEntry + endEntry + endEntry_0) + " + logEntryRate + "*logB/(replicas-1)", unit: bytesPerSecond,
		note: "grants of a round in entries of 256, ends by worker: built; see mechanism 6"},
	{name: "followerSubmissions", flow: "submissions in the log", formula: logDeltaBytes, unit: bytesPerSecond, note: "by delta: built; see mechanism 5"},
	{name: "followerBeats", flow: "the log's heartbeats, taken and answered", formula: "logBeats*(quorumBeat/(replicas-1) + 2*callB)", unit: bytesPerSecond,
		note: "a call each way: built; the answer in the call's own answer halves it: on paper"},
	{name: "followerReads", flow: "read rounds for renewals, at most", formula: "(quorumBeat/(replicas-1) + 2*callB)/roundTrip", unit: bytesPerSecond,
		note: "one round at a time, shared by all that wait: built; fewer renewal calls (mechanism 3) make fewer rounds"},
	{name: "followerBytes", flow: "sum of the bytes", formula: "followerLog + followerSubmissions + followerBeats + followerReads", unit: bytesPerSecond},
	{name: "applyCore", flow: "applying at the peak", formula: "starts*applyGrant + " + logEntryRate + "*logNs/replicas + changes*standing*applyDelta", unit: coreUsage,
		note: "see mechanism 6"},
	{name: "snapshotCore", flow: "snapshots at the peak", formula: logEntryRate + "/snapshotEvery*workers*snapshotNs", unit: coreUsage,
		note: "one per 10,000 entries: built; by bytes and age of the log: on paper"},
	{name: "readsCore", flow: "read rounds for renewals and heartbeats, at most", formula: "callNs*(1/roundTrip + logBeats)", unit: coreUsage,
		note: "half of two calls each; a heartbeat's call stands for the smaller one here, so this is high. See mechanism 3"},
	{name: "followerCore", flow: "sum of processor time", formula: "applyCore + snapshotCore + readsCore", unit: coreUsage},
	{flow: "log on the disk at the peak", formula: "starts*(grantEntry + endEntry + endEntry_0) + " + logEntryRate + "*walB", unit: bytesPerSecond, bound: noBound, note: "disk, not network"},
	{flow: "snapshots on the disk at the peak", formula: logEntryRate + "/snapshotEvery*(workers*snapshotB + (standing-workers)*submitJob)", unit: bytesPerSecond, bound: noBound,
		note: "disk, not network"},
	{flow: "memory, few claims", formula: "gc*(" + stateHeap + ")", unit: memory,
		note: "as many tasks queued as running"},
	{name: "followerMemory", flow: "memory, table of claims full", formula: "gc*(" + stateHeap + " + claims*heapClaim + responses)", unit: memory,
		note: "claims bounded in number and bytes: built; see mechanism 6"},
	{flow: "log in memory, when one entry in a hundred is a submission", formula: "snapshotEvery/100*" + logDeltaBytes + "/changes", unit: memory,
		note: "entries since the last snapshot stay in memory, counted and not weighed; by delta: built; see mechanism 7"},
}

var leaderRows = []row{
	{name: "leaderRenewals", flow: "renewals taken and answered", formula: "workers*(renewBatch + renewAnswer)/beat + callB*" + batchCalls, unit: bytesPerSecond,
		note: "see mechanisms 1, 3 and 6"},
	{name: "leaderLog", flow: "log sent at the peak", formula: "(replicas-1)*starts*(grantEntry + endEntry + endEntry_0) + " + logEntryRate + "*logB", unit: bytesPerSecond,
		note: "see mechanism 6"},
	{name: "leaderSubmissions", flow: "submissions sent", formula: "(replicas-1)*" + logDeltaBytes, unit: bytesPerSecond, note: "by delta: built; see mechanism 5"},
	{name: "leaderBeats", flow: "the log's heartbeats and read rounds, at most", formula: "(replicas-1)*(followerBeats + followerReads)", unit: bytesPerSecond, note: "see mechanism 3"},
	{name: "leaderBytes", flow: "sum of the bytes", formula: "leaderRenewals + leaderLog + leaderSubmissions + leaderBeats", unit: bytesPerSecond},
	{name: "renewalsCore", flow: "renewals", formula: "workers*(renewWorker + renewCodec)/beat + " + batchCalls + "*callNs/2", unit: coreUsage,
		note: "half of a call's cost is the entry's; see mechanisms 1, 3 and 6"},
	{name: "roundsCore", flow: "rounds when little changes", formula: roundTime + "/(pause + " + roundTime + "/1000000000)", unit: coreUsage,
		note: "rounds pause longer as they grow: built; a round over changed workers only: on paper"},
	{name: "decisionsCore", flow: "placement decisions at the peak", formula: "starts*decide", unit: coreUsage, note: "48 workers sampled per task: built"},
	{name: "leaderCore", flow: "sum of processor time, the follower's in it", formula: "renewalsCore + roundsCore + decisionsCore + applyCore + snapshotCore + (replicas-1)*readsCore", unit: coreUsage, note: "its entry's own is on top"},
	{flow: "memory, few claims", formula: "gc*(workers*heapLeader + tasks*heapTask + (standing-workers)*heapJob)", unit: memory,
		note: "state, reports, leases, planner; as many tasks queued as running"},
	{name: "leaderMemory", flow: "memory, table of claims full", formula: "gc*(workers*heapLeader + tasks*heapTask + (standing-workers)*heapJob + claims*heapClaim + responses)", unit: memory,
		note: "see mechanism 6"},
}

var operatorRows = []row{
	{flow: "texts read and checked, all entries together", formula: "changes*(parseJob_0 + standing*parseJob)", unit: coreUsage,
		note: "spread over the entries by the balancer: built"},
	{flow: "texts taken in, all entries together", formula: "changes*(textJob_0 + standing*textJob)", unit: bytesPerSecond,
		note: "an operator sends the text whole"},
	{name: "jobsInText", flow: "most jobs in a text", formula: "(limit - textJob_0)/textJob", unit: count, bound: 37_000, lowerBound: true,
		note: "bound: a day's jobs in one text"},
	{name: "jobsInEntry", flow: "most jobs in a log entry that holds the whole", formula: "(limit - submitJob_0)/submitJob", unit: count, bound: 37_000, lowerBound: true,
		note: "text and compiled form together; only a text that is new as a whole, or whose base the entry lacks, goes so"},
	{name: "jobsChanged", flow: "most jobs replaced by one change", formula: "(limit - submitDelta_0)/submitDelta", unit: count, bound: jobsPerChange, lowerBound: true,
		note: "by delta: built; bound: a day's jobs over a day's changes"},
	{flow: "one status of everything", formula: "(status_0 + workers*status)/1000000000", unit: seconds, note: "processor time at the replica, on demand"},
}

var timeRows = []row{
	{name: "inForce", flow: "a change in force at every agent", formula: "(parseJob_0 + standing*(parseJob + 3*makeDelta + 2*applyDelta))/1000000000 + (replicas-1 + 1)*" + logDeltaBytes + "/changes/link + sync + beat", unit: seconds, bound: maxInEffectSeconds,
		note: "the delta made by the entry that takes the text and by both that hand it on, applied twice; disk syncs and the network's delay are not in it"},
	{flow: "an urgent start, room free", formula: "pause + " + roundTime + "/1000000000 + beat + call", unit: seconds, bound: maxUrgentStartSeconds},
	{name: "urgentEvicting", flow: "an urgent start, a task evicted for it", formula: "2*(pause + " + roundTime + "/1000000000) + 2*beat + checkpoint + lookEvery + 2*call", unit: seconds, bound: maxUrgentStartSeconds,
		note: "each part at its longest: round, order, checkpoint, stop, report, round, order, start"},
	{name: "urgentAnew", flow: "an urgent task's start anew after its host failed", formula: "leaseWait + pause + " + roundTime + "/1000000000 + beat + call", unit: seconds, bound: maxUrgentStartSeconds},
	{flow: "no leader after its host failed", formula: "2*election + pause", unit: seconds, bound: noBound,
		note: "longest election timeout, then the first round; leases go on counting from then"},
	{name: "startsAllowed", flow: "starts that rounds allow", formula: "perRound/(pause + (" + roundTime + " + perRound*decide)/1000000000)", unit: perSecond, bound: 1000, lowerBound: true,
		note: "bounded grants per round; commits and the worker's own time are not in it"},
}

package event

// Reasons in LongRunningOutage other than those that rule out workers, from which package record
// derives the causes of lost time.
const (
	OutageOrdered            = "ordered, not begun"
	OutageWorkerUnresponsive = "no report of its worker"
	OutageUnlisted           = "not listed by its worker"
	// OutageUnplanned means that the planner does not see that the task waits.
	OutageUnplanned = "no candidate"
	// OutageCrashLimit means that the task's job fails, or may fail, by the crash limit.
	OutageCrashLimit = "held by the crash limit"
	// OutageNewLeader and OutagePaused mean that nothing is known of the run yet: its worker has not
	// reported since this leader took over, or since this process was suspended or could not confirm
	// that it leads.
	OutageNewLeader = "no report to the new leader"
	OutagePaused    = "no report since the leader's pause"
)

package entry

import (
	"strings"

	"github.com/cairnlift/cairnlift/admin"
	"github.com/cairnlift/cairnlift/control"
	"github.com/cairnlift/cairnlift/place"
	"github.com/cairnlift/cairnlift/state"
)

// maxExplainedTasks is the maximum number of tasks in one explanation.
const maxExplainedTasks = 100

func explanation(ex control.Explanation) *admin.Explanation {
	out := &admin.Explanation{Job: adminJob(ex.Job), Reasons: jobReasons(ex.Job), Tasks: []admin.TaskExplanation{}}
	last := make(map[string]place.Decision, len(ex.Decisions))
	for _, d := range ex.Decisions {
		last[d.Task] = d.Decision
	}
	for _, t := range ex.Tasks {
		if len(out.Tasks) == maxExplainedTasks {
			out.TasksLeftOut = len(ex.Tasks) - maxExplainedTasks
			break
		}
		out.Tasks = append(out.Tasks, taskExplanation(t, last[t.ID]))
	}
	return out
}

func jobReasons(j state.Job) []string {
	reasons := []string{}
	if j.Canceled {
		reasons = append(reasons, "the job was canceled")
	}
	if j.ParkedReason != "" {
		reasons = append(reasons, "set aside: "+j.ParkedReason)
	}
	if j.WaitsFor != "" {
		reasons = append(reasons, "waits for "+j.WaitsFor)
	}
	return reasons
}

func taskExplanation(t state.Task, d place.Decision) admin.TaskExplanation {
	ex := admin.TaskExplanation{
		Task:          t.ID,
		State:         strings.ToLower(strings.TrimPrefix(t.State.String(), "TASK_STATE_")),
		Attempt:       t.Attempt,
		Worker:        t.Worker,
		Reason:        t.Reason,
		Failures:      int(t.Failures),
		Evictions:     int(t.Evictions),
		FailedWorkers: t.FailedWorkers,
		NotBeforeMs:   t.NotBeforeMs,
	}
	if t.Live() || d.Worker != "" {
		return ex
	}
	if ex.Reason == "" {
		ex.Reason = d.Reason
	}
	ex.Refused = d.Refused
	for _, r := range d.Rejections {
		ex.Rejections = append(ex.Rejections, admin.Rejection{Worker: r.Worker, Filter: r.Filter, Reason: r.Reason})
	}
	return ex
}

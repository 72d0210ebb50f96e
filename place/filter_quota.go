package place

import (
	"fmt"

	"github.com/cairnlift/cairnlift/pipeline"
)

// quotaFilter holds a team's running tasks under its quota.
type quotaFilter struct{}

func (quotaFilter) Name() string { return "quota" }

func (quotaFilter) Check(r *round, c *candidate) pipeline.Status {
	team := r.snapshot.Teams[c.Team]
	if team == nil || team.Quota.IsZero() {
		return pipeline.Status{}
	}
	sum, ok := r.teamUsage[c.Team].Add(c.size)
	if ok && sum.withinLimit(team.Quota) {
		return pipeline.Status{}
	}
	return pipeline.Rejected(fmt.Sprintf("team %s holds %v of its quota %v", c.Team, r.teamUsage[c.Team], team.Quota))
}

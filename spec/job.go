package spec

import (
	"regexp"

	apiv1 "github.com/cairnlift/cairnlift/api/v1"
	"github.com/cairnlift/cairnlift/tomltext"
)

var namePattern = regexp.MustCompile(`^[a-z0-9]([-a-z0-9]*[a-z0-9])?$`)

const nameRule = "must be 1 to 63 lower case letters, digits and inner hyphens"

func validName(s string) bool { return len(s) <= maxNameBytes && namePattern.MatchString(s) }

func (p *parser) job(t *tomltext.Table) {
	require(t, "name", "size", "expected_run")
	j := &apiv1.Job{Name: p.name(t, "job")}
	j.Kind = kind(t, j.Name)
	j.Size = requiredSize(t)
	j.Tasks = int32(integer(t, "tasks", 1, maxTasksPerJob, defaultTasks))
	p.tasks += int64(j.Tasks)
	j.ExpectedRunMs, _ = duration(t, "expected_run", maxExpectedRun)
	j.Team = p.teamOf(t)
	j.Priority = priority(t)
	j.DependsOn = p.dependsOn(t)
	j.MaxFailures = int32(integer(t, "max_failures", 1, maxFailuresLimit, defaultMaxFailures))
	j.EvictionCost = int32(integer(t, "eviction_cost", 1, maxWeight, defaultEvictionCost))
	t.RejectUnknownKeys()
	p.config.Jobs = append(p.config.Jobs, j)
}

// kind is the job's name when the text leaves it out.
func kind(t *tomltext.Table, name string) string {
	k, ok := t.String("kind")
	if !ok {
		return name
	}
	if !validName(k) {
		t.AddProblem("kind", "%q %s", tomltext.Shorten(k), nameRule)
	}
	return k
}

func priority(t *tomltext.Table) apiv1.Priority {
	s, ok := t.String("priority")
	switch {
	case !ok || s == "batch":
		return apiv1.Priority_PRIORITY_BATCH
	case s == "urgent":
		return apiv1.Priority_PRIORITY_URGENT
	}
	t.AddProblem("priority", "%q must be \"batch\" or \"urgent\"", tomltext.Shorten(s))
	return apiv1.Priority_PRIORITY_UNSPECIFIED
}

// name reads the name of a service or job; the two share one set of names,
// since depends_on refers to either.
func (p *parser) name(t *tomltext.Table, what string) string {
	name, ok := t.String("name")
	if !ok {
		return ""
	}
	if !validName(name) {
		t.AddProblem("name", "%q %s", tomltext.Shorten(name), nameRule)
		return ""
	}
	if first, taken := p.tablePaths[name]; taken {
		t.AddProblem("name", "%s %q is declared twice; the first is on line %d", what, name, p.doc.Line(first))
		return ""
	}
	p.tablePaths[name] = t.Path("")
	return name
}

func (p *parser) dependsOn(t *tomltext.Table) []string {
	names := t.Strings("depends_on")
	if len(names) > maxDependencies {
		t.AddProblem("depends_on", "there are %d names, more than the %d allowed", len(names), maxDependencies)
		return nil
	}
	seen := map[string]bool{}
	for _, name := range names {
		if seen[name] {
			t.AddProblem("depends_on", "%q is named twice", tomltext.Shorten(name))
		}
		seen[name] = true
		p.dependencyRefs = append(p.dependencyRefs, reference{path: t.Path("depends_on"), name: name})
	}
	return names
}

func (p *parser) teamOf(t *tomltext.Table) string {
	name, ok := t.String("team")
	if ok {
		p.teamRefs = append(p.teamRefs, reference{path: t.Path("team"), name: name})
	}
	return name
}

func (p *parser) team(t *tomltext.Table) {
	require(t, "name")
	team := &apiv1.Team{Weight: int32(integer(t, "weight", 1, maxWeight, defaultWeight))}
	if quota, ok := t.Table("quota"); ok {
		team.Quota = size(quota, sizeRules{optionalAmounts: true, limitFactor: maxQuotaFactor})
	}
	name, ok := t.String("name")
	switch {
	case ok && !validName(name):
		t.AddProblem("name", "%q %s", tomltext.Shorten(name), nameRule)
	case ok && p.teams[name]:
		t.AddProblem("name", "team %q is declared twice", name)
	}
	team.Name = name
	p.teams[name] = true
	t.RejectUnknownKeys()
	p.config.Teams = append(p.config.Teams, team)
}

func (p *parser) checkTeams() {
	for _, ref := range p.teamRefs {
		if !p.teams[ref.name] {
			p.doc.AddProblem(ref.path, "there is no [[team]] with the name %q", tomltext.Shorten(ref.name))
		}
	}
}

func (p *parser) checkTasks() {
	if p.tasks > maxTasks {
		p.doc.AddProblem("job", "the jobs have %d tasks together, more than the %d allowed", p.tasks, maxTasks)
	}
}

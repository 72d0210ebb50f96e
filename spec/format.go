package spec

import (
	"strconv"
	"strings"

	apiv1 "github.com/cairnlift/cairnlift/api/v1"
)

// field is one key of a table with its value in TOML.
type field struct{ key, value string }

// item is one table of the text.
type item struct {
	table, name string
	fields      []field
}

func (i *item) add(key, value string) { i.fields = append(i.fields, field{key, value}) }

func (i *item) addIf(set bool, key, value string) {
	if set {
		i.add(key, value)
	}
}

// Format renders a configuration as the operators' text in canonical form: every
// value is written out, defaults too, and Parse of it gives the same
// configuration but for text, digest and version.
func Format(c *apiv1.Configuration) []byte {
	var b strings.Builder
	for n, i := range items(c) {
		if n > 0 {
			b.WriteByte('\n')
		}
		b.WriteString(formatHeader(i.table))
		for _, f := range i.fields {
			b.WriteString(f.key + " = " + f.value + "\n")
		}
	}
	return []byte(b.String())
}

func formatHeader(table string) string {
	if table == tablePolicy {
		return "[" + table + "]\n"
	}
	return "[[" + table + "]]\n"
}

const tablePolicy = "policy"

func items(c *apiv1.Configuration) []item {
	var out []item
	if c.GetPolicy() != nil {
		out = append(out, policyItem(c.Policy))
	}
	for _, t := range c.GetTeams() {
		out = append(out, teamItem(t))
	}
	for _, s := range c.GetServices() {
		out = append(out, serviceItem(s))
	}
	for _, j := range c.GetJobs() {
		out = append(out, jobItem(j))
	}
	return out
}

func policyItem(p *apiv1.Policy) item {
	i := item{table: tablePolicy}
	i.add("tail_latency", formatNumber(p.TailLatency))
	i.add("evictions", formatNumber(p.Evictions))
	i.add("batch_throughput", formatNumber(p.BatchThroughput))
	return i
}

func teamItem(t *apiv1.Team) item {
	i := item{table: "team", name: t.Name}
	i.add("name", strconv.Quote(t.Name))
	i.add("weight", formatNumber(t.Weight))
	i.addIf(t.Quota != nil, "quota", formatSize(t.Quota))
	return i
}

func serviceItem(s *apiv1.Service) item {
	i := item{table: "service", name: s.Name}
	i.add("name", strconv.Quote(s.Name))
	i.add("paths", formatList(s.PathPrefixes))
	i.add("objective", strconv.Quote(formatDuration(s.ObjectiveMs)))
	i.add("timeout", strconv.Quote(formatDuration(s.TimeoutMs)))
	i.add("slots", formatNumber(s.Slots))
	i.add("connections", formatNumber(s.Connections))
	i.add("size", formatSize(s.Size))
	i.addIf(len(s.DependsOn) > 0, "depends_on", formatList(s.DependsOn))
	i.addIf(s.Team != "", "team", strconv.Quote(s.Team))
	i.addIf(len(s.IdempotentRoutes) > 0, "idempotent", formatRoutes(s.IdempotentRoutes))
	return i
}

func jobItem(j *apiv1.Job) item {
	i := item{table: "job", name: j.Name}
	i.add("name", strconv.Quote(j.Name))
	i.add("kind", strconv.Quote(j.Kind))
	i.add("tasks", formatNumber(j.Tasks))
	i.add("size", formatSize(j.Size))
	i.add("expected_run", strconv.Quote(formatDuration(j.ExpectedRunMs)))
	i.addIf(j.Team != "", "team", strconv.Quote(j.Team))
	i.add("priority", formatPriority(j.Priority))
	i.addIf(len(j.DependsOn) > 0, "depends_on", formatList(j.DependsOn))
	i.add("max_failures", formatNumber(j.MaxFailures))
	i.add("eviction_cost", formatNumber(j.EvictionCost))
	return i
}

func formatPriority(p apiv1.Priority) string {
	if p == apiv1.Priority_PRIORITY_URGENT {
		return `"urgent"`
	}
	return `"batch"`
}

// formatSize leaves out amounts of zero: they mean none in a size and no limit
// in a quota, as a missing key does.
func formatSize(r *apiv1.Resources) string {
	var parts []string
	if r.GetMilliProcessors() > 0 {
		parts = append(parts, "processors = "+formatProcessors(r.MilliProcessors))
	}
	if r.GetMemoryBytes() > 0 {
		parts = append(parts, "memory = "+strconv.Quote(formatBytes(r.MemoryBytes)))
	}
	if r.GetAccelerators() > 0 {
		parts = append(parts, "accelerators = "+strconv.FormatInt(r.Accelerators, 10))
	}
	return "{ " + strings.Join(parts, ", ") + " }"
}

func formatRoutes(routes []*apiv1.Route) string {
	texts := make([]string, len(routes))
	for i, r := range routes {
		texts[i] = strings.TrimPrefix(r.Method+" "+r.PathPrefix, " ")
	}
	return formatList(texts)
}

func formatList(values []string) string {
	quoted := make([]string, len(values))
	for i, v := range values {
		quoted[i] = strconv.Quote(v)
	}
	return "[" + strings.Join(quoted, ", ") + "]"
}

func formatNumber(n int32) string { return strconv.FormatInt(int64(n), 10) }

package spec

import (
	"slices"
	"strings"

	apiv1 "github.com/cairnlift/cairnlift/api/v1"
	"github.com/cairnlift/cairnlift/tomltext"
)

// maxCycleNames bounds the number of names of a cycle in a message.
const maxCycleNames = 20

// graph is the dependency graph of the services and jobs.
type graph struct {
	names []string
	edges map[string][]string
}

func newGraph(c *apiv1.Configuration) *graph {
	g := &graph{edges: map[string][]string{}}
	for _, s := range c.Services {
		g.add(s.Name, s.DependsOn)
	}
	for _, j := range c.Jobs {
		g.add(j.Name, j.DependsOn)
	}
	return g
}

func (g *graph) add(name string, dependsOn []string) {
	g.names = append(g.names, name)
	g.edges[name] = dependsOn
}

type visit int

const (
	unvisited visit = iota
	onPath
	finished
)

// topologicalSort returns the names so that each comes after its dependencies, and one cycle
// per edge that closes one, at most tomltext.MaxProblems of them since there may be too many
// to list all. It uses an explicit stack because a chain of 50,000 jobs is a valid text.
func (g *graph) topologicalSort() (order []string, cycles [][]string) {
	state := map[string]visit{}
	next := map[string]int{}
	for _, root := range g.names {
		if state[root] != unvisited {
			continue
		}
		path := []string{root}
		state[root] = onPath
		for len(path) > 0 {
			name := path[len(path)-1]
			if next[name] == len(g.edges[name]) {
				state[name] = finished
				order = append(order, name)
				path = path[:len(path)-1]
				continue
			}
			dep := g.edges[name][next[name]]
			next[name]++
			switch state[dep] {
			case unvisited:
				state[dep] = onPath
				path = append(path, dep)
			case onPath:
				if len(cycles) < tomltext.MaxProblems {
					cycles = append(cycles, closedCycle(path, dep))
				}
			}
		}
	}
	return order, cycles
}

// closedCycle returns the part of path that starts at name, followed by name.
func closedCycle(path []string, name string) []string {
	return append(slices.Clone(path[slices.Index(path, name):]), name)
}

func formatCycle(cycle []string) string {
	if len(cycle) > maxCycleNames {
		end := cycle[len(cycle)-1]
		cycle = append(slices.Clone(cycle[:maxCycleNames-2]), "...", end)
	}
	return strings.Join(cycle, " -> ")
}

func (p *parser) checkDependencies() {
	for _, ref := range p.dependencyRefs {
		if _, known := p.tablePaths[ref.name]; !known {
			p.doc.AddProblem(ref.path, "there is no service or job with the name %q", tomltext.Shorten(ref.name))
		}
	}
	_, cycles := p.knownGraph().topologicalSort()
	for _, cycle := range cycles {
		p.doc.AddProblem(p.tablePaths[cycle[0]]+".depends_on", "the dependencies form a cycle: %s", formatCycle(cycle))
	}
}

// knownGraph returns the graph without unnamed items and unknown dependencies, which are
// reported separately.
func (p *parser) knownGraph() *graph {
	all := newGraph(p.config)
	g := &graph{edges: map[string][]string{}}
	for _, name := range all.names {
		if name == "" {
			continue
		}
		known := slices.DeleteFunc(slices.Clone(all.edges[name]), func(dep string) bool { return p.tablePaths[dep] == "" })
		g.add(name, known)
	}
	return g
}

package trace

import (
	"cmp"
	"container/heap"
	"maps"
	"slices"
	"time"
)

// edge says that one line came before another, by their places.
type edge struct{ before, after int }

// runKey names a run of a task.
type runKey struct {
	task string
	run  float64
}

// causalEdges returns what the rules say of lines of different processes.
func causalEdges(lines []Line) []edge {
	byRun := map[runKey][]int{}
	for i := range lines {
		run, ok := lines[i].number(fieldRun)
		if ok && lines[i].Text(fieldTask) != "" {
			key := runKey{lines[i].Text(fieldTask), run}
			byRun[key] = append(byRun[key], i)
		}
	}
	var edges []edge
	for _, places := range byRun {
		edges = append(edges, runEdges(lines, places)...)
	}
	return append(edges, termEdges(lines)...)
}

// runEdges: a run is ordered before it is answered for, and has ended last; a stop
// is ordered before it is answered for.
func runEdges(lines []Line, places []int) []edge {
	var edges []edge
	for _, i := range places {
		for _, j := range places {
			first, second := lines[i].Event, lines[j].Event
			ordered := first == eventStart && second != eventStart ||
				first == eventStop && second == eventStopAnswered ||
				first == eventStartAnswered && second == eventEnded
			if ordered && lines[i].Process != lines[j].Process {
				edges = append(edges, edge{i, j})
			}
		}
	}
	return edges
}

// termEdges: a leader is ready only after all that earlier leaders decided, and
// decides nothing before.
func termEdges(lines []Line) []edge {
	var edges []edge
	for i := range lines {
		if lines[i].Event != eventLeaderReady {
			continue
		}
		ready, _ := lines[i].number(fieldTerm)
		for j := range lines {
			term, ok := lines[j].number(fieldTerm)
			switch {
			case !ok || lines[j].Process == lines[i].Process:
			case term < ready:
				edges = append(edges, edge{j, i})
			case term > ready && lines[j].Event == eventLeaderReady:
				edges = append(edges, edge{i, j})
			}
		}
	}
	return edges
}

// alignClocks returns how far each process's clock has to be moved for the edges to hold,
// the least that does. The process with most lines keeps its clock; the others
// follow it, those with the most edges to processes already aligned first.
func alignClocks(lines []Line, edges []edge) map[string]time.Duration {
	counts := map[string]int{}
	for i := range lines {
		counts[lines[i].Process]++
	}
	shifts := map[string]time.Duration{}
	for len(shifts) < len(counts) {
		p := nextToAlign(lines, edges, counts, shifts)
		shifts[p] = smallestShift(p, lines, edges, shifts)
	}
	return shifts
}

func nextToAlign(lines []Line, edges []edge, counts map[string]int, aligned map[string]time.Duration) string {
	ties := map[string]int{}
	for _, e := range edges {
		p, q := lines[e.before].Process, lines[e.after].Process
		if _, known := aligned[p]; known {
			ties[q]++
		}
		if _, known := aligned[q]; known {
			ties[p]++
		}
	}
	best := ""
	for _, p := range slices.Sorted(maps.Keys(counts)) {
		if _, known := aligned[p]; known {
			continue
		}
		if best == "" || cmp.Or(cmp.Compare(ties[p], ties[best]), cmp.Compare(counts[p], counts[best])) > 0 {
			best = p
		}
	}
	return best
}

// smallestShift returns the least shift of a process that its edges to aligned ones allow.
// Edges that contradict each other give the earliest time that puts it after all its
// causes.
func smallestShift(process string, lines []Line, edges []edge, aligned map[string]time.Duration) time.Duration {
	const far = 1000 * time.Hour
	least, most := -far, far
	for _, e := range edges {
		before, after := &lines[e.before], &lines[e.after]
		gap := before.At.Sub(after.At)
		if shift, known := aligned[before.Process]; known && after.Process == process {
			least = max(least, gap+shift)
		}
		if shift, known := aligned[after.Process]; known && before.Process == process {
			most = min(most, -gap+shift)
		}
	}
	return max(least, min(most, 0))
}

// causalOrder puts the lines in order: after their causes and after the earlier lines of
// their process, the earliest of those that may come next first.
func causalOrder(lines []Line, edges []edge) []Line {
	waits := make([]int, len(lines))
	follow := make([][]int, len(lines))
	for _, e := range slices.Concat(edges, processEdges(lines)) {
		waits[e.after]++
		follow[e.before] = append(follow[e.before], e.after)
	}
	done := make([]bool, len(lines))
	out := make([]Line, 0, len(lines))
	ready := &readyHeap{lines: lines}
	for i := range lines {
		if waits[i] == 0 {
			heap.Push(ready, i)
		}
	}
	for len(out) < len(lines) {
		next := -1
		if ready.Len() > 0 {
			next = heap.Pop(ready).(int)
		} else {
			next = earliestRemaining(lines, done)
		}
		done[next] = true
		out = append(out, lines[next])
		for _, j := range follow[next] {
			waits[j]--
			if waits[j] == 0 && !done[j] {
				heap.Push(ready, j)
			}
		}
	}
	return out
}

// readyHeap is a heap of the places of lines that may come next, the earliest first. With a
// look through all lines for each, the logs of a morning take hours.
type readyHeap struct {
	lines   []Line
	indexes []int
}

// Len implements heap.Interface.
func (r *readyHeap) Len() int { return len(r.indexes) }

// Less implements heap.Interface.
func (r *readyHeap) Less(i, j int) bool {
	a, b := r.indexes[i], r.indexes[j]
	return cmp.Or(r.lines[a].At.Compare(r.lines[b].At), cmp.Compare(a, b)) < 0
}

// Swap implements heap.Interface.
func (r *readyHeap) Swap(i, j int) { r.indexes[i], r.indexes[j] = r.indexes[j], r.indexes[i] }

// Push implements heap.Interface.
func (r *readyHeap) Push(x any) { r.indexes = append(r.indexes, x.(int)) }

// Pop implements heap.Interface.
func (r *readyHeap) Pop() any {
	last := r.indexes[len(r.indexes)-1]
	r.indexes = r.indexes[:len(r.indexes)-1]
	return last
}

// processEdges says that the lines of a process come in their order.
func processEdges(lines []Line) []edge {
	var edges []edge
	last := map[string]int{}
	for i := range lines {
		if before, known := last[lines[i].Process]; known {
			edges = append(edges, edge{before, i})
		}
		last[lines[i].Process] = i
	}
	return edges
}

// earliestRemaining returns the earliest line that is left, where each waits for another: rules that
// contradict each other must not hide lines.
func earliestRemaining(lines []Line, done []bool) int {
	best := -1
	for i := range lines {
		if !done[i] && (best < 0 || lines[i].At.Before(lines[best].At)) {
			best = i
		}
	}
	return best
}

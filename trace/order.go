package trace

import (
	"cmp"
	"container/heap"
	"maps"
	"slices"
	"time"
)

// edge states that one line precedes another; both are indexes of lines.
type edge struct{ before, after int }

// runKey identifies a run of a task.
type runKey struct {
	task string
	run  float64
}

// causalEdges returns the order that the rules require between lines of different processes.
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
	committed := map[int]bool{}
	for _, indexes := range byRun {
		edges = append(edges, runEdges(lines, indexes)...)
		if start, ok := committedStart(lines, indexes); ok {
			committed[start] = true
		}
	}
	return append(edges, termEdges(lines, committed)...)
}

// runEdges returns the edges between the lines of one run: the start precedes all other lines, its
// answer precedes the end, and a stop precedes its answer.
func runEdges(lines []Line, indexes []int) []edge {
	var edges []edge
	for _, i := range indexes {
		for _, j := range indexes {
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

// termEdges returns the edges between the lines of leadership terms. A leader becomes ready after
// earlier leaders did, and after the starts of theirs that an agent answered: agents get orders that
// are committed, and the entry with which a leader becomes ready follows all of earlier terms. Other
// lines of earlier leaders give no order. A leader that was suspended or cut off writes them until
// it learns of its successor, which may be many seconds later.
func termEdges(lines []Line, committed map[int]bool) []edge {
	var edges []edge
	for i := range lines {
		if lines[i].Event != eventLeaderReady {
			continue
		}
		ready, _ := lines[i].number(fieldTerm)
		for j := range lines {
			term, ok := lines[j].number(fieldTerm)
			if !ok || term >= ready || lines[j].Process == lines[i].Process || lines[j].Part != lines[i].Part {
				continue
			}
			if lines[j].Event == eventLeaderReady || committed[j] {
				edges = append(edges, edge{j, i})
			}
		}
	}
	return edges
}

// committedStart returns the start among the lines of one run that is known to be committed, since an
// agent answered it; false if there is none. The number of a run whose start was not committed may
// be used again in a later term.
func committedStart(lines []Line, indexes []int) (int, bool) {
	start, answered := -1, false
	var latest float64
	for _, i := range indexes {
		term, _ := lines[i].number(fieldTerm)
		switch lines[i].Event {
		case eventStartAnswered:
			answered = true
		case eventStart:
			if start < 0 || term > latest {
				start, latest = i, term
			}
		}
	}
	return start, answered && start >= 0
}

// markDeposed marks the lines of leaders after a leader of a later term was ready.
func markDeposed(lines []Line) {
	type leader struct {
		term    float64
		readyAt time.Time
	}
	var leaders []leader
	for i := range lines {
		if term, ok := lines[i].number(fieldTerm); ok && lines[i].Event == eventLeaderReady && lines[i].Part == partDispatch {
			leaders = append(leaders, leader{term, lines[i].At})
		}
	}
	for i := range lines {
		l := &lines[i]
		term, ok := l.number(fieldTerm)
		byLeader := l.Part == partDispatch || l.Event == eventGroupState && l.Fields[fieldLeads] == true
		if ok && byLeader {
			l.Deposed = slices.ContainsFunc(leaders, func(d leader) bool { return d.term > term && d.readyAt.Before(l.At) })
		}
	}
}

// alignClocks returns the smallest shift of each process's clock that satisfies the edges. The
// process with the most lines keeps its clock; the others are aligned one after another, each time
// the one with the most edges to processes that are already aligned.
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

// nextToAlign returns the process with the most edges to aligned processes; in a tie, the one with
// the most lines.
func nextToAlign(lines []Line, edges []edge, counts map[string]int, aligned map[string]time.Duration) string {
	edgeCounts := map[string]int{}
	for _, e := range edges {
		p, q := lines[e.before].Process, lines[e.after].Process
		if _, known := aligned[p]; known {
			edgeCounts[q]++
		}
		if _, known := aligned[q]; known {
			edgeCounts[p]++
		}
	}
	best := ""
	for _, p := range slices.Sorted(maps.Keys(counts)) {
		if _, known := aligned[p]; known {
			continue
		}
		if best == "" || cmp.Or(cmp.Compare(edgeCounts[p], edgeCounts[best]), cmp.Compare(counts[p], counts[best])) > 0 {
			best = p
		}
	}
	return best
}

// smallestShift returns the smallest clock shift of a process that its edges to aligned processes
// allow. If the edges contradict each other, it returns the smallest shift that puts the lines of
// the process after all lines that must precede them.
func smallestShift(process string, lines []Line, edges []edge, aligned map[string]time.Duration) time.Duration {
	const unbounded = 1000 * time.Hour
	lower, upper := -unbounded, unbounded
	for _, e := range edges {
		before, after := &lines[e.before], &lines[e.after]
		gap := before.At.Sub(after.At)
		if shift, known := aligned[before.Process]; known && after.Process == process {
			lower = max(lower, gap+shift)
		}
		if shift, known := aligned[after.Process]; known && before.Process == process {
			upper = min(upper, -gap+shift)
		}
	}
	return max(lower, min(upper, 0))
}

// causalOrder returns the lines in topological order of the edges and of the order in each
// process's log. Of the lines whose predecessors are all placed, the earliest comes next.
func causalOrder(lines []Line, edges []edge) []Line {
	predecessors := make([]int, len(lines))
	successors := make([][]int, len(lines))
	for _, e := range slices.Concat(edges, processEdges(lines)) {
		predecessors[e.after]++
		successors[e.before] = append(successors[e.before], e.after)
	}
	done := make([]bool, len(lines))
	out := make([]Line, 0, len(lines))
	ready := &readyHeap{lines: lines}
	for i := range lines {
		if predecessors[i] == 0 {
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
		for _, j := range successors[next] {
			predecessors[j]--
			if predecessors[j] == 0 && !done[j] {
				heap.Push(ready, j)
			}
		}
	}
	return out
}

// readyHeap is a heap of the indexes of lines that may come next, the earliest first. With a search
// through all lines for each line, ordering the logs of a morning takes hours.
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

// processEdges returns the edges that keep the lines of each process in the order of its log.
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

// earliestRemaining returns the earliest remaining line. It is used when each remaining line has a
// predecessor among them: rules that contradict each other must not hide lines.
func earliestRemaining(lines []Line, done []bool) int {
	best := -1
	for i := range lines {
		if !done[i] && (best < 0 || lines[i].At.Before(lines[best].At)) {
			best = i
		}
	}
	return best
}

package spec

import (
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"google.golang.org/protobuf/proto"

	apiv1 "github.com/cairnlift/cairnlift/api/v1"
)

const validService = `[[service]]
name = "bookings"
paths = ["/b"]
objective = "80ms"
slots = 8
connections = 64
size = { processors = 1.5, memory = "16GB" }
`

const validJob = `[[job]]
name = "renewal"
size = { processors = 1, memory = "1GiB" }
expected_run = "1h30m"
`

func replaceOnce(text, old, new string) string {
	if !strings.Contains(text, old) {
		panic("the text does not contain " + old)
	}
	return strings.Replace(text, old, new, 1)
}

// Each text is rejected with a problem at the given line and field, and no configuration is
// returned.
func TestParseRejectsInvalidText(t *testing.T) {
	both := validService + validJob
	for _, c := range []struct {
		name, text, field, message string
		line                       int
	}{
		{"malformed", "a = 1\n[[service]\n", "", "", 2},
		{"key twice", "a = 1\na = 2\n", "", "already", 2},
		{"deep nesting", "\na = " + strings.Repeat("[", 1<<20), "", "nested", 2},
		{"huge", strings.Repeat("#", MaxTextBytes+1), "", "more than the 4MiB", 0},
		{"not utf-8", "a = \"\xff\"", "", "UTF-8", 1},
		{"unknown table", "\n[[servise]]\n", "servise", "not a known key", 2},
		{"unknown key", validService + "timeuot = \"1s\"\n", "service[0].timeuot", "not a known key", 8},
		{"unknown size", replaceOnce(validJob, "memory", "disk"), "job[0].size.disk", "not a known key", 3},
		{"not a table", "service = 3\n", "service", "array of tables", 1},
		{"no name", replaceOnce(validJob, "name", "kind"), "job[0].name", "required", 1},
		{"bad name", replaceOnce(validJob, "renewal", "Renewal Run"), "job[0].name", "lower case", 2},
		{"name twice", both + replaceOnce(validJob, "renewal", "bookings"), "job[1].name", "first is on line 1", 13},
		{"team twice", "[[team]]\nname = \"a\"\n[[team]]\nname = \"a\"\n", "team[1].name", "twice", 4},
		{"unknown team", validJob + "team = \"x\"\n", "job[0].team", "no [[team]]", 5},
		{"unknown dependency", validJob + "depends_on = [\"x\"]\n", "job[0].depends_on", `no service or job with the name "x"`, 5},
		{"depends on itself", validJob + "depends_on = [\"renewal\"]\n", "job[0].depends_on", "cycle: renewal -> renewal", 5},
		{"cycle", validService + "depends_on = [\"renewal\"]\n" + validJob + "depends_on = [\"bookings\"]\n",
			"service[0].depends_on", "cycle: bookings -> renewal -> bookings", 8},
		{"same path", validService + replaceOnce(replaceOnce(validService, "bookings", "two"), `"/b"`, `"/b/"`), "service[1].paths", `conflicts with "/b" of service "bookings" (line 3)`, 10},
		{"relative path", replaceOnce(validService, "/b", "b"), "service[0].paths", "start with a slash", 3},
		{"dots in path", replaceOnce(validService, "/b", "/b/.."), "service[0].paths", "segments", 3},
		{"query in path", replaceOnce(validService, "/b", "/b?x"), "service[0].paths", "only", 3},
		{"no path", replaceOnce(validService, `"/b"`, ""), "service[0].paths", "between 1", 3},
		{"bare memory", replaceOnce(validService, `"16GB"`, "16"), "service[0].size.memory", "must be a string, not an integer", 7},
		{"memory overflow", replaceOnce(validService, "16GB", "9223372036854775807TB"), "service[0].size.memory", "not a valid amount", 7},
		{"memory beyond bound", replaceOnce(validService, "16GB", "2000TiB"), "service[0].size.memory", "at most", 7},
		{"no memory", replaceOnce(validService, "16GB", "0GB"), "service[0].size.memory", "above 0", 7},
		{"no processors", replaceOnce(validJob, "= 1,", "= 0,"), "job[0].size.processors", "above 0", 3},
		{"negative processors", replaceOnce(validJob, "= 1,", "= -1,"), "job[0].size.processors", "above 0", 3},
		{"processors not a number", replaceOnce(validJob, "= 1,", "= nan,"), "job[0].size.processors", "above 0", 3},
		{"infinite processors", replaceOnce(validJob, "= 1,", "= inf,"), "job[0].size.processors", "above 0", 3},
		{"processors too fine", replaceOnce(validJob, "= 1,", "= 1.0005,"), "job[0].size.processors", "steps of 0.001", 3},
		{"negative accelerators", replaceOnce(validJob, "= 1,", "= 1, accelerators = -1,"), "job[0].size.accelerators", "between 0", 3},
		{"no duration", replaceOnce(validJob, "1h30m", "soon"), "job[0].expected_run", "not a valid duration", 4},
		{"negative duration", replaceOnce(validJob, "1h30m", "-1h"), "job[0].expected_run", "between 1ms", 4},
		{"below a millisecond", replaceOnce(validService, "80ms", "1.5ms"), "service[0].objective", "whole milliseconds", 4},
		{"timeout below objective", validService + "timeout = \"79ms\"\n", "service[0].timeout", "shorter than the objective", 8},
		{"few connections", replaceOnce(validService, "64", "7"), "service[0].connections", "can't fill the 8 slots", 6},
		{"tasks", validJob + "tasks = 100001\n", "job[0].tasks", "between 1 and 100000", 5},
		{"all tasks", manyJobs(11, "tasks = 100000\n"), "job", "1100000 tasks in total", 1},
		{"jobs", strings.Repeat("[[job]]\n", maxJobs+1), "job", "50001 [[job]] tables", 1},
		{"priority", validJob + "priority = \"high\"\n", "job[0].priority", "batch", 5},
		{"route outside", validService + "idempotent = [\"GET /a\"]\n", "service[0].idempotent", "under none", 8},
		{"route beside", validService + "idempotent = [\"GET /bc\"]\n", "service[0].idempotent", "under none", 8},
		{"route method", validService + "idempotent = [\"LOOK /b\"]\n", "service[0].idempotent", "method", 8},
		{"preset", "[policy]\npreset = \"fast\"\n", "policy.preset", "tail-latency, evictions", 2},
		{"preset and weights", "[policy]\npreset = \"evictions\"\nevictions = 100\n", "policy.preset", "combined", 2},
		{"weights", "[policy]\nevictions = 90\n", "policy", "90 percent", 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			config, problems := Parse([]byte(c.text))
			if config != nil {
				t.Fatal("the text was accepted")
			}
			found := slices.ContainsFunc(problems, func(p Problem) bool {
				return p.Line == c.line && p.Field == c.field && strings.Contains(p.Message, c.message)
			})
			if !found {
				t.Errorf("want line %d, field %s, %q; got\n%v", c.line, c.field, c.message, problems)
			}
		})
	}
}

func manyJobs(n int, extra string) string {
	var b strings.Builder
	for i := range n {
		b.WriteString(replaceOnce(validJob, "renewal", fmt.Sprintf("job-%d", i)) + extra)
	}
	return b.String()
}

// All mistakes of a text are reported at once, in the order of their lines.
func TestParseReportsAllMistakes(t *testing.T) {
	_, problems := Parse([]byte(replaceOnce(validService, "16GB", "x") + "team = \"x\"\n" + replaceOnce(validJob, "1h30m", "x") + "depends_on = [\"x\"]\ncost = 1\n"))
	var fields []string
	for _, p := range problems {
		fields = append(fields, p.Field)
	}
	want := []string{"service[0].size.memory", "service[0].team", "job[0].expected_run", "job[0].depends_on", "job[0].cost"}
	if !slices.Equal(fields, want) {
		t.Errorf("got\n%v", problems)
	}
}

// checkRoundTrip checks that the canonical form of a configuration parses to an equal one and
// that the order of its items respects their dependencies, as for every result of Parse.
func checkRoundTrip(t *testing.T, c *apiv1.Configuration) {
	t.Helper()
	again, problems := Parse(Format(c))
	if len(problems) > 0 {
		t.Fatalf("the canonical form is rejected: %v\n%s", problems, Format(c))
	}
	again.Text, again.TextDigest = c.Text, c.TextDigest
	if !proto.Equal(c, again) {
		t.Fatalf("the canonical form differs:\n%v\n%v", c, again)
	}
	if changes := Diff(c, again); len(changes) > 0 {
		t.Fatalf("Diff returns changes for equal configurations: %v", changes)
	}
	position := map[string]int{}
	order, _ := newGraph(c).topologicalSort()
	for i, name := range order {
		position[name] = i
	}
	if len(position) != len(c.Services)+len(c.Jobs) || len(order) != len(position) {
		t.Fatalf("the order %v does not contain each item exactly once", order)
	}
	for name, deps := range newGraph(c).edges {
		for _, dep := range deps {
			if position[dep] >= position[name] {
				t.Fatalf("%s comes before %s, which it depends on", name, dep)
			}
		}
	}
}

func TestExamples(t *testing.T) {
	for file, tasks := range map[string]int32{"wrekinford/licensing.toml": 64, "auction-house/auction.toml": 100} {
		text, err := os.ReadFile(filepath.Join("..", "examples", file))
		if err != nil {
			t.Fatal(err)
		}
		config, problems := Parse(text)
		if len(problems) > 0 {
			t.Fatalf("%s:\n%v", file, problems)
		}
		checkRoundTrip(t, config)
		var sum int32
		for _, j := range config.Jobs {
			sum += j.Tasks
		}
		if sum != tasks || config.TextDigest != Digest(text) || config.Text != string(text) {
			t.Errorf("%s: %d tasks, digest %s", file, sum, config.TextDigest)
		}
	}
}

func TestDiff(t *testing.T) {
	old, _ := Parse([]byte(validService + validJob))
	changed := replaceOnce(replaceOnce(validService, "80ms", "90ms"), "1.5", "2") + "team = \"a\"\n[[team]]\nname = \"a\"\n"
	new, problems := Parse([]byte(changed))
	if len(problems) > 0 {
		t.Fatal(problems)
	}
	var lines []string
	for _, c := range Diff(old, new) {
		lines = append(lines, c.String())
	}
	want := `+ team a
~ service bookings
    objective: "80ms" -> "90ms"
    timeout: "320ms" -> "360ms"
    size: { processors = 1.5, memory = "16GB" } -> { processors = 2, memory = "16GB" }
    team: (unset) -> "a"
- job renewal`
	if got := strings.Join(lines, "\n"); got != want {
		t.Errorf("got\n%s", got)
	}
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(validService + validJob + "depends_on = [\"bookings\"]\n"))
	f.Add([]byte("[[team]]\nname = \"a\"\nquota = {}\n[policy]\nevictions = 100\n"))
	f.Add([]byte("a.\"b.c\" = [{ d = [1, { e = 2 }] }]\n[[x]]\n[x.y]\nz = 1979-05-27\n"))
	f.Fuzz(func(t *testing.T, text []byte) {
		config, problems := Parse(text)
		if (config == nil) != (len(problems) > 0) {
			t.Fatalf("configuration %v with problems %v", config, problems)
		}
		if config != nil {
			checkRoundTrip(t, config)
		}
	})
}

// BenchmarkParse measures parsing a text of 10,000 jobs in a chain of dependencies.
func BenchmarkParse(b *testing.B) {
	var text strings.Builder
	for i := range 10_000 {
		text.WriteString(replaceOnce(validJob, "renewal", fmt.Sprintf("job-%d", i)))
		if i > 0 {
			fmt.Fprintf(&text, "depends_on = [\"job-%d\"]\n", i-1)
		}
	}
	b.SetBytes(int64(text.Len()))
	for b.Loop() {
		if _, problems := Parse([]byte(text.String())); len(problems) > 0 {
			b.Fatal(problems)
		}
	}
}

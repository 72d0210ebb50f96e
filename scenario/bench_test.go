package scenario

import (
	"fmt"
	"os"
	"path/filepath"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"
)

// Length and number of the benchmark's measurements of each kind.
const (
	benchDuration = "3s"
	benchRounds   = "3"
)

// benchmarkT lets a script run as a benchmark.
type benchmarkT struct{ *testing.B }

func (t benchmarkT) Parallel()                               {}
func (t benchmarkT) Verbose() bool                           { return testing.Verbose() }
func (t benchmarkT) Run(_ string, script func(testscript.T)) { script(t) }

// BenchmarkPath compares requests through an entry and an agent with the same
// requests straight at the target, all as separate processes, and prints the
// table. It takes two minutes; run it with -benchtime=1x.
func BenchmarkPath(b *testing.B) {
	table := filepath.Join(b.TempDir(), "table.md")
	for b.Loop() {
		testscript.RunT(benchmarkT{b}, testscript.Params{
			Files: []string{"testdata/bench/path.txtar"},
			Setup: func(env *testscript.Env) error {
				env.Setenv("TABLE", table)
				env.Setenv("DURATION", benchDuration)
				env.Setenv("ROUNDS", benchRounds)
				return Setup(env)
			},
			Cmds:                Commands(),
			RequireExplicitExec: true,
		})
		text, err := os.ReadFile(table)
		if err != nil {
			b.Fatal(err)
		}
		fmt.Printf("\n%s\n", text)
	}
}

package route

import (
	"flag"
	"os"
	"testing"
)

// TestMain sets a fixed seed for the property tests, so that their results are reproducible. To use
// another seed, run go test ./route -rapid.seed=N.
func TestMain(m *testing.M) {
	flag.Parse()
	given := map[string]bool{}
	flag.Visit(func(f *flag.Flag) { given[f.Name] = true })
	for name, value := range map[string]string{"rapid.seed": "17", "rapid.checks": "400", "rapid.nofailfile": "true"} {
		if given[name] {
			continue
		}
		if err := flag.Set(name, value); err != nil {
			panic("route: the property tests need a fixed seed: " + err.Error())
		}
	}
	os.Exit(m.Run())
}

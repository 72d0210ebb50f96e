package settings

import (
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"github.com/cairnlift/cairnlift/tomltext"
)

var examples = filepath.Join("..", "examples")

// The example files of both deployments are valid, and the peers and addresses within each
// deployment are consistent.
func TestExamples(t *testing.T) {
	for folder, want := range map[string]struct {
		zones    []string
		replicas int
	}{
		"wrekinford":    {[]string{"annex-hall", "civic-hall", "depot-hall"}, 3},
		"auction-house": {[]string{"sto-a", "sto-b", "sto-c", "sto-d"}, 3},
	} {
		files, err := filepath.Glob(filepath.Join(examples, folder, "entry-*.toml"))
		if err != nil {
			t.Fatal(err)
		}
		addresses := map[string]string{}
		var zones []string
		replicas := 0
		var peers []Peer
		for _, file := range files {
			s, err := LoadEntry(file)
			if err != nil {
				t.Fatal(err)
			}
			zones = append(zones, s.Location.AvailabilityZone)
			addresses[s.Name] = s.InternalAddress
			peers = append(peers, slices.Concat(s.Peers, s.Entries)...)
			if s.Control != nil {
				replicas++
			}
		}
		agent, err := LoadAgent(filepath.Join(examples, folder, "agent.toml"))
		if err != nil {
			t.Fatal(err)
		}
		for _, p := range append(peers, agent.Entries...) {
			if addresses[p.Name] != p.Address {
				t.Errorf("%s: %s is at %s, not at %s", folder, p.Name, addresses[p.Name], p.Address)
			}
		}
		slices.Sort(zones)
		if !slices.Equal(zones, want.zones) || replicas != want.replicas {
			t.Errorf("%s: %d replicas in %v", folder, replicas, zones)
		}
	}
}

// Each replacement in a valid file is reported at the given field and at its line.
func TestInvalidSettingsAreRefused(t *testing.T) {
	const control = "data_folder = \"/var/lib/cairnlift\"\n"
	for _, c := range []struct{ file, old, new, field, message string }{
		{"entry", "\"10.20.1.4:8080\"", "\"civic.local:8080\"", "caller_address", "host names are not resolved"},
		{"entry", "\"10.20.1.4:8080\"", "\"10.20.1.4\"", "caller_address", "IP number and a port"},
		{"entry", "\"10.20.1.4:8080\"", "\"10.20.1.4:0\"", "caller_address", "IP number and a port"},
		{"entry", "\"10.20.1.4:8080\"", "\"10.20.1.4:7500\"", "admin_address", "also the caller_address"},
		{"entry", "\"10.20.1.4:8080\"", "8080", "caller_address", "must be a string"},
		{"entry", "caller_address = ", "caler_address = ", "caler_address", "not a known key"},
		{"entry", "region = \"west-mids\"\n", "", "location.region", "is required"},
		{"entry", "name = \"entry-civic\"\ncaller", "name = \"Civic\"\ncaller", "name", "lower case"},
		{"entry", "name = \"entry-civic\"\ncaller", "name = \"entry-x\"\ncaller", "peers", "must name this host"},
		{"entry", "name = \"entry-depot\"", "name = \"entry-civic\"", "peers", "same name"},
		{"entry", "[control]\n" + control, "", "peers", "no [control] section"},
		{"entry", "\"10.20.1.4:7400\"\n\n[loc", "\"10.20.1.5:7400\"\n\n[loc", "internal_address", "differs from"},
		{"entry", "\"10.20.1.4:7400\"\n\n[loc", "\"0.0.0.0:7400\"\n\n[loc", "internal_address", "other hosts can reach"},
		{"entry", control, "", "control.data_folder", "is required"},
		{"entry", control, control + "election_timeout = \"150ms\"\n", "control.election_timeout", "above 3 times"},
		{"entry", control, control + "lease_duration = \"1s\"\n", "control.lease_duration", "above 2 times"},
		{"entry", control, control + "lease_duration = \"soon\"\n", "control.lease_duration", "not a valid duration"},
		{"entry", "name = \"entry-civic\"\ncaller", "claim_window = \"-1h\"\nname = \"entry-civic\"\ncaller", "claim_window", "between"},
		{"entry", "name = \"entry-civic\"\ncaller", "claim_window = \"200h\"\nname = \"entry-civic\"\ncaller", "claim_window", "between"},
		{"entry", "name = \"entry-civic\"\ncaller", "drain_delay = \"29s\"\nname = \"entry-civic\"\ncaller", "drain_delay", "between"},
		{"entry", control, control + "snapshot_entries = -1\n", "control.snapshot_entries", "out of range"},
		{"entry", "name = \"entry-civic\"\ncaller", "staleness_bound = \"4s\"\nname = \"entry-civic\"\ncaller", "staleness_bound", "between"},
		{"entry", "[control]", "[log]\nlevel = \"loud\"\n\n[control]", "log.level", "must be one of: debug info"},
		{"entry", "[control]", "[accounts]\nfrom = \"rack\"\n\n[control]", "accounts.from", "must be one of: none zone address queue"},
		{"entry", "[control]", "[accounts]\nheader = \"X Account\"\n\n[control]", "accounts.header", "name of an HTTP header"},
		{"entry", "[control]", "[accounts]\nname = \"a\"\n\n[control]", "accounts.name", "not a known key"},
		{"entry", "[control]", "[control", "", "expected"},
		{"agent", "local_address = \"10.20.1.21:7411\"", "local_address = \"10.20.1.21:7410\"", "local_address", "also the address"},
		{"agent", "name = \"runner-01\"", "heartbeat_interval = \"2s\"\nname = \"runner-01\"", "heartbeat_interval", "fit 2 times"},
		{"agent", "10.20.1.21:7600", "worker:7600", "worker", "IP number"},
		{"agent", "[[entries]]\nname = \"entry-depot\"", "[[entries]]\nname = \"entry-civic\"", "entries", "same name"},
	} {
		t.Run(c.field+" "+c.message, func(t *testing.T) {
			text := replaceIn(t, c.file, c.old, c.new)
			problems := parseFile(c.file, text)
			i := slices.IndexFunc(problems, func(p tomltext.Problem) bool {
				return p.Field == c.field && strings.Contains(p.Message, c.message)
			})
			if i < 0 {
				t.Fatalf("want %s: %s; got\n%v", c.field, c.message, problems)
			}
			key := c.field[strings.LastIndex(c.field, ".")+1:]
			line := strings.Split(text, "\n")[problems[i].Line-1]
			if strings.Contains(text, key+" =") && !strings.Contains(line, key) {
				t.Errorf("line %d is %q", problems[i].Line, line)
			}
		})
	}
}

func replaceIn(t *testing.T, file, old, new string) string {
	t.Helper()
	path := map[string]string{"entry": "entry-civic.toml", "agent": "agent.toml"}[file]
	text, err := os.ReadFile(filepath.Join(examples, "wrekinford", path))
	if err != nil {
		t.Fatal(err)
	}
	if !strings.Contains(string(text), old) {
		t.Fatalf("%s does not contain %q", path, old)
	}
	return strings.Replace(string(text), old, new, 1)
}

func parseFile(file, text string) tomltext.Problems {
	if file == "agent" {
		return parse([]byte(text), &Agent{})
	}
	return parse([]byte(text), &Entry{})
}

// All mistakes of a file are reported at once, as file:line: field: message.
func TestAllMistakesAreReported(t *testing.T) {
	path := filepath.Join(t.TempDir(), "entry.toml")
	text := "name = 3\ncaller_address = \"x\"\nadmin_adress = \"y\"\n[control]\nelection_timeout = \"1ms\"\n"
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	_, err := LoadEntry(path)
	for _, want := range []string{
		":1: name: must be a string", ":2: caller_address: ", ":3: admin_adress: is not a known key", ": admin_address: is required",
		": internal_address: is required", ": peers: is required", ":4: control.data_folder: is required", ":5: control.election_timeout: ", ": location.region: is required",
	} {
		if err == nil || !strings.Contains(err.Error(), path+want) {
			t.Errorf("no %q in\n%v", want, err)
		}
	}
	if strings.Contains(err.Error(), "name: is required") {
		t.Errorf("a name of a wrong type is also reported as missing:\n%v", err)
	}
}

// Settings that were created in code are checked by the same rules.
func TestCheckAppliesToSettingsMadeInCode(t *testing.T) {
	s, err := LoadEntry(filepath.Join(examples, "wrekinford", "entry-civic.toml"))
	if err != nil || s.Check() != nil {
		t.Fatal(err, s.Check())
	}
	s.StalenessBound.Duration *= 2
	if s.Check() == nil {
		t.Error("a staleness bound of 6 s was accepted")
	}
}

package account

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	"github.com/rcrowley/go-metrics"
)

// Guards against settings without accounts that give jobs an account, and against a source that is mixed
// up with another.
func TestAccountOfCaller(t *testing.T) {
	origin := Origin{AvailabilityZone: "north", Address: "2001:db8::7", Queue: "queues.example/q/"}
	for _, c := range []struct {
		header, source, value, want string
	}{
		{"", "", "team", ""},
		{"", "none", "team", ""},
		{"X-Account", "", "team", "team"},
		{"X-Account", "zone", "team", "team"},
		{"X-Account", "zone", "", "north"},
		{"X-Account", "", "", ""},
		{"", "address", "", "2001-db8--7"},
		{"", "queue", "", "queues.example-q-"},
	} {
		r, err := ParseRule(c.header, c.source)
		if err != nil {
			t.Fatal(err)
		}
		o := origin
		o.HeaderValue = c.value
		if got, err := r.Of(o); err != nil || got != c.want {
			t.Errorf("%+v: %q, %v", c, got, err)
		}
	}
	long := Rule{Fallback: AvailabilityZone}
	a, _ := long.Of(Origin{AvailabilityZone: strings.Repeat("z", 200) + "1"})
	b, _ := long.Of(Origin{AvailabilityZone: strings.Repeat("z", 200) + "2"})
	if a == b || ValidateName(a) != nil {
		t.Errorf("long zones: %q and %q", a, b)
	}
}

// Guards against settings that are accepted and never match a caller.
func TestRulesOfUnknownSourcesAreRefused(t *testing.T) {
	for _, bad := range [][2]string{{"", "rack"}, {"X Account", "none"}, {"X-Account:", "none"}} {
		if r, err := ParseRule(bad[0], bad[1]); err == nil {
			t.Errorf("%q: %+v", bad, r)
		}
	}
}

// Guards against a name from a header or an entry's own knowledge that the log refuses, and against an
// error that does not name the header.
func FuzzAccountNames(f *testing.F) {
	for _, s := range []string{"", "team", "a.b_c-D9", "a b", "é", strings.Repeat("a", 64), strings.Repeat("a", 65), "\x00", "a,b"} {
		f.Add(s)
	}
	f.Fuzz(func(t *testing.T, s string) {
		got, err := Rule{Header: "X-Account"}.Of(Origin{HeaderValue: s})
		switch {
		case err != nil && !strings.Contains(err.Error(), "header X-Account"):
			t.Errorf("%q: the error does not name the header: %v", s, err)
		case err == nil && got != s:
			t.Errorf("%q became %q", s, got)
		case err == nil && s != "" && ValidateName(got) != nil:
			t.Errorf("%q is accepted and invalid", s)
		}
		if name := nameFrom(s); (name == "") != (s == "") || name != "" && ValidateName(name) != nil {
			t.Errorf("%q gave the invalid name %q", s, name)
		}
	})
}

// Guards against a table that grows with the names that callers make up, and against one that takes the
// value from an account that is in use.
func TestTableKeepsRecentAccounts(t *testing.T) {
	var merged []string
	table := NewTable(2, func(name string, value, other *int) {
		merged = append(merged, name)
		*other += *value
	})
	for i := range 10 {
		*table.Use("busy")++
		*table.Use(fmt.Sprint("caller", i))++
	}
	if table.Len() != 2 || *table.Get("busy") != 10 || *table.Get("caller9") != 1 {
		t.Errorf("%d accounts, busy %d", table.Len(), *table.Get("busy"))
	}
	if *table.Get("caller0") != 9 || *table.Use(Other) != 9 || slices.Contains(merged, "busy") {
		t.Errorf("other has %d of %v", *table.Use(Other), merged)
	}
}

// Guards against metrics that grow without bound, and against events that are lost when an account loses
// its counters.
func TestCountersHaveBoundedSeries(t *testing.T) {
	r := metrics.NewRegistry()
	c := NewCounters("submissions", r)
	c.Count("", "accepted")
	for i := range 3 * maxCounted {
		c.Count(fmt.Sprint("caller", i), "accepted")
	}
	series, total := 0, int64(0)
	r.Each(func(_ string, counter any) {
		series++
		total += counter.(metrics.Counter).Count()
	})
	if series != maxCounted+1 || total != 3*maxCounted {
		t.Errorf("%d series count %d events", series, total)
	}
}

package spec

import (
	"net/http"
	"slices"
	"strings"
	"time"

	apiv1 "github.com/cairnlift/cairnlift/api/v1"
	"github.com/cairnlift/cairnlift/tomltext"
)

const (
	maxTimeout     = time.Hour
	maxExpectedRun = 365 * 24 * time.Hour
)

var methods = []string{
	http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodPost,
	http.MethodPut, http.MethodPatch, http.MethodDelete,
}

func (p *parser) service(t *tomltext.Table) {
	require(t, "name", "paths", "objective", "slots", "connections", "size")
	s := &apiv1.Service{Name: p.name(t, "service")}
	s.PathPrefixes = p.pathPrefixes(t, s.Name)
	s.ObjectiveMs, _ = duration(t, "objective", maxTimeout)
	s.TimeoutMs = timeout(t, s.ObjectiveMs)
	s.Slots = int32(integer(t, "slots", 1, maxSlots, 0))
	s.Connections = int32(integer(t, "connections", 1, maxSlots, 0))
	if s.Slots > 0 && s.Connections > 0 && s.Connections < s.Slots {
		t.AddProblem("connections", "%d can't fill the %s of a target", s.Connections, plural(int(s.Slots), "slot"))
	}
	s.Size = requiredSize(t)
	s.DependsOn = p.dependsOn(t)
	s.Team = p.teamOf(t)
	s.IdempotentRoutes = routes(t, s.PathPrefixes)
	t.RejectUnknownKeys()
	p.config.Services = append(p.config.Services, s)
}

// timeout is four times the objective when the text leaves it out.
func timeout(t *tomltext.Table, objectiveMs int64) int64 {
	if !t.Has("timeout") {
		return min(objectiveMs*defaultTimeoutRatio, maxTimeout.Milliseconds())
	}
	ms, ok := duration(t, "timeout", maxTimeout)
	if ok && ms < objectiveMs {
		t.AddProblem("timeout", "%s is shorter than the objective, %s", formatDuration(ms), formatDuration(objectiveMs))
	}
	return ms
}

func requiredSize(t *tomltext.Table) *apiv1.Resources {
	sub, ok := t.Table("size")
	if !ok {
		return nil
	}
	return size(sub, sizeRules{limitFactor: 1})
}

func (p *parser) pathPrefixes(t *tomltext.Table, service string) []string {
	prefixes := t.Strings("paths")
	if t.Has("paths") && (len(prefixes) == 0 || len(prefixes) > maxPathPrefixes) {
		t.AddProblem("paths", "must name between 1 and %d path prefixes", maxPathPrefixes)
		return nil
	}
	for _, prefix := range prefixes {
		if mistake := pathProblem(prefix); mistake != "" {
			t.AddProblem("paths", "%q %s", tomltext.Shorten(prefix), mistake)
			continue
		}
		p.prefixes = append(p.prefixes, prefixOwner{path: t.Path("paths"), service: service, prefix: prefix})
	}
	return prefixes
}

// pathProblem says what is wrong with a path prefix; empty when nothing is.
func pathProblem(path string) string {
	switch {
	case !strings.HasPrefix(path, "/"):
		return "must start with a slash"
	case len(path) > maxPathBytes:
		return "is too long for a path prefix"
	case strings.Contains(path, "//") || strings.Contains(path, "/../") || strings.Contains(path, "/./"):
		return "must not hold empty, . or .. segments"
	case strings.HasSuffix(path, "/..") || strings.HasSuffix(path, "/."):
		return "must not hold empty, . or .. segments"
	case strings.ContainsFunc(path, invalidPathRune):
		return "may hold letters, digits and -._~!$&'()*+,;=:@%/ only"
	}
	return ""
}

func invalidPathRune(r rune) bool {
	letter := r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z' || r >= '0' && r <= '9'
	return !letter && !strings.ContainsRune("-._~!$&'()*+,;=:@%/", r)
}

// routes reads entries such as "GET /pitches" or, for every method, "/pitches".
func routes(t *tomltext.Table, prefixes []string) []*apiv1.Route {
	texts := t.Strings("idempotent")
	if len(texts) > maxRoutes {
		t.AddProblem("idempotent", "there are %d routes, more than the %d allowed", len(texts), maxRoutes)
		return nil
	}
	var out []*apiv1.Route
	for _, text := range texts {
		r, mistake := parseRoute(text)
		if mistake == "" && !matchesAnyPrefix(r.PathPrefix, prefixes) {
			mistake = "lies under none of the service's paths"
		}
		if mistake != "" {
			t.AddProblem("idempotent", "%q %s", tomltext.Shorten(text), mistake)
			continue
		}
		out = append(out, r)
	}
	return out
}

func parseRoute(text string) (*apiv1.Route, string) {
	method, path, found := strings.Cut(text, " ")
	if !found {
		method, path = "", text
	}
	if found && !slices.Contains(methods, method) {
		return nil, "must start with a method (" + strings.Join(methods, ", ") + ") or a path"
	}
	return &apiv1.Route{Method: method, PathPrefix: path}, pathProblem(path)
}

func matchesAnyPrefix(path string, prefixes []string) bool {
	return slices.ContainsFunc(prefixes, func(prefix string) bool { return matchesPrefix(path, prefix) })
}

// matchesPrefix reports whether the prefix of a path ends at one of its segments, which
// is how entries match requests to services.
func matchesPrefix(path, prefix string) bool {
	rest, ok := strings.CutPrefix(path, strings.TrimRight(prefix, "/"))
	return ok && (rest == "" || rest[0] == '/')
}

// checkPrefixes refuses one prefix at two services. Prefixes that only differ
// by a trailing slash match the same paths and clash too. A longer prefix within
// a shorter one is fine, as the longest match wins.
func (p *parser) checkPrefixes() {
	owners := map[string]prefixOwner{}
	for _, o := range p.prefixes {
		key := strings.TrimRight(o.prefix, "/")
		first, taken := owners[key]
		if taken {
			p.doc.AddProblem(o.path, "%q clashes with %q of service %q (line %d)", o.prefix, first.prefix, first.service, p.doc.Line(first.path))
			continue
		}
		owners[key] = o
	}
}

package settings

import (
	"net/netip"
	"reflect"
	"regexp"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-playground/validator/v10"

	"github.com/cairnlift/cairnlift/account"
	"github.com/cairnlift/cairnlift/tomltext"
)

// Limits of single settings.
const (
	minShutdownBound  = 100 * time.Millisecond
	maxShutdownBound  = time.Hour
	minStalenessBound = 100 * time.Millisecond
	// maxStalenessBound guarantees that a configuration is in effect everywhere within
	// 3 s: a process that cannot confirm its own configuration stops in time.
	maxStalenessBound  = 3 * time.Second
	minHeartbeat       = 5 * time.Millisecond
	maxAgentHeartbeat  = 10 * time.Second
	maxElectionTimeout = time.Minute
	maxLeaseDuration   = 10 * time.Minute
	minClaimWindow     = time.Second
	// maxClaimWindow equals state.MaxClaimWindow. The state machine shortens longer
	// windows, so a longer setting would not take effect.
	maxClaimWindow                  = 7 * 24 * time.Hour
	maxClockRateError               = 100_000
	maxBodyBytes                    = 64 << 20
	minHeartbeatsPerElectionTimeout = 3
	minElectionTimeoutsPerLease     = 2
	minHeartbeatsPerStalenessBound  = 2
)

var hostNamePattern = regexp.MustCompile(`^[a-z0-9]([-.a-z0-9]{0,61}[a-z0-9])?$`)

// ruleMessages holds the error message of each rule in the validate tags. A message that ends
// with a space is followed by the tag's parameter.
var ruleMessages = map[string]string{
	"required":    "is required",
	"hostport_ip": "must be an IP number and a port, such as 10.20.0.4:7400; host names are not resolved",
	"reachable":   "must be an address that other hosts can reach, not 0.0.0.0 or [::]",
	"host_name":   "must be 1 to 63 lower case letters, digits and inner hyphens or dots",
	"header_name": "must be the name of an HTTP header, such as X-Account",
	"oneof":       "must be one of: ",
	"unique":      "must not contain two hosts with the same ",
	"max":         "must not contain more hosts than ",
}

var rules = newRules()

func newRules() *validator.Validate {
	v := validator.New(validator.WithRequiredStructEnabled())
	v.RegisterTagNameFunc(func(f reflect.StructField) string { return f.Tag.Get("toml") })
	register(v, "hostport_ip", isHostPortIP)
	register(v, "reachable", isReachable)
	register(v, "header_name", isHeaderName)
	register(v, "host_name", hostNamePattern.MatchString)
	return v
}

func register(v *validator.Validate, tag string, valid func(string) bool) {
	err := v.RegisterValidation(tag, func(f validator.FieldLevel) bool { return valid(f.Field().String()) })
	if err != nil {
		// The tags are constants of this package, so this fails only if one is malformed.
		panic("settings: rule " + tag + " can't be registered: " + err.Error())
	}
}

func isHeaderName(s string) bool {
	_, err := account.ParseRule(s, "")
	return err == nil
}

// isHostPortIP reports whether s is an IP address and a port. Host names are rejected, since
// processes connect to each other by IP address only.
func isHostPortIP(s string) bool {
	addr, err := netip.ParseAddrPort(s)
	return err == nil && addr.Port() > 0
}

func isReachable(s string) bool {
	addr, err := netip.ParseAddrPort(s)
	return err == nil && !addr.Addr().IsUnspecified()
}

// checkTags reports values that violate the validate tags, unless the key has another problem.
func checkTags(doc *tomltext.Document, s any) {
	var found validator.ValidationErrors
	if !errors.As(rules.Struct(s), &found) {
		return
	}
	for _, f := range found {
		_, path, _ := strings.Cut(f.Namespace(), ".")
		if !doc.HasProblem(path) {
			doc.AddProblem(path, "%s", ruleMessage(f))
		}
	}
}

func ruleMessage(f validator.FieldError) string {
	text, known := ruleMessages[f.Tag()]
	if !known {
		return "violates the rule " + f.Tag()
	}
	if strings.HasSuffix(text, " ") {
		return text + strings.ToLower(f.Param())
	}
	return text
}

// checkRange reports a value outside of its limits, unless the key has another problem.
func checkRange[T int64 | time.Duration](doc *tomltext.Document, path string, v, low, high T) {
	if (v < low || v > high) && !doc.HasProblem(path) {
		doc.AddProblem(path, "%v must be between %v and %v", v, low, high)
	}
}

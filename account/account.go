// Package account determines which client account a submitted job belongs to. It does no I/O: the
// process that receives the submission passes in what it knows of the caller.
package account

import (
	"fmt"
	"hash/fnv"
	"strings"

	"github.com/cockroachdb/errors"
)

// Source is what stands for the account of a caller that names none.
type Source int

// The sources.
const (
	// None leaves the account empty. All jobs then share one account, and nothing depends on it.
	None Source = iota
	// AvailabilityZone uses the availability zone of the entry that received the submission.
	AvailabilityZone
	// Address uses the caller's IP address, without the port.
	Address
	// Queue uses the host and path prefix of the queue.
	Queue
)

// sourceNames are the names of the sources in settings.
var sourceNames = map[string]Source{"none": None, "zone": AvailabilityZone, "address": Address, "queue": Queue}

// SourceNames returns the names of all sources, as ParseRule accepts them.
func SourceNames() []string { return []string{"none", "zone", "address", "queue"} }

// Rule determines accounts. The zero Rule leaves all accounts empty.
type Rule struct {
	// Header is the name of the HTTP header in which callers name their account; empty if there is
	// none.
	Header string
	// Fallback applies to callers that send no such header.
	Fallback Source
}

// ParseRule returns the rule that settings describe: the name of a header, empty for none, and the name
// of a source, which may be empty for none.
func ParseRule(header, source string) (Rule, error) {
	if !isHeaderName(header) {
		return Rule{}, errors.Newf("%q is not the name of a header", header)
	}
	fallback, known := sourceNames[source]
	if !known && source != "" {
		return Rule{}, errors.Newf("%q is not a source of client accounts: %s", source, strings.Join(SourceNames(), ", "))
	}
	return Rule{Header: header, Fallback: fallback}, nil
}

// isHeaderName reports whether a string is empty or consists of the characters that the names of HTTP
// headers use.
func isHeaderName(name string) bool {
	return strings.IndexFunc(name, func(c rune) bool { return !allowedInName(c) || c == '.' }) < 0
}

// Origin is what is known of the caller of a submission. Fields that are not known are empty.
type Origin struct {
	// HeaderValue is the value of the rule's header.
	HeaderValue      string
	AvailabilityZone string
	Address          string
	Queue            string
}

// maxNameLength bounds the length of an account's name in bytes.
const maxNameLength = 64

// ValidateName returns an error unless a string of 1 to 64 characters of a-z, A-Z, 0-9 and "._-"
// is given.
func ValidateName(name string) error {
	switch {
	case name == "":
		return errors.New("the name of the client account is missing")
	case len(name) > maxNameLength:
		return errors.Newf("the name of a client account has at most %d characters", maxNameLength)
	}
	for _, c := range name {
		if !allowedInName(c) {
			return errors.Newf("the name of a client account must not contain %q", c)
		}
	}
	return nil
}

func allowedInName(c rune) bool {
	switch {
	case c >= 'a' && c <= 'z', c >= 'A' && c <= 'Z', c >= '0' && c <= '9':
		return true
	}
	return c == '.' || c == '_' || c == '-'
}

// Of returns the account of a caller, empty if the rule determines none. An error means that the
// caller named an invalid account.
func (r Rule) Of(o Origin) (string, error) {
	if r.Header != "" && o.HeaderValue != "" {
		return o.HeaderValue, errors.Wrapf(ValidateName(o.HeaderValue), "header %s", r.Header)
	}
	switch r.Fallback {
	case AvailabilityZone:
		return nameFrom(o.AvailabilityZone), nil
	case Address:
		return nameFrom(o.Address), nil
	case Queue:
		return nameFrom(o.Queue), nil
	}
	return "", nil
}

// nameFrom returns a valid name for an availability zone, address or queue, empty for an empty string.
// Characters that names may not contain, such as the colons of IPv6 addresses, become hyphens. The end
// of a string that is too long is replaced by its hash, so that strings with the same beginning stay
// apart.
func nameFrom(s string) string {
	name := strings.Map(func(c rune) rune {
		if allowedInName(c) {
			return c
		}
		return '-'
	}, s)
	if len(name) <= maxNameLength {
		return name
	}
	h := fnv.New32a()
	_, _ = h.Write([]byte(s)) // a hash accepts every write
	suffix := fmt.Sprintf("-%08x", h.Sum32())
	return name[:maxNameLength-len(suffix)] + suffix
}

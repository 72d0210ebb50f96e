// Package account determines which client account a submitted job belongs to. It does no I/O: the
// process that receives the submission passes in what it knows of the caller.
package account

import (
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
	// Queue uses the name of the queue.
	Queue
)

// Rule determines accounts. The zero Rule leaves all accounts empty.
type Rule struct {
	// Header is the name of the HTTP header in which callers name their account; empty if there is
	// none.
	Header string
	// Fallback applies to callers that send no such header.
	Fallback Source
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
		return o.AvailabilityZone, nil
	case Address:
		return o.Address, nil
	case Queue:
		return o.Queue, nil
	}
	return "", nil
}

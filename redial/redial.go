// Package redial is an HTTP transport that does not trust its idle connections
// once a call went unanswered.
//
// What goes wrong without it: connections go silent for good without a reset, when
// the host at the other end lost its power or something between forgot them. Each
// of them is found out only by a call that times out on it, one after the other; a
// pool of twenty costs twenty timeouts. One notices it as calls to a host that time
// out for seconds after the host is back, while new connections to it work.
package redial

import (
	"context"
	"net"
	"net/http"
	"time"
)

// DialFunc opens a connection.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// Options set up a Transport.
type Options struct {
	// Dial opens its connections; it dials by itself when unset, within DialTimeout.
	Dial        DialFunc
	DialTimeout time.Duration
	// MaxIdlePerHost is the number of idle connections kept to one host.
	MaxIdlePerHost int
	// IdleTimeout is how long a connection may be idle.
	IdleTimeout time.Duration
}

// Transport closes all idle connections after a call without an answer.
type Transport struct{ *http.Transport }

// New returns a transport.
func New(o Options) Transport {
	if o.Dial == nil {
		o.Dial = (&net.Dialer{Timeout: o.DialTimeout}).DialContext
	}
	return Transport{&http.Transport{
		DialContext: o.Dial, MaxIdleConnsPerHost: o.MaxIdlePerHost, IdleConnTimeout: o.IdleTimeout,
		DisableCompression: true,
	}}
}

// RoundTrip implements http.RoundTripper.
func (t Transport) RoundTrip(r *http.Request) (*http.Response, error) {
	resp, err := t.Transport.RoundTrip(r)
	if err != nil {
		t.CloseIdleConnections()
	}
	return resp, err
}

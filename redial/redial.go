// Package redial provides an HTTP transport that closes its idle connections once a call fails.
//
// Connections can stop working without a reset, when the host at the other end lost power or a
// middlebox dropped their state. Each such connection is detected only by a call that times out on
// it, one after the other, so a pool of twenty connections costs twenty timeouts. Without this
// transport, calls to a host time out for seconds after the host is back, although new connections
// to it work.
package redial

import (
	"context"
	"net"
	"net/http"
	"time"
)

// DialFunc opens a network connection.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// Options configure a Transport.
type Options struct {
	// Dial opens the connections. When it is nil, a net.Dialer with DialTimeout is used.
	Dial        DialFunc
	DialTimeout time.Duration
	// MaxIdlePerHost is the number of idle connections kept to one host.
	MaxIdlePerHost int
	// IdleTimeout is how long a connection may be idle before it is closed.
	IdleTimeout time.Duration
}

// Transport closes all idle connections after a call without a response.
type Transport struct{ *http.Transport }

// New returns a Transport with the given options.
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

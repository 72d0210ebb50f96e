package main

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"

	apiv1 "github.com/cairnlift/cairnlift/api/v1"
)

// countingListener counts the bytes that its connections read and write.
type countingListener struct {
	net.Listener
	bytes atomic.Int64
}

func (l *countingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &countingConn{Conn: c, bytes: &l.bytes}, nil
}

type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (c *countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.bytes.Add(int64(n))
	return n, err
}

func (c *countingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.bytes.Add(int64(n))
	return n, err
}

// heartbeatServer is an entry that answers heartbeats without processing them.
type heartbeatServer struct{ apiv1.Control }

func (heartbeatServer) Heartbeat(context.Context, *apiv1.HeartbeatRequest) (*apiv1.HeartbeatResponse, error) {
	return heartbeatResponse(3), nil
}

// measureWire measures Twirp calls over a persistent loopback connection.
func (r *recorder) measureWire() {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must(err)
	counted := &countingListener{Listener: listener}
	server := &http.Server{Handler: apiv1.NewControlServer(heartbeatServer{})}
	served := make(chan struct{})
	go func() {
		_ = server.Serve(counted) // returns when the server is closed
		close(served)
	}()
	client := apiv1.NewControlProtobufClient("http://"+listener.Addr().String(), &http.Client{Transport: &http.Transport{}})
	hb := heartbeatRequest(3, leasesPerWorker, targetsPerWorker)
	call := func() {
		_, err := client.Heartbeat(context.Background(), hb)
		must(err)
	}
	call()
	payload := encodedSize(hb) + encodedSize(heartbeatResponse(3))
	r.measure("callB", "HTTP around a call and its answer, payload left out, TCP and IP headers too", "B", "call", batchSizes, func(n int) float64 {
		before := counted.bytes.Load()
		for range n {
			call()
		}
		return float64(counted.bytes.Load()-before) - float64(n)*payload
	})
	r.measure("callNs", "heartbeat calls with 7 leases and 6 targets, client and server together", "ns", "call", batchSizes, func(n int) float64 {
		return costPerCall(func() {
			for range n {
				call()
			}
		})
	})
	must(server.Close())
	<-served
}

package fakes

import (
	"context"
	"encoding/json"
	"net"
	"net/http"

	"github.com/julienschmidt/httprouter"
	"github.com/sourcegraph/conc"
)

// Paths of a link server's control address.
const (
	// PathLink precedes a link's name; PUT changes its state.
	PathLink       = "/v1/links/"
	PathLinksReady = "/v1/ready"
)

// LinkRoute is one link of a LinkServer.
type LinkRoute struct {
	Name     string
	Listener net.Listener
	Upstream string
}

// ServeLinks runs links and answers changes of their states on control until
// ctx ends.
func ServeLinks(ctx context.Context, control net.Listener, routes []LinkRoute) error {
	ctx, cancel := context.WithCancel(ctx)
	var wg conc.WaitGroup
	defer wg.Wait()
	defer cancel()
	links := map[string]*Link{}
	for _, route := range routes {
		link := NewLink(route.Upstream)
		links[route.Name] = link
		wg.Go(func() { _ = link.Serve(ctx, route.Listener) })
	}
	r := httprouter.New()
	r.HandlerFunc(http.MethodGet, PathLinksReady, func(http.ResponseWriter, *http.Request) {})
	r.PUT(PathLink+":name", func(w http.ResponseWriter, req *http.Request, p httprouter.Params) {
		setLink(w, req, links[p.ByName("name")])
	})
	return serve(ctx, control, r, shutdownGrace)
}

func setLink(w http.ResponseWriter, r *http.Request, link *Link) {
	if link == nil {
		http.Error(w, "no such link", http.StatusNotFound)
		return
	}
	var s LinkState
	if err := json.NewDecoder(r.Body).Decode(&s); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if err := link.Set(s); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
	}
}

// Package serving opens the ports of a program and serves on them until the program ends. Agents and routers share it.
package serving

import (
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// readHeaderTimeout bounds the time to read the header of an HTTP request.
	readHeaderTimeout = 5 * time.Second
	// failuresKept is how many failed ports are reported before anybody looks.
	failuresKept = 2
)

// Listen opens a port, or takes a listener that is already open. The error carries the step and the process.
func Listen(given net.Listener, address, step, process string) (net.Listener, error) {
	if given != nil {
		return given, nil
	}
	listener, err := net.Listen("tcp", address)
	return listener, errors.Wrapf(err, "step %s: %s", step, process)
}

// PeersServer returns the server for other processes: HTTP/2 without encryption, and HTTP/1 for small requests.
func PeersServer(handler http.Handler) *http.Server {
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	protocols.SetUnencryptedHTTP2(true)
	return &http.Server{Handler: handler, Protocols: protocols, ReadHeaderTimeout: readHeaderTimeout}
}

// PlainServer returns a server with a bound on the time to read the header.
func PlainServer(handler http.Handler) *http.Server {
	return &http.Server{Handler: handler, ReadHeaderTimeout: readHeaderTimeout}
}

// Group serves on the ports of one process.
type Group struct {
	process string
	servers []*http.Server
	failed  chan error
}

// NewGroup returns a group without ports.
func NewGroup(process string) *Group {
	return &Group{process: process, failed: make(chan error, failuresKept)}
}

// Serve serves on a listener until Close.
func (g *Group) Serve(server *http.Server, listener net.Listener) {
	g.servers = append(g.servers, server)
	go func() {
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			g.failed <- errors.Wrapf(err, "step serve: %s at %s", g.process, listener.Addr())
		}
	}()
}

// Failed delivers an error when a port stops serving.
func (g *Group) Failed() <-chan error { return g.failed }

// Close ends all servers at once.
func (g *Group) Close() {
	for _, server := range g.servers {
		_ = server.Close()
	}
}

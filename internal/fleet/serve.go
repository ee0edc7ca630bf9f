package fleet

import (
	"net"
	"net/http"
	"sync"

	"github.com/cockroachdb/errors"
)

// loopback asks for a free port that only this machine reaches.
const loopback = "127.0.0.1:0"

// listen opens a free port for a process.
func listen(process string) (net.Listener, error) {
	listener, err := net.Listen("tcp", loopback)
	return listener, errors.Wrapf(err, "step listen: %s", process)
}

// httpServers are the servers of the stand-ins.
type httpServers struct {
	running sync.WaitGroup
	servers []*http.Server
}

// start serves on a listener until close.
func (h *httpServers) start(listener net.Listener, handler http.Handler) {
	server := &http.Server{Handler: handler}
	h.servers = append(h.servers, server)
	h.running.Go(func() {
		// Serve always returns an error; a listener that breaks shows in the requests to it.
		_ = server.Serve(listener)
	})
}

// close ends all servers and cuts their connections.
func (h *httpServers) close() {
	for _, server := range h.servers {
		_ = server.Close()
	}
	h.running.Wait()
}

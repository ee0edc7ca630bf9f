// Package workerpaths puts a proxy on each network path between a gateway and a worker of a simulated fleet, so that some gateways can be
// cut off from some workers while all others reach them.
package workerpaths

import (
	"encoding/json"
	"net/http"
	"strings"
	"sync"

	"github.com/granitebay/granitebay/internal/standin/fleet"
	"github.com/granitebay/granitebay/internal/standin/netproxy"
)

// workerPrefix begins the keys of the records of workers.
const workerPrefix = "servers/"

// Paths holds the paths of all gateways. It is safe for concurrent use.
type Paths struct {
	fleet *fleet.Fleet

	mu    sync.Mutex
	paths map[path]*link
	// cuts are the faults on the paths of a gateway to the workers of a service; an empty service stands for all.
	cuts map[cut]netproxy.Mode
	// down holds the registered addresses of the workers that are down.
	down map[string]bool
}

// path identifies the path of a gateway to the worker registered at an address.
type path struct{ gateway, address string }

// cut identifies the paths of a gateway to the workers of a service.
type cut struct{ gateway, service string }

// link is the proxy on a path.
type link struct {
	proxy   *netproxy.Proxy
	service string
}

// New returns the paths to the workers of a fleet.
func New(f *fleet.Fleet) *Paths {
	return &Paths{fleet: f, paths: map[path]*link{}, cuts: map[cut]netproxy.Mode{}, down: map[string]bool{}}
}

// Store returns the store as a gateway sees it: with the addresses of its own paths as those of the workers.
func (p *Paths) Store(gateway string) http.Handler {
	return p.fleet.Store.View(func(key string, value []byte) []byte {
		if !strings.HasPrefix(key, workerPrefix) {
			return value
		}
		record := map[string]json.RawMessage{}
		var address, service string
		if json.Unmarshal(value, &record) != nil || json.Unmarshal(record["address"], &address) != nil {
			return value
		}
		_ = json.Unmarshal(record["service"], &service)
		proxied, err := p.proxyAddress(gateway, address, service)
		if err != nil {
			return value
		}
		record["address"], _ = json.Marshal(proxied)
		rewritten, err := json.Marshal(record)
		if err != nil {
			return value
		}
		return rewritten
	})
}

// proxyAddress returns the address of the proxy on a path, and starts it if it does not exist.
func (p *Paths) proxyAddress(gateway, address, service string) (string, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	id := path{gateway, address}
	if known, found := p.paths[id]; found {
		return known.proxy.Address(), nil
	}
	proxy, err := netproxy.New(address)
	if err != nil {
		return "", err
	}
	p.paths[id] = &link{proxy: proxy, service: service}
	p.fleet.AddAlias(proxy.Address(), address)
	proxy.Set(p.mode(id, service))
	return proxy.Address(), nil
}

// mode returns the fault on a path to a worker of a service. The mutex is held.
func (p *Paths) mode(id path, service string) netproxy.Mode {
	for _, each := range []cut{{id.gateway, service}, {id.gateway, ""}} {
		if mode, isCut := p.cuts[each]; isCut {
			return mode
		}
	}
	return p.uncut(id)
}

// uncut returns the mode of a path without a fault: like the address of a worker that is down, it refuses connections. The mutex is held.
func (p *Paths) uncut(id path) netproxy.Mode {
	if p.down[id.address] {
		return netproxy.ModeRefuse
	}
	return netproxy.ModePass
}

// SetDown sets whether the worker registered at an address is down, so that all paths to it refuse connections.
func (p *Paths) SetDown(address string, down bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.down[address] = down
	for id, link := range p.paths {
		if id.address == address {
			link.proxy.Set(p.mode(id, link.service))
		}
	}
}

// Set injects a fault on the paths of a gateway to the workers of a service, or of all services if it is empty. It also applies to
// workers that start later.
func (p *Paths) Set(gateway, service string, mode netproxy.Mode) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if mode == netproxy.ModePass {
		delete(p.cuts, cut{gateway, service})
	} else {
		p.cuts[cut{gateway, service}] = mode
	}
	var set sync.WaitGroup
	for id, link := range p.paths {
		if id.gateway == gateway && (service == "" || link.service == service) {
			applied := mode
			if mode == netproxy.ModePass {
				applied = p.uncut(id)
			}
			set.Go(func() { link.proxy.Set(applied) })
		}
	}
	set.Wait()
}

// Heal removes all faults.
func (p *Paths) Heal() {
	p.mu.Lock()
	defer p.mu.Unlock()
	clear(p.cuts)
	for id, link := range p.paths {
		link.proxy.Set(p.uncut(id))
	}
}

// Close closes all proxies.
func (p *Paths) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, link := range p.paths {
		link.proxy.Close()
	}
}

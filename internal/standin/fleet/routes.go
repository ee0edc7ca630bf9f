package fleet

import "time"

// Host is the host of the routes that the stand-in operators write.
const Host = "shop.example"

// Configuration is what the stand-in operators write.
type Configuration struct {
	Version int
	// TimeoutMs of every route.
	TimeoutMs int
	// MaxAttempts of every route; 0 is two.
	MaxAttempts int
	// IdleMs bounds the rest of callers' connections; 0 is DefaultIdle.
	IdleMs   int
	Routes   []Route
	Services []Service
	// Tenants are the keys of each tenant; nil is a configuration without tenants.
	Tenants map[string][]string
}

// Route sends the requests below a path to a service.
type Route struct {
	Name string
	// Prefix begins and ends with a slash.
	Prefix    string
	Kind      RouteKind
	Service   string
	Resumable bool
}

// RouteKind says how often the requests of a route may run, in the words of the platform.
type RouteKind string

// The kinds of routes.
const (
	RouteRunsOnce   RouteKind = "non_idempotent"
	RouteRepeatable RouteKind = "idempotent"
	RouteStreams    RouteKind = "stream"
)

// Service is a set of workers; those with memory are model engines.
type Service struct {
	Name string
	// MemoryTokens is zero for plain workers.
	MemoryTokens int
}

// What the operators say of every route and engine.
const (
	targetLatencyMs = 300
	minAttempts     = 2
	maxConnections  = 1000
	tokenBytes      = 163840
	linkMbps        = 1e6
	// healthPath is where a worker tells who it is.
	healthPath = "/health"
)

// DefaultIdle is how long connections of callers may rest when a configuration does not say it.
const DefaultIdle = 15 * time.Second

// Configure writes a configuration.
func (f *Fleet) Configure(wanted Configuration) {
	routes := []jsonObject{}
	for _, each := range wanted.Routes {
		routes = append(routes, jsonObject{
			"name": each.Name, "host": Host, "pathPrefix": each.Prefix, "kind": each.Kind, "timeoutMs": wanted.TimeoutMs,
			"targetLatencyMs": targetLatencyMs, "priority": 1, "service": each.Service, "maxAttempts": max(wanted.MaxAttempts, minAttempts), "resumable": each.Resumable,
		})
	}
	services := []jsonObject{}
	for _, each := range wanted.Services {
		services = append(services, each.record())
	}
	idleMs := int(DefaultIdle / time.Millisecond)
	if wanted.IdleMs > 0 {
		idleMs = wanted.IdleMs
	}
	record := jsonObject{
		"version": wanted.Version, "routes": routes, "services": services,
		"limits": jsonObject{"maxHeaderBytes": 16384, "maxBodyBytes": 4 << 20, "headerTimeoutMs": 3000, "idleTimeoutMs": idleMs},
	}
	if wanted.Tenants != nil {
		tenants := []jsonObject{}
		for name, keys := range wanted.Tenants {
			tenants = append(tenants, jsonObject{"name": name, "apiKeys": keys})
		}
		record["tenants"] = tenants
	}
	f.Store.Put("op/config", record)
}

// record is a service as operators write it.
func (s Service) record() jsonObject {
	record := jsonObject{"name": s.Name, "maxConns": maxConnections, "healthPath": healthPath}
	if s.MemoryTokens > 0 {
		record["engine"] = jsonObject{
			"kvCapacity": s.MemoryTokens, "tokenKvBytes": tokenBytes, "linkMbps": linkMbps, "stride": 1, "kvTtlS": 5, "reconfigS": 1,
		}
	}
	return record
}

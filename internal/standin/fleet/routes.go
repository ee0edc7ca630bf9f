package fleet

import "time"

// Host is the host name of all routes.
const Host = "shop.example"

// Configuration is a routing configuration as the operators write it.
type Configuration struct {
	Version int
	// TimeoutMs is the timeout of every route.
	TimeoutMs int
	// MaxAttempts is the number of attempts of every route; values below two mean two.
	MaxAttempts int
	// IdleMs is the idle timeout of client connections; 0 means DefaultIdle.
	IdleMs int
	// HeaderMs is the timeout for request headers; 0 means DefaultHeader.
	HeaderMs int
	// MaxBodyBytes bounds request bodies, and MaxConnections the connections to one worker; 0 means the default.
	MaxBodyBytes   int
	MaxConnections int
	Routes         []Route
	Services       []Service
	// Tenants maps each tenant to its API keys; nil disables tenants.
	Tenants map[string][]string
}

// Route sends the requests with a path prefix to a service.
type Route struct {
	Name string
	// Prefix starts and ends with a slash.
	Prefix    string
	Kind      RouteKind
	Service   string
	Resumable bool
	// Split divides the requests among services by weight, in place of Service.
	Split []Share
}

// Share is the share of a service in the requests of a route.
type Share struct {
	Service string `json:"service"`
	Weight  int    `json:"weight"`
}

// RouteKind is the repeatability of a route's requests, as spelled in the platform's protocol.
type RouteKind string

// The route kinds.
const (
	RouteRunsOnce   RouteKind = "non_idempotent"
	RouteRepeatable RouteKind = "idempotent"
	RouteStreams    RouteKind = "stream"
)

// Service is a set of workers. Services with memory consist of model engines.
type Service struct {
	Name string
	// MemoryTokens is the prompt cache capacity of the engines; zero for plain workers.
	MemoryTokens int
	// Backups is set if the engines keep copies of each other's runs.
	Backups bool
}

// Fixed values of the generated configuration.
const (
	targetLatencyMs = 300
	minAttempts     = 2
	maxConnections  = 1000
	maxBodyBytes    = 4 << 20
	tokenBytes      = 163840
	linkMbps        = 1e6
	// healthPath is the path at which a worker returns its instance ID.
	healthPath = "/health"
)

// DefaultIdle is the idle timeout of client connections if a configuration does not set one.
const DefaultIdle = 15 * time.Second

// DefaultHeader is the timeout for request headers if a configuration does not set one.
const DefaultHeader = 3 * time.Second

// Configure writes a configuration to the store.
func (f *Fleet) Configure(config Configuration) {
	routes := []jsonObject{}
	for _, route := range config.Routes {
		record := jsonObject{
			"name": route.Name, "host": Host, "pathPrefix": route.Prefix, "kind": route.Kind, "timeoutMs": config.TimeoutMs,
			"targetLatencyMs": targetLatencyMs, "priority": 1, "service": route.Service, "maxAttempts": max(config.MaxAttempts, minAttempts), "resumable": route.Resumable,
		}
		if len(route.Split) > 0 {
			delete(record, "service")
			record["split"] = route.Split
		}
		routes = append(routes, record)
	}
	services := []jsonObject{}
	for _, service := range config.Services {
		services = append(services, service.record(orDefault(config.MaxConnections, maxConnections)))
	}
	record := jsonObject{
		"version": config.Version, "routes": routes, "services": services,
		"limits": jsonObject{
			"maxHeaderBytes": 16384, "maxBodyBytes": orDefault(config.MaxBodyBytes, maxBodyBytes),
			"headerTimeoutMs": orDefault(config.HeaderMs, int(DefaultHeader/time.Millisecond)),
			"idleTimeoutMs":   orDefault(config.IdleMs, int(DefaultIdle/time.Millisecond)),
		},
	}
	if config.Tenants != nil {
		tenants := []jsonObject{}
		for name, keys := range config.Tenants {
			tenants = append(tenants, jsonObject{"name": name, "apiKeys": keys})
		}
		record["tenants"] = tenants
	}
	f.Store.Put("op/config", record)
}

// orDefault returns a value, or the default if it is not positive.
func orDefault(value, standard int) int {
	if value > 0 {
		return value
	}
	return standard
}

// record returns the service as encoded in the configuration.
func (s Service) record(connections int) jsonObject {
	record := jsonObject{"name": s.Name, "maxConns": connections, "healthPath": healthPath}
	if s.MemoryTokens > 0 {
		record["engine"] = jsonObject{
			"kvCapacity": s.MemoryTokens, "tokenKvBytes": tokenBytes, "linkMbps": linkMbps, "stride": 1, "kvTtlS": 5, "reconfigS": 1,
			"backups": s.Backups,
		}
	}
	return record
}

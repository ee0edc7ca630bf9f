package soak

import (
	"fmt"
	"time"

	"github.com/granitebay/granitebay/internal/standin/fleet"
)

// variableParts are the parts of the configuration that only seeds from firstChangeSeed on have. The mutex of the system guards them.
type variableParts struct {
	extraRoutes int
	split       SplitChange
	tenants     TenantChange
	limits      LimitChange
}

const (
	// splitWorkers is the number of workers of serviceSplit.
	splitWorkers = 2
	// callersKey is the key of all callers, which each set of tenants contains.
	callersKey = "key-of-callers"
	// initialIdleMs and initialHeaderMs are the bounds on connections at the start.
	initialIdleMs, initialHeaderMs = 1200, 1500
)

// initialParts returns the variable parts at the start.
func initialParts() variableParts {
	return variableParts{split: SplitChange{3, 1}, limits: LimitChange{HeaderMs: initialHeaderMs}}
}

// extend adds the variable parts to a configuration.
func (v *variableParts) extend(config *fleet.Configuration) {
	shares := []fleet.Share{{Service: servicePlain, Weight: v.split.First}, {Service: serviceSplit, Weight: v.split.Second}}
	for i := range config.Routes {
		if config.Routes[i].Service == servicePlain {
			config.Routes[i].Split = shares
		}
	}
	basic := config.Routes
	for i := range v.extraRoutes {
		route := basic[i%len(basic)]
		route.Name += fmt.Sprintf("-%d", i)
		route.Prefix += fmt.Sprintf("extra-%d/", i)
		config.Routes = append(config.Routes, route)
	}
	config.Services = append(config.Services, fleet.Service{Name: serviceSplit})
	config.HeaderMs, config.MaxBodyBytes, config.MaxConnections = v.limits.HeaderMs, v.limits.MaxBodyBytes, v.limits.MaxConnections
	if v.tenants.Count > 0 {
		config.Tenants = v.tenants.table()
	}
}

// table returns the tenants with their keys. The key of the callers changes its tenant.
func (f TenantChange) table() map[string][]string {
	table := map[string][]string{}
	for i := range f.Count {
		table[fmt.Sprintf("tenant-%d-%d", f.Number%7, i)] = []string{fmt.Sprintf("key-%d-%d", f.Number, i)}
	}
	callers := fmt.Sprintf("callers-%d", f.Number%3)
	table[callers] = []string{callersKey, fmt.Sprintf("spare-key-%d", f.Number)}
	return table
}

// setIdle changes the bound on resting connections. The mutex is held.
func (s *system) setIdle(idleMs int) {
	s.idleMs = idleMs
	s.idleTimeouts = append(s.idleTimeouts, idleTimeout{time.Now(), time.Duration(idleMs) * time.Millisecond})
}

// idleBound returns the bound on resting connections in force, and headerBound that on heads.
func (s *system) idleBound() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return time.Duration(s.idleMs) * time.Millisecond
}

func (s *system) headerBound() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return time.Duration(s.variable.limits.HeaderMs) * time.Millisecond
}

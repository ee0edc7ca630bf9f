package routerprogram

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"
)

// collector shows the state of the router as metrics.
type collector struct{ program *Program }

// Descriptions of the metrics.
var (
	descRequests = prometheus.NewDesc("granitebay_router_requests", "Requests at this owner by rule and state.", []string{"rule", "state"}, nil)
	descEngines  = prometheus.NewDesc("granitebay_router_engines", "Engines that this router knows by state.", []string{"state"}, nil)
	descRevision = prometheus.NewDesc("granitebay_router_configuration_revision", "Configuration revision in force here, and the lowest in force at any live router.", []string{"where"}, nil)
	descChanges  = prometheus.NewDesc("granitebay_router_role_changes_total", "Changes of engines that this router ordered, by end.", []string{"end"}, nil)
	descOrders   = prometheus.NewDesc("granitebay_router_orders_total", "Orders sent to engines, repeats included.", nil, nil)
	descMembers  = prometheus.NewDesc("granitebay_router_live_routers", "Routers that this one holds to be alive.", nil, nil)
)

// Describe implements prometheus.Collector.
func (c collector) Describe(descriptions chan<- *prometheus.Desc) {
	for _, description := range []*prometheus.Desc{descRequests, descEngines, descRevision, descChanges, descOrders, descMembers} {
		descriptions <- description
	}
}

// Collect implements prometheus.Collector.
func (c collector) Collect(metrics chan<- prometheus.Metric) {
	c.program.runner.Read(func(now time.Time) {
		status := fleetStatus(now, c.program.core)
		counts := c.program.core.RoleCounts()
		for rule, load := range c.program.core.Load() {
			metrics <- gauge(descRequests, load.Running, rule, "running")
			metrics <- gauge(descRequests, load.Waiting, rule, "waiting")
		}
		for state, count := range status.EngineStates {
			metrics <- gauge(descEngines, count, state)
		}
		metrics <- gauge(descRevision, int(status.ConfigRevision), "here")
		metrics <- gauge(descRevision, int(status.ConfigRevisionInForce), "everywhere")
		metrics <- gauge(descMembers, status.LiveRouters)
		metrics <- counter(descChanges, counts.Done, "done")
		metrics <- counter(descChanges, counts.Withdrawn, "withdrawn")
		metrics <- counter(descOrders, counts.Orders)
	})
}

func gauge(description *prometheus.Desc, value int, labels ...string) prometheus.Metric {
	return prometheus.MustNewConstMetric(description, prometheus.GaugeValue, float64(value), labels...)
}

func counter(description *prometheus.Desc, value int, labels ...string) prometheus.Metric {
	return prometheus.MustNewConstMetric(description, prometheus.CounterValue, float64(value), labels...)
}

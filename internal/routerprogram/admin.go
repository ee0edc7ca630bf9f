package routerprogram

import (
	"net/http"
	"time"

	"github.com/danielgtaylor/huma/v2"
	"github.com/danielgtaylor/huma/v2/adapters/humago"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"github.com/granitebay/granitebay/internal/adminapi"
	"github.com/granitebay/granitebay/internal/adminpage"
	"github.com/granitebay/granitebay/internal/command"
)

// adminHandler serves operators: health, metrics and the admin API.
func (p *Program) adminHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /healthz", func(writer http.ResponseWriter, _ *http.Request) {
		_, _ = writer.Write([]byte("ok\n"))
	})
	mux.HandleFunc("GET /readyz", p.serveReady)
	registry := prometheus.NewRegistry()
	registry.MustRegister(collector{program: p}, collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	mux.Handle("GET /metrics", promhttp.HandlerFor(registry, promhttp.HandlerOpts{}))
	config := huma.DefaultConfig("granitebay router", command.Version())
	config.CreateHooks = nil
	adminapi.Register(humago.New(mux, config), backend{program: p})
	adminpage.Register(mux)
	return mux
}

// serveReady answers 200 once a configuration is in force and while the router is not stopping.
func (p *Program) serveReady(writer http.ResponseWriter, _ *http.Request) {
	ready := false
	p.runner.Read(func(time.Time) { ready = p.core.Ready() })
	if !ready {
		http.Error(writer, "not ready: no configuration is in force, or the router is stopping", http.StatusServiceUnavailable)
		return
	}
	_, _ = writer.Write([]byte("ready\n"))
}

package gateway

import (
	"context"
	"time"

	"github.com/granitebay/granitebay/internal/backend"
	"github.com/granitebay/granitebay/internal/completeness"
)

// Prober checks whether the process of a worker still runs.
type Prober interface {
	// RefusesConnections is that of poison.Prober.
	RefusesConnections(ctx context.Context, worker *backend.Worker) (bool, error)
	// Look looks at a worker whose connection has ended. One that lives answers at the health path or, if that is empty, keeps a connection open for
	// the settle time.
	Look(ctx context.Context, worker *backend.Worker, healthPath string, settle time.Duration) completeness.Worker
}

// healthProber is a poison.Prober that asks workers at the health path of their group. It spends their request limits.
type healthProber struct {
	Prober
	gateway *Gateway
}

// Look implements poison.Prober.
func (p healthProber) Look(ctx context.Context, worker *backend.Worker, settle time.Duration) completeness.Worker {
	path := p.gateway.healthPath(worker.Group)
	if path != "" && !p.gateway.dispatcher.AllowHealthCheck(worker.ID) {
		path = ""
	}
	return p.Prober.Look(ctx, worker, path, settle)
}

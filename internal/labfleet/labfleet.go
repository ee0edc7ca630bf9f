// Package labfleet runs a simulated deployment on loopback: the store, the workers, and the operators who write the
// configuration. Gateways use it as they would the real platform.
package labfleet

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/samber/lo"

	"github.com/granitebay/granitebay/internal/backend"
	"github.com/granitebay/granitebay/internal/configuration"
	"github.com/granitebay/granitebay/internal/deployment"
	"github.com/granitebay/granitebay/internal/standin/fleet"
	"github.com/granitebay/granitebay/internal/store"
)

// Options configure a fleet.
type Options struct {
	Deployment deployment.Deployment
	// Listen is the host:port on which the store listens.
	Listen string
	// Speed is a factor applied to the speed of the engines.
	Speed float64
	// Connect returns a client of the store, for writing the configuration.
	Connect Connect
}

// Fleet is a running simulated deployment.
type Fleet struct {
	deployment   deployment.Deployment
	standins     *fleet.Fleet
	workers      []*fleet.Worker
	server       *http.Server
	storeAddress string
}

// engineSlots is the number of concurrent requests of an engine.
const engineSlots = 48

// Start starts the store and the workers and writes the configuration of the deployment to the store.
func Start(ctx context.Context, options Options) (*Fleet, error) {
	listener, err := net.Listen("tcp4", options.Listen)
	if err != nil {
		return nil, errors.Wrapf(err, "listen for the store on %s", options.Listen)
	}
	f := &Fleet{deployment: options.Deployment, standins: fleet.NewFleet(), storeAddress: listener.Addr().String()}
	f.server = &http.Server{Handler: f.standins.Store}
	go func() { _ = f.server.Serve(listener) }()
	f.standins.Configure(fleet.Configuration{
		Version: 1, Services: []fleet.Service{{Name: options.Deployment.Service, MemoryTokens: fleet.DefaultModel().MemoryTokens}},
	})
	labels := map[string]map[string]string{}
	for _, spec := range options.Deployment.Workers {
		worker, err := f.standins.Start(workerOptions(options, spec))
		if err != nil {
			f.Stop()
			return nil, errors.Wrapf(err, "start worker %s", spec.Name)
		}
		f.workers = append(f.workers, worker)
		labels[worker.Address()] = map[string]string{"pool": spec.Pool, "name": spec.Name}
	}
	if err := f.writeConfiguration(ctx, options.Connect(f.storeAddress), labels); err != nil {
		f.Stop()
		return nil, err
	}
	return f, nil
}

// workerOptions returns the options of an engine.
func workerOptions(options Options, spec deployment.Worker) fleet.WorkerOptions {
	model := fleet.DefaultModel()
	model.PromptTokensPerSecond *= options.Speed
	model.StepTime = time.Duration(float64(model.StepTime) / options.Speed)
	model.StepPerRun = time.Duration(float64(model.StepPerRun) / options.Speed)
	return fleet.WorkerOptions{
		ID: spec.Name + ".1", Service: options.Deployment.Service, Zone: spec.Zone, Slots: engineSlots, Model: model,
		Stage: string(lo.Ternary(spec.Prefill, backend.RolePrefill, backend.RoleDecode)),
	}
}

// writeConfiguration writes the deployment's example configuration, with labels by worker address.
func (f *Fleet) writeConfiguration(ctx context.Context, target store.Store, labels map[string]map[string]string) error {
	document, err := configuration.Example(f.deployment.Configuration)
	if err != nil {
		return err
	}
	document.WorkerLabels = labels
	result := configuration.Propose(ctx, target, configuration.EditRequest{
		ChangeID: "first", Author: "lab", Edits: []configuration.Edit{configuration.Apply(document.Spec)},
	})
	return errors.Wrap(result.Err, "write the configuration")
}

// StoreAddress returns the host:port on which the store listens.
func (f *Fleet) StoreAddress() string { return f.storeAddress }

// RoleCounts returns the number of workers in each role, and of those changing their role.
func (f *Fleet) RoleCounts() (prefill, decode, changing int) {
	for _, worker := range f.workers {
		switch {
		case worker.ChangingStage():
			changing++
		case worker.Stage() == string(backend.RolePrefill):
			prefill++
		default:
			decode++
		}
	}
	return prefill, decode, changing
}

// OrderCount returns the number of orders that the workers accepted.
func (f *Fleet) OrderCount() int {
	return lo.SumBy(f.workers, func(worker *fleet.Worker) int { return len(worker.Holders()) })
}

// RunCounts returns the number of runs of each request, by request ID.
func (f *Fleet) RunCounts() map[string]int {
	return lo.MapValues(f.standins.Runs(), func(runs []fleet.Run, _ string) int { return len(runs) })
}

// Stop stops the workers and the store immediately.
func (f *Fleet) Stop() {
	for _, worker := range f.workers {
		worker.Stop(true)
	}
	_ = f.server.Close()
}

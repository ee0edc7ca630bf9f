// Package labfleet runs the stand-ins of a deployment on loopback: the store, the workers, and the operators who write the
// routes and labels. Gateways run against it as they do against the users' platform.
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

// Options of a fleet of stand-ins.
type Options struct {
	Deployment deployment.Deployment
	// Listen is where the store serves, host:port.
	Listen string
	// Speed is a factor on the speed of the engines.
	Speed float64
	// Connect returns the client of the store by which the operators write.
	Connect Connect
}

// Fleet is a running fleet of stand-ins.
type Fleet struct {
	deployment   deployment.Deployment
	standins     *fleet.Fleet
	workers      []*fleet.Worker
	server       *http.Server
	storeAddress string
}

// slots is the number of requests on which an engine works at once.
const engineSlots = 48

// Start starts the stand-ins and writes the configuration of the deployment into the store.
func Start(ctx context.Context, options Options) (*Fleet, error) {
	listener, err := net.Listen("tcp4", options.Listen)
	if err != nil {
		return nil, errors.Wrapf(err, "step serve the store, address %s", options.Listen)
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
			return nil, errors.Wrapf(err, "step start worker %s", spec.Name)
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

// workerOptions describes one engine.
func workerOptions(options Options, spec deployment.Worker) fleet.WorkerOptions {
	model := fleet.DefaultModel()
	model.PromptTokensPerSecond *= options.Speed
	model.StepTime = time.Duration(float64(model.StepTime) / options.Speed)
	model.StepPerRun = time.Duration(float64(model.StepPerRun) / options.Speed)
	return fleet.WorkerOptions{
		ID: spec.Name + ".1", Service: options.Deployment.Service, Zone: spec.Zone, Slots: engineSlots, Model: model,
		Stage: string(lo.Ternary(spec.Reads, backend.RolePrefill, backend.RoleDecode)),
	}
}

// configure writes the groups and rules by labels, as the operators do.
func (f *Fleet) writeConfiguration(ctx context.Context, target store.Store, labels map[string]map[string]string) error {
	document, err := configuration.Example(f.deployment.Configuration)
	if err != nil {
		return err
	}
	document.WorkerLabels = labels
	result := configuration.Propose(ctx, target, configuration.EditRequest{
		ChangeID: "first", Author: "lab", Edits: []configuration.Edit{configuration.Apply(document.Spec)},
	})
	return errors.Wrap(result.Err, "step write the groups and rules")
}

// StoreAddress returns where the store serves, host:port.
func (f *Fleet) StoreAddress() string { return f.storeAddress }

// Stages counts the workers of each role, and those that change it.
func (f *Fleet) RoleCounts() (prefill, decode, changing int) {
	for _, worker := range f.workers {
		switch {
		case worker.Changing():
			changing++
		case worker.Stage() == string(backend.RolePrefill):
			prefill++
		default:
			decode++
		}
	}
	return prefill, decode, changing
}

// Orders returns how many orders the workers took.
func (f *Fleet) OrderCount() int {
	return lo.SumBy(f.workers, func(worker *fleet.Worker) int { return len(worker.Holders()) })
}

// Runs returns how often each request was begun by a worker, by its id.
func (f *Fleet) RunCounts() map[string]int {
	return lo.MapValues(f.standins.Runs(), func(runs []fleet.Run, _ string) int { return len(runs) })
}

// Stop ends all stand-ins at once.
func (f *Fleet) Stop() {
	for _, worker := range f.workers {
		worker.Stop(true)
	}
	_ = f.server.Close()
}

package fleet

import (
	"context"

	"github.com/cockroachdb/errors"

	"github.com/granitebay/granitebay/internal/deployment"
	"github.com/granitebay/granitebay/internal/platform"
	"github.com/granitebay/granitebay/internal/standin/enginemodel"
	"github.com/granitebay/granitebay/internal/standin/engineserver"
)

// startEngines serves a stand-in for each engine and puts it on the membership list. They start without a role.
func (f *Fleet) startEngines(ctx context.Context) error {
	for index, machine := range f.options.Deployment.Engines {
		if err := f.startEngine(ctx, machine, f.options.Seed+uint64(index)); err != nil {
			return err
		}
	}
	return nil
}

func (f *Fleet) startEngine(ctx context.Context, machine deployment.Machine, seed uint64) error {
	model := enginemodel.DefaultSettings(machine.Name, 0)
	model.Prefill = model.Prefill.Faster(f.options.EngineSpeed)
	model.Decode = model.Decode.Faster(f.options.EngineSpeed)
	model.RoleChangeTime = f.options.RoleChangeTime
	model.WeightLoadTime = f.options.WeightLoadTime
	model.Observer = engineObserver{Ledger: f.ledger, engine: machine.Name}
	server, err := engineserver.New(engineserver.Options{Model: model, Seed: seed, Logger: f.options.Logger})
	if err != nil {
		return errors.Wrapf(err, "step start engine %s", machine.Name)
	}
	f.engines = append(f.engines, server)
	listener, err := listen(machine.Name)
	if err != nil {
		return err
	}
	f.standIns.start(listener, server.Handler())
	return f.register(ctx, platform.Member{
		Name:    machine.Name,
		Kind:    platform.MemberEngine,
		Zone:    machine.Zone,
		Address: listener.Addr().String(),
	})
}

package fleet

import (
	"context"

	"github.com/cockroachdb/errors"

	"github.com/granitebay/granitebay/internal/platform"
	"github.com/granitebay/granitebay/internal/platformclient"
	"github.com/granitebay/granitebay/internal/standin/platformmodel"
	"github.com/granitebay/granitebay/internal/standin/platformserver"
)

const (
	// platformProcess and operatorProcess are the names of these processes in errors and at the platform.
	platformProcess = "platform"
	operatorProcess = "operator"
)

// startPlatform serves the platform stand-in. Registrations last for ever, as on a platform that knows its machines.
func (f *Fleet) startPlatform(context.Context) error {
	model := platformmodel.DefaultSettings()
	model.MembershipLag = f.options.MembershipLag
	model.MemberTTL = 0
	server, err := platformserver.New(platformserver.Options{Settings: model, Seed: f.options.Seed, Logger: f.options.Logger})
	if err != nil {
		return errors.Wrap(err, "step start the platform")
	}
	listener, err := listen(platformProcess)
	if err != nil {
		return err
	}
	running, stop := context.WithCancel(context.Background())
	f.stopPlatform = stop
	f.platformStopped.Go(func() { server.Run(running) })
	f.standIns.start(listener, server)
	f.platformEndpoint = "http://" + listener.Addr().String()
	f.client, err = platformclient.New(platformclient.Options{
		Endpoint:     f.platformEndpoint,
		Name:         operatorProcess,
		Deliver:      func(platform.Response) {},
		DeliverWatch: func(platform.WatchEvent) {},
		Logger:       f.options.Logger,
	})
	return errors.Wrap(err, "step connect to the platform")
}

// register puts a machine on the membership list.
func (f *Fleet) register(ctx context.Context, member platform.Member) error {
	_, err := f.client.RegisterMember(ctx, member)
	return errors.Wrapf(err, "step register: %s", member.Name)
}

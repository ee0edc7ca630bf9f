package fleet

import (
	"context"

	"github.com/cockroachdb/errors"

	"github.com/granitebay/granitebay/internal/configuration"
	"github.com/granitebay/granitebay/internal/core"
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

// platformAnswer is what the platform answered to the operator.
type platformAnswer = platform.Response

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
	f.answers = make(chan platformAnswer, 1)
	f.client, err = platformclient.New(platformclient.Options{
		Endpoint:     f.platformEndpoint,
		Name:         operatorProcess,
		Deliver:      func(response platform.Response) { f.answers <- response },
		DeliverWatch: func(platform.WatchEvent) {},
		Logger:       f.options.Logger,
	})
	return errors.Wrap(err, "step connect to the platform")
}

// configure puts the example configuration of the deployment into the key-value service, as its first revision.
func (f *Fleet) configure(ctx context.Context) error {
	document, err := configuration.Example(f.options.Deployment.Configuration)
	if err != nil {
		return errors.Wrap(err, "step configure")
	}
	document.Revision = 1
	document.ChangeID = "example-" + f.options.Deployment.Configuration
	value, err := configuration.Encode(document)
	if err != nil {
		return errors.Wrap(err, "step configure")
	}
	f.client.Do(core.PlatformRequest{Request: platform.Transaction{
		Compares: []platform.Compare{{Key: configuration.StoreKey}},
		Puts:     []platform.Put{{Key: configuration.StoreKey, Value: value}},
	}})
	select {
	case answer := <-f.answers:
		if answer.Failure != platform.FailureNone || !answer.Succeeded {
			return errors.Newf("step configure: %s did not write the configuration: %q", platformProcess, answer.Failure)
		}
		return nil
	case <-ctx.Done():
		return errors.Wrapf(ctx.Err(), "step configure: %s", platformProcess)
	}
}

// register puts a machine on the membership list.
func (f *Fleet) register(ctx context.Context, member platform.Member) error {
	_, err := f.client.RegisterMember(ctx, member)
	return errors.Wrapf(err, "step register: %s", member.Name)
}

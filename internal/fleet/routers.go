package fleet

import (
	"context"
	"net"

	"github.com/samber/lo"

	"github.com/granitebay/granitebay/internal/deployment"
	"github.com/granitebay/granitebay/internal/platform"
	"github.com/granitebay/granitebay/internal/routerprogram"
	"github.com/granitebay/granitebay/internal/settings"
)

// startRouters starts the routers. The ports of all are opened first, so that each router knows all addresses.
func (f *Fleet) startRouters(ctx context.Context) error {
	machines := f.options.Deployment.Routers
	listeners := make([]net.Listener, 0, len(machines))
	for _, machine := range machines {
		listener, err := listen(machine.Name)
		if err != nil {
			closeListeners(listeners)
			return err
		}
		listeners = append(listeners, listener)
	}
	f.routerPeers = lo.Map(machines, func(machine deployment.Machine, index int) settings.Peer {
		return settings.Peer{Name: machine.Name, Address: listeners[index].Addr().String(), Zone: machine.Zone}
	})
	for index, peer := range f.routerPeers {
		if err := f.startRouter(ctx, peer, listeners[index]); err != nil {
			closeListeners(listeners[index:])
			return err
		}
	}
	return nil
}

// startRouter starts one router and puts it on the membership list.
func (f *Fleet) startRouter(ctx context.Context, self settings.Peer, listener net.Listener) error {
	router := settings.DefaultRouterSettings()
	router.Name = self.Name
	router.Zone = self.Zone
	router.ListenPeers = self.Address
	router.ListenAdmin = loopback
	router.Platform.Endpoint = f.platformEndpoint
	router.Peers = f.routerPeers
	if err := router.Validate(); err != nil {
		return err
	}
	program, err := routerprogram.Start(routerprogram.Options{
		Settings:      *router,
		Logger:        f.options.Logger,
		PeersListener: listener,
		OnDecision:    f.noteDecision,
	})
	if err != nil {
		return err
	}
	f.routers = append(f.routers, program)
	return f.register(ctx, platform.Member{Name: self.Name, Kind: platform.MemberRouter, Zone: self.Zone, Address: self.Address})
}

func closeListeners(listeners []net.Listener) {
	for _, listener := range listeners {
		_ = listener.Close()
	}
}

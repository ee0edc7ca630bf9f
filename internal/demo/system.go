package demo

import (
	"context"
	"fmt"
	"net"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/samber/lo"
	"github.com/sirupsen/logrus"

	"github.com/granitebay/granitebay/internal/decision"
	"github.com/granitebay/granitebay/internal/deployment"
	"github.com/granitebay/granitebay/internal/gateway"
	"github.com/granitebay/granitebay/internal/labfleet"
	"github.com/granitebay/granitebay/internal/store"
)

// Surroundings holds the constructors of gateways and store clients, which have to use the protocol of the simulated platform.
type Surroundings struct {
	NewGateway func(gateway.Settings, *logrus.Logger) *gateway.Gateway
	NewStore   func(address string) store.Store
}

// system is a deployment in one process: gateways and a simulated platform, connected over loopback.
type system struct {
	fleet         *labfleet.Fleet
	gateways      []*gateway.Gateway
	settings      []gateway.Settings
	stopFollowing []func()
}

// startSystem starts a deployment and waits until all gateways are ready.
func startSystem(ctx context.Context, spec deployment.Deployment, speed float64, factories Surroundings, logger *logrus.Logger) (*system, error) {
	standins, err := labfleet.Start(ctx, labfleet.Options{Deployment: spec, Listen: "127.0.0.1:0", Speed: speed, Connect: factories.NewStore})
	if err != nil {
		return nil, err
	}
	s := &system{fleet: standins}
	for _, zone := range spec.Zones {
		for number := range spec.GatewaysPerZone {
			name := fmt.Sprintf("gateway-%s-%d", strings.TrimPrefix(zone, "zone-"), number+1)
			if err := s.startGateway(name, zone, factories, logger); err != nil {
				s.stop()
				return nil, err
			}
		}
	}
	return s, s.awaitReady(ctx)
}

// startGateway starts a gateway on free ports.
func (s *system) startGateway(name, zone string, factories Surroundings, logger *logrus.Logger) error {
	addresses, err := freeAddresses(5)
	if err != nil {
		return err
	}
	settings := *gateway.DefaultSettings()
	settings.Name, settings.Zone = name, zone
	settings.ListenCallers, settings.ListenReady, settings.ListenDirectory = addresses[0], addresses[1], addresses[2]
	settings.ListenPeers, settings.ListenAdmin = addresses[3], addresses[4]
	settings.FirstStart = true
	settings.StoreAddress = s.fleet.StoreAddress()
	gw := factories.NewGateway(settings, logger)
	if err := gw.Start(); err != nil {
		return errors.Wrapf(err, "start gateway %s", name)
	}
	s.gateways, s.settings = append(s.gateways, gw), append(s.settings, settings)
	return nil
}

// freeAddresses returns loopback addresses that are currently free.
func freeAddresses(count int) ([]string, error) {
	var addresses []string
	for range count {
		listener, err := net.Listen("tcp4", "127.0.0.1:0")
		if err != nil {
			return nil, errors.Wrap(err, "find a free port")
		}
		defer listener.Close()
		addresses = append(addresses, listener.Addr().String())
	}
	return addresses, nil
}

// readyPoll is the interval of readiness checks.
const readyPoll = 50 * time.Millisecond

// awaitReady waits until each gateway has a configuration and workers.
func (s *system) awaitReady(ctx context.Context) error {
	for !lo.EveryBy(s.gateways, func(each *gateway.Gateway) bool { return each.IsServing() }) {
		select {
		case <-ctx.Done():
			s.stop()
			return errors.Wrap(ctx.Err(), "wait until the gateways are ready")
		case <-time.After(readyPoll):
		}
	}
	return nil
}

// followDecisions passes each new decision of the gateways to handle, which is called concurrently.
func (s *system) followDecisions(handle func(decision.Record)) {
	for _, each := range s.gateways {
		records, stop := each.Decisions().Follow()
		done := make(chan struct{})
		s.stopFollowing = append(s.stopFollowing, func() { stop(); close(done) })
		go func() {
			for {
				select {
				case record := <-records:
					handle(record)
				case <-done:
					return
				}
			}
		}()
	}
}

// stop stops all components immediately.
func (s *system) stop() {
	for _, stop := range s.stopFollowing {
		stop()
	}
	for _, each := range s.gateways {
		each.Close()
	}
	s.fleet.Stop()
}

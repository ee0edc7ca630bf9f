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

// Surroundings say how gateways are made and how the store is reached; both speak the protocol of the stand-ins.
type Surroundings struct {
	NewGateway func(gateway.Settings, *logrus.Logger) *gateway.Gateway
	NewStore   func(address string) store.Store
}

// system is a deployment in one process: stand-ins and gateways, which talk over loopback.
type system struct {
	fleet         *labfleet.Fleet
	gateways      []*gateway.Gateway
	settings      []gateway.Settings
	stopFollowing []func()
}

// startSystem starts a deployment and waits until each gateway takes requests.
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

// startGateway starts one gateway on free ports.
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
		return errors.Wrapf(err, "step start gateway %s", name)
	}
	s.gateways, s.settings = append(s.gateways, gw), append(s.settings, settings)
	return nil
}

// freeAddresses returns addresses on loopback that are free at the moment.
func freeAddresses(count int) ([]string, error) {
	var addresses []string
	for range count {
		listener, err := net.Listen("tcp4", "127.0.0.1:0")
		if err != nil {
			return nil, errors.Wrap(err, "step find a free port")
		}
		defer listener.Close()
		addresses = append(addresses, listener.Addr().String())
	}
	return addresses, nil
}

// readyPoll is the time between two looks at whether the gateways are ready.
const readyPoll = 50 * time.Millisecond

// awaitReady waits until each gateway knows its configuration and its workers.
func (s *system) awaitReady(ctx context.Context) error {
	for !lo.EveryBy(s.gateways, func(each *gateway.Gateway) bool { return each.Serves() }) {
		select {
		case <-ctx.Done():
			s.stop()
			return errors.Wrap(ctx.Err(), "step wait until the gateways serve")
		case <-time.After(readyPoll):
		}
	}
	return nil
}

// follow hands each new decision of every gateway to a function, which is called from many goroutines.
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

// stop ends everything at once.
func (s *system) stop() {
	for _, stop := range s.stopFollowing {
		stop()
	}
	for _, each := range s.gateways {
		each.Close()
	}
	s.fleet.Stop()
}

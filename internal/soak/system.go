package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/granitebay/granitebay/internal/adminapi"
	"github.com/granitebay/granitebay/internal/standin/fleet"
)

// system is gateways as processes, with stand-ins of the store, the workers and the callers in this process.
type system struct {
	shape    shape
	fleet    *fleet.Fleet
	store    *httptest.Server
	gateways []*gatewayProcess
	workers  []*workerSlot

	mu         sync.Mutex
	version    int
	timeoutMs  int
	requests   []Request
	spans      []Span
	departures []Departure
	spread     []time.Duration
	calling    sync.WaitGroup
	background sync.WaitGroup
}

// shape is the size of a system.
type shape struct {
	gateways, plain, prefill, decode int
	zones                            []string
}

// shapes of the deployments.
var shapes = map[string]shape{
	"fes":      {gateways: 4, plain: 3, prefill: 3, decode: 4, zones: []string{"zone-a", "zone-b", "zone-c", "zone-d"}},
	"magnolia": {gateways: 6, plain: 3, prefill: 4, decode: 6, zones: []string{"zone-a", "zone-b", "zone-c"}},
}

// workerSlot is a place at which one worker after another runs, behind a proxy.
type workerSlot struct {
	number  int
	options fleet.WorkerOptions
	// mu guards the worker of the moment.
	mu          sync.Mutex
	incarnation int
	worker      *fleet.Worker
	proxy       *proxy
}

// streamEvents is the length of streamed answers.
const streamEvents = 6

// startSystem starts everything and waits until each gateway is ready.
func startSystem(ctx context.Context, of shape, binary, folder string) (*system, error) {
	s := &system{shape: of, fleet: fleet.NewFleet(), timeoutMs: 2500}
	s.store = httptest.NewServer(s.fleet.Store)
	for i, service := range s.services() {
		slot := &workerSlot{number: i, options: service}
		s.workers = append(s.workers, slot)
		if err := s.startWorker(slot); err != nil {
			s.stop()
			return nil, err
		}
	}
	s.configure()
	for i := range of.gateways {
		zone := of.zones[i%len(of.zones)]
		g, err := newGatewayProcess(binary, fmt.Sprintf("gateway-%d", i), zone, folder, strings.TrimPrefix(s.store.URL, "http://"))
		if err != nil {
			s.stop()
			return nil, err
		}
		s.gateways = append(s.gateways, g)
	}
	for _, g := range s.gateways {
		g.seeds = []string{s.gateways[0].control, s.gateways[1].control}
		if err := g.start(); err != nil {
			s.stop()
			return nil, err
		}
	}
	return s, s.awaitReady(ctx)
}

// services lists the workers of the system.
func (s *system) services() []fleet.WorkerOptions {
	var all []fleet.WorkerOptions
	add := func(count int, options fleet.WorkerOptions) {
		for i := range count {
			options.Zone = s.shape.zones[i%len(s.shape.zones)]
			all = append(all, options)
		}
	}
	model := fleet.DefaultModel()
	model.StageChange = 500 * time.Millisecond
	add(s.shape.plain, fleet.WorkerOptions{Service: servicePlain, Slots: 16, Work: 5 * time.Millisecond})
	add(s.shape.prefill, fleet.WorkerOptions{Service: serviceEngine, Stage: "prefill", Slots: 32, Work: 5 * time.Millisecond, Events: streamEvents, Model: model})
	add(s.shape.decode, fleet.WorkerOptions{Service: serviceEngine, Stage: "decode", Slots: 32, Work: 5 * time.Millisecond, Events: streamEvents, Model: model})
	return all
}

// startWorker starts the next worker of a slot, which others reach through a proxy.
func (s *system) startWorker(slot *workerSlot) error {
	slot.mu.Lock()
	defer slot.mu.Unlock()
	slot.incarnation++
	options := slot.options
	options.ID = fmt.Sprintf("w%d.%d", slot.number, slot.incarnation)
	var through *proxy
	var proxyErr error
	options.Through = func(address string) string {
		if through, proxyErr = newProxy(address); proxyErr != nil {
			return address
		}
		return through.address()
	}
	worker, err := s.fleet.Start(options)
	if err := errors.Join(err, proxyErr); err != nil {
		return errors.Wrapf(err, "step start worker %s", options.ID)
	}
	slot.worker, slot.proxy = worker, through
	return nil
}

// configure writes the next version of the configuration.
func (s *system) configure() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.fleet.Configure(fleet.Configuration{
		Version: s.version, TimeoutMs: s.timeoutMs,
		Routes: []fleet.Route{
			{Name: "once", Prefix: "/once/", Kind: fleet.RouteRunsOnce, Service: servicePlain},
			{Name: "again", Prefix: "/again/", Kind: fleet.RouteRepeatable, Service: servicePlain},
			{Name: "stream", Prefix: "/stream/", Kind: fleet.RouteStreams, Service: serviceEngine, Resumable: true},
		},
		Services: []fleet.Service{{Name: servicePlain}, {Name: serviceEngine, MemoryTokens: fleet.DefaultModel().MemoryTokens}},
	})
	return s.version
}

// startTimeout bounds the start of the gateways.
const startTimeout = 15 * time.Second

// awaitReady waits until each gateway is ready.
func (s *system) awaitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	caller := fleet.NewCaller(false)
	for _, g := range s.gateways {
		for !caller.Ready(ctx, g.ready) {
			if ctx.Err() != nil {
				s.stop()
				return errors.Newf("step wait until %s is ready: not within %s", g.name, startTimeout)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}

// stop ends everything that was started.
func (s *system) stop() {
	for _, g := range s.gateways {
		g.signal(syscall.SIGCONT)
		g.kill()
		g.proxy.close()
	}
	for _, slot := range s.workers {
		if slot.worker != nil {
			slot.worker.Stop(true)
			slot.proxy.close()
		}
	}
	s.store.CloseClientConnections()
	s.store.Close()
}

// history returns what was seen so far.
func (s *system) history(quiet []Span) *History {
	s.mu.Lock()
	defer s.mu.Unlock()
	return &History{
		Requests: append([]Request(nil), s.requests...), Runs: s.fleet.Runs(), Arrivals: s.fleet.Arrivals(), Orders: s.fleet.Orders(),
		Spans: append([]Span(nil), s.spans...), Departures: append([]Departure(nil), s.departures...), Quiet: quiet,
		Spread: append([]time.Duration(nil), s.spread...),
	}
}

// callers sends requests in open loop until the context ends.
func (s *system) callers(ctx context.Context, seed uint64, perSecond int) {
	random := rand.New(rand.NewPCG(seed, 99))
	kept, fresh := fleet.NewCaller(true), fleet.NewCaller(false)
	addresses := &directory{system: s, caller: kept}
	ticker := time.NewTicker(time.Second / time.Duration(perSecond))
	defer ticker.Stop()
	for number := 0; ; number++ {
		select {
		case <-ctx.Done():
			s.calling.Wait()
			return
		case <-ticker.C:
		}
		caller := kept
		if random.IntN(3) == 0 {
			caller = fresh
		}
		request := drawRequest(random, number)
		known := addresses.get(ctx)
		if len(known) == 0 {
			continue
		}
		request.Gateway = known[random.IntN(len(known))]
		s.calling.Go(func() { s.call(caller, request) })
	}
}

// drawRequest draws a request.
func drawRequest(random *rand.Rand, number int) Request {
	id := fmt.Sprintf("r%d", number)
	kind := []Kind{KindOnce, KindAgain, KindStream, KindStream}[random.IntN(4)]
	asked := fleet.Asked{
		ID: id, Path: "/" + string(kind) + "/x", Body: "body of " + id, Deadline: time.Duration(1500+random.IntN(1500)) * time.Millisecond,
	}
	want := fleet.PlainAnswer(id, []byte(asked.Body))
	if kind == KindStream {
		want = fleet.StreamAnswer(id, streamEvents)
		asked.Subject = fmt.Sprintf("a%x", random.IntN(8))
		asked.Shared, asked.Tokens = 90, 300
		if random.IntN(4) == 0 {
			asked.Shared, asked.Tokens = 3000, 4000
		}
	}
	return Request{Asked: asked, Kind: kind, Want: want}
}

// callSlack is how long after its deadline a caller still waits.
const callSlack = 2 * time.Second

// call sends one request and notes what became of it.
func (s *system) call(caller *fleet.Caller, request Request) {
	ctx, cancel := context.WithTimeout(context.Background(), request.Asked.Deadline+callSlack)
	defer cancel()
	request.Sent = time.Now()
	request.Answer = caller.Ask(ctx, request.Gateway, request.Asked)
	request.Ended = time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.requests = append(s.requests, request)
}

// directory keeps the answer of the directory for a while, as callers do.
type directory struct {
	system *system
	caller *fleet.Caller
	known  []string
	asked  time.Time
	next   int
}

// addressTime is how long callers keep addresses.
const addressTime = time.Second

// get returns the addresses of the moment, older ones when no gateway answers.
func (d *directory) get(ctx context.Context) []string {
	if time.Since(d.asked) < addressTime {
		return d.known
	}
	d.asked = time.Now()
	for range 3 {
		d.next++
		found, err := d.caller.Resolve(ctx, d.system.gateways[d.next%len(d.system.gateways)].directory)
		if err == nil && len(found) > 0 {
			d.known = found
			break
		}
	}
	return d.known
}

// measureSpread waits until a version is in force at each gateway that runs, and notes how long that took.
func (s *system) measureSpread(version int, begun time.Time) {
	ctx, cancel := context.WithTimeout(context.Background(), 3*configTime)
	defer cancel()
	for _, g := range s.gateways {
		client := adminapi.NewClient([]string{g.admin}, http.DefaultClient)
		for g.running() && ctx.Err() == nil {
			if status, err := client.Status(ctx); err == nil && status.RouteVersion >= int64(version) {
				break
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.spread = append(s.spread, time.Since(begun))
}

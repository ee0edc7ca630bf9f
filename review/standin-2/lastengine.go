package main

import (
	"context"
	"fmt"
	"math/rand"
	"net"
	"net/http"
	"os"
	"sync"
	"time"

	"github.com/granitebay/granitebay/internal/standin/fleet"
)

// Times of the case, from the first request on, and its rates.
const (
	engineCount = 4
	firstLoss   = 10 * time.Second
	lossEvery   = 5 * time.Second
	lossCount   = 3
	finalFault  = firstLoss + lossCount*lossEvery
	faultTime   = time.Second
	// recoveryTime is recoveryS of both deployments.
	recoveryTime = 12 * time.Second
	lastTime     = finalFault + faultTime + recoveryTime + 15*time.Second
	streamEvery  = 200 * time.Millisecond
	streamTime   = 5 * time.Second
	streamEvents = 8
)

// Stages of engines.
const (
	stagePrefill = "prefill"
	stageDecode  = "decode"
)

// engines are those of the case, and the store in which they keep themselves.
type engines struct {
	fleet  *fleet.Fleet
	record *record
	live   []*fleet.Worker
}

// startEngines starts engines, half of them in each stage.
func startEngines(standins *fleet.Fleet, record *record) (*engines, error) {
	e := &engines{fleet: standins, record: record}
	for number := range engineCount {
		stage := stagePrefill
		if number%2 == 1 {
			stage = stageDecode
		}
		engine, err := standins.Start(fleet.WorkerOptions{
			ID: fmt.Sprintf("i-engine-%d", number+1), Service: service, Zone: "zone-a", Stage: stage, Slots: 16, Work: 10 * time.Millisecond,
			Events: streamEvents, StageChange: time.Second,
		})
		if err != nil {
			return e, err
		}
		e.live = append(e.live, engine)
	}
	return e, nil
}

// lose ends an engine for good: one that is in a stage, if there is one. Its entry goes after three heartbeats.
func (e *engines) lose(stage string) {
	lost := 0
	for i, engine := range e.live {
		if engine.Stage() == stage {
			lost = i
		}
	}
	engine := e.live[lost]
	e.live = append(e.live[:lost:lost], e.live[lost+1:]...)
	e.record.note("engine %s, whose stage is %s, is lost for good; %s", engine.ID(), engine.Stage(), e.describe())
	engine.Stop(true)
	time.AfterFunc(3*heartbeat, func() { e.fleet.Store.Delete(wire.WorkerKeys + engine.ID()) })
}

// describe returns the engines that live with their stages.
func (e *engines) describe() string {
	text := "left:"
	for _, engine := range e.live {
		text += " " + engine.ID() + "=" + engine.Stage()
	}
	return text
}

// stop ends all engines.
func (e *engines) stop() {
	for _, engine := range e.live {
		engine.Stop(true)
	}
}

// streamResult is the end of a stream that was asked for.
type streamResult struct {
	sent   time.Duration
	served bool
}

// runLastEngine loses engines for good until one is left, which reads prompts, kills all gateways, and checks rule RECOVER.
func runLastEngine(settings caseSettings) int {
	record := newRecord()
	defer func() { _ = record.write(settings.recordPath) }()
	standins := fleet.NewFleet()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		record.note("can't run: %v", err)
		return exitCannot
	}
	server := &http.Server{Handler: standins.Store}
	go func() { _ = server.Serve(listener) }()
	defer server.Close()
	standins.Configure(fleet.Configuration{
		Version: 1, TimeoutMs: int(streamTime / time.Millisecond), Routes: []fleet.Route{{Name: "r-ask", Prefix: "/ask/", Kind: fleet.RouteStreams, Service: service}},
		Services: []fleet.Service{{Name: service, MemoryTokens: 400000}},
	})
	all, err := startEngines(standins, record)
	defer all.stop()
	if err != nil {
		record.note("can't run: %v", err)
		return exitCannot
	}
	gateways, err := startGateways(settings.program, settings.folder, listener.Addr().String(), 3)
	defer func() {
		for _, g := range gateways {
			g.kill()
		}
	}()
	if err != nil {
		record.note("can't run: %v", err)
		return exitCannot
	}
	start := time.Now()
	if settings.trouble {
		go func() {
			for i := range lossCount {
				time.Sleep(time.Until(start.Add(firstLoss + time.Duration(i)*lossEvery)))
				all.lose(settings.lost)
			}
			time.Sleep(time.Until(start.Add(finalFault)))
			record.note("all gateways are killed; %s", all.describe())
			for _, g := range gateways {
				g.kill()
			}
			time.Sleep(time.Until(start.Add(finalFault + faultTime)))
			for _, g := range gateways {
				if err := g.start(settings.program); err != nil {
					record.note("a gateway could not be started: %v", err)
				}
			}
			record.note("all gateways are started again")
		}()
	}
	results := askStreams(start, record, gateways)
	record.note("%s", all.describe())
	for _, order := range standins.Orders() {
		record.note("order accepted by %s from %s, %v after the start", order.Worker, order.Holder, order.At.Sub(start).Round(time.Millisecond))
	}
	if !allReady(gateways) {
		record.note("can't run: a gateway is not ready")
		return exitCannot
	}
	return judgeRecovery(record, results)
}

// askStreams asks for streams until the case is over, and returns how they ended.
func askStreams(start time.Time, record *record, gateways []*gateway) []streamResult {
	var (
		mu      sync.Mutex
		wait    sync.WaitGroup
		results []streamResult
	)
	caller := fleet.NewCaller(false)
	ticker := time.NewTicker(streamEvery)
	defer ticker.Stop()
	for number := 1; time.Since(start) < lastTime; number++ {
		<-ticker.C
		id := fmt.Sprintf("%08x", number)
		wait.Go(func() {
			ctx, cancel := context.WithTimeout(context.Background(), streamTime)
			defer cancel()
			to := gateways[rand.Intn(len(gateways))]
			result := streamResult{sent: time.Since(start)}
			record.note("sent %s to %s", id, to.name)
			response := caller.Do(ctx, to.ports["callers"], fleet.Request{
				ID: id, Path: "/ask/" + id, Body: "question " + id, PromptTokens: 300, SharedTokens: 100, SharedPrefix: "a1", Deadline: streamTime,
			})
			result.served = response.Status == http.StatusOK && response.Err == nil && response.Body == fleet.StreamAnswer(id, streamEvents)
			record.note("ended %s: status %d, whole %v, error %v, %.80q", id, response.Status, result.served, response.Err, response.Body)
			mu.Lock()
			defer mu.Unlock()
			results = append(results, result)
		})
	}
	wait.Wait()
	return results
}

// judgeRecovery checks rule RECOVER: where a quarter or more of the requests was served before the final fault, so is a quarter of those sent later than
// recoveryTime after the gateways are back.
func judgeRecovery(record *record, results []streamResult) int {
	before, servedBefore, after, servedAfter := 0, 0, 0, 0
	for _, result := range results {
		switch {
		case result.sent < finalFault:
			before++
			if result.served {
				servedBefore++
			}
		case result.sent > finalFault+faultTime+recoveryTime:
			after++
			if result.served {
				servedAfter++
			}
		}
	}
	text := fmt.Sprintf("RECOVER: before the final fault %d of %d were served; later than %v after the gateways were back %d of %d", servedBefore, before, recoveryTime, servedAfter, after)
	record.note("%s", text)
	fmt.Fprintln(os.Stdout, text)
	switch {
	case before == 0 || after == 0 || 4*servedBefore < before:
		return exitCannot
	case 4*servedAfter < after:
		return exitBroken
	default:
		return exitHeld
	}
}

package main

import (
	"encoding/json"
	"fmt"
	"os"
	"strings"
	"time"
)

// Times and rates of the case.
const (
	workers     = 3
	slots       = 48
	frontCount  = 3
	warmUp      = 5 * time.Second
	crashEvery  = 2 * time.Second
	downTime    = time.Second
	crashCount  = 6
	caseTime    = 30 * time.Second
	popularMs   = 1200
	otherMs     = 60
	requestTime = 6 * time.Second
	// popularEvery and otherEvery are the times between two requests.
	popularEvery = 100 * time.Millisecond
	otherEvery   = 50 * time.Millisecond
)

// popularPath is a look-up that many clients make.
var popularPath = fmt.Sprintf("/lookup/today?ms=%d", popularMs)

// runCrashLoop crashes the workers of a service one after the other, and checks rule DENIED.
func runCrashLoop(settings caseSettings) int {
	record := newRecord()
	defer func() { _ = record.write(settings.recordPath) }()
	platform, err := startPlatform(record)
	if err != nil {
		record.note("can't run: %v", err)
		return exitCannot
	}
	defer platform.stop()
	platform.store.Put(wire.ConfigKey, json.RawMessage(configuration))
	if err := platform.startWorkers(workers, slots); err != nil {
		record.note("can't run: %v", err)
		return exitCannot
	}
	gateways, err := startGateways(settings.program, settings.folder, platform.address, frontCount)
	defer func() {
		for _, g := range gateways {
			g.kill()
		}
	}()
	if err != nil {
		record.note("can't run: %v", err)
		return exitCannot
	}
	callers := newClients(record, gateways)
	start := time.Now()
	if settings.trouble {
		for i := range crashCount {
			for number := range workers {
				time.AfterFunc(warmUp+time.Duration(i)*crashEvery, func() { platform.crash(number, slots, downTime) })
			}
		}
	}
	popular, other := time.NewTicker(popularEvery), time.NewTicker(otherEvery)
	defer popular.Stop()
	defer other.Stop()
	for number := 0; time.Since(start) < caseTime; {
		select {
		case <-popular.C:
			callers.send(popularPath, requestTime)
		case <-other.C:
			number++
			callers.send(fmt.Sprintf("/lookup/item-%d?ms=%d", number, otherMs), requestTime)
		}
	}
	callers.wait.Wait()
	if platform.failed.Load() || !allReady(gateways) {
		record.note("can't run: a worker could not be started, or a gateway is not ready")
		return exitCannot
	}
	return judgeDenied(record, callers)
}

// judgeDenied checks rule DENIED: at most 5 and one in 500 of all requests end with a 3xx or 4xx of the gateways' own.
func judgeDenied(record *record, callers *clients) int {
	denied, statuses := 0, map[string]int{}
	for _, result := range callers.outcomes {
		kind := "other"
		if strings.HasPrefix(result.path, popularPath) {
			kind = "popular"
		}
		statuses[fmt.Sprintf("%s %d signed=%v", kind, result.status, result.signed)]++
		isOwn := !result.signed && result.status >= 300 && result.status < 500
		if isOwn && result.status != 408 && result.status != 421 && result.status != 429 {
			denied++
		}
	}
	allowed := 5 + float64(len(callers.outcomes))/500
	record.note("statuses: %v", statuses)
	record.note("DENIED: %d of %d requests ended with a 3xx or 4xx of a gateway's own; %.1f are allowed", denied, len(callers.outcomes), allowed)
	fmt.Fprintf(os.Stdout, "%v\ndenied %d of %d, allowed %.1f\n", statuses, denied, len(callers.outcomes), allowed)
	if float64(denied) > allowed {
		return exitBroken
	}
	return exitHeld
}

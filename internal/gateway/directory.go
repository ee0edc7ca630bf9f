package gateway

import (
	"time"

	"github.com/granitebay/granitebay/internal/boottime"
)

// Timing of the directory of a gateway that has just started.
const (
	// directoryPatience is how long a caller waits for the addresses, less than callers allow for a response.
	directoryPatience = 600 * time.Millisecond
	// directorySettleTime is how long after its start a gateway makes callers wait at all: as long as an entry may take to
	// send its first heartbeat.
	directorySettleTime = 1500 * time.Millisecond
	// directoryPollInterval is how often to check whether the entries are known.
	directoryPollInterval = 10 * time.Millisecond
	// settledShare is the share of the entries that must be known to be alive.
	settledShare = 0.75
)

// awaitEntries waits until most entries are known to be alive, if this gateway has just started. Without it, gateways
// that all start at once would direct callers to themselves, where neither the load nor the caches of the engines are
// known, for as long as callers keep the addresses.
func (g *Gateway) awaitEntries() {
	deadline := boottime.Now().Add(directoryPatience)
	for g.uptime() < directorySettleTime && !g.entriesSettled() && boottime.Now().Before(deadline) {
		time.Sleep(directoryPollInterval)
	}
}

// entriesSettled reports whether most entries are known to be alive.
func (g *Gateway) entriesSettled() bool {
	if g.handler.Table() == nil {
		// This gateway knows no others yet.
		return false
	}
	live := 0
	for _, gateway := range g.advertised() {
		if g.isSelected(gateway.Name) {
			live++
		}
	}
	return float64(live) >= settledShare*float64(len(g.Entries()))
}

// isSelected reports whether a gateway is an entry.
func (g *Gateway) isSelected(name string) bool {
	for _, entry := range g.Entries() {
		if entry.Name == name {
			return true
		}
	}
	return false
}

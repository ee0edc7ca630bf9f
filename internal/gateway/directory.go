package gateway

import (
	"time"

	"github.com/granitebay/granitebay/internal/boottime"
)

// Timing of the directory of a gateway that has just started.
const (
	// directorySettleTime is how long after its start a gateway may not know yet which entries are alive: as long as an
	// entry may take to send its first heartbeat.
	directorySettleTime = 1500 * time.Millisecond
	// noEntryPatience is how long a caller waits for the first entry, less than callers allow for a response, and
	// fewEntriesPatience how long for half of them.
	noEntryPatience    = 600 * time.Millisecond
	fewEntriesPatience = 100 * time.Millisecond
	// directoryPollInterval is how often to check which entries are alive.
	directoryPollInterval = 10 * time.Millisecond
	// unsettledAddressTTL is how long callers keep addresses while most entries are not known to be alive.
	unsettledAddressTTL = 300 * time.Millisecond
)

// directoryStep is what to do with a request to the directory.
type directoryStep int

const (
	// directoryWaits keeps the caller waiting.
	directoryWaits directoryStep = iota
	// directoryAnswersBriefly responds with addresses that callers keep for unsettledAddressTTL.
	directoryAnswersBriefly
	// directoryAnswers responds with addresses that callers keep as long as configured.
	directoryAnswers
)

// nextDirectoryStep returns what to do with a request that has waited for some time at a gateway with the given uptime,
// which knows that some entries are alive. The number of entries is zero until the gateway knows the others.
func nextDirectoryStep(uptime, waited time.Duration, live, entries int) directoryStep {
	switch {
	case uptime >= directorySettleTime, entries > 0 && 4*live >= 3*entries:
		return directoryAnswers
	case waited >= noEntryPatience, live > 0 && waited >= fewEntriesPatience, live > 0 && 2*live >= entries:
		return directoryAnswersBriefly
	default:
		return directoryWaits
	}
}

// awaitEntries waits until entries are known to be alive, if this gateway has just started, and returns for how long
// callers may keep the addresses. Without it, gateways that all start at once would direct callers to themselves, where
// neither the load nor the caches of the engines are known.
func (g *Gateway) awaitEntries() time.Duration {
	ttl := time.Duration(g.addressTTL.Load())
	for began := boottime.Now(); ; time.Sleep(directoryPollInterval) {
		live, entries := g.liveEntries()
		switch nextDirectoryStep(g.uptime(), boottime.Now().Sub(began), live, entries) {
		case directoryAnswers:
			return ttl
		case directoryAnswersBriefly:
			return min(unsettledAddressTTL, ttl)
		}
	}
}

// liveEntries returns how many entries are known to be alive, and how many there are; zero until this gateway knows the
// others.
func (g *Gateway) liveEntries() (live, entries int) {
	if g.handler.Table() == nil {
		return 0, 0
	}
	names := map[string]bool{}
	for _, entry := range g.Entries() {
		names[entry.Name] = true
	}
	for _, gateway := range g.advertised() {
		if names[gateway.Name] {
			live++
		}
	}
	return live, len(names)
}

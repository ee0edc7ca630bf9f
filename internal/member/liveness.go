package member

import (
	"slices"
	"time"
)

// Timing of the detection of failed entries.
const (
	// firstHeartbeatTimeout is how long a gateway selected as an entry may take until its first heartbeat: the time until
	// it and the other entries learn of each other.
	firstHeartbeatTimeout = 1500 * time.Millisecond
	// unresponsivePause is how long a gateway that sent no heartbeat is not selected as an entry, unless it sends one or
	// registers again. It is longer than the lease of a standby gateway, so that a dead one is not selected twice.
	unresponsivePause = 20 * time.Second
	// connectedWindow is how long after a response this process is considered connected. It is longer than the interval
	// between requests to the store or to another gateway.
	connectedWindow = 2500 * time.Millisecond
	// reportedLiveWindow is how long a report that a gateway is live is valid. It spans several requests, so that some may
	// fail.
	reportedLiveWindow = 2500 * time.Millisecond
)

// StoreAnswered records that the store, or another gateway, responded to this process.
func (l *List) StoreAnswered(now time.Time) { l.connectedAt = now }

// isConnected reports whether this process got a response recently.
func (l *List) isConnected(now time.Time) bool {
	return !l.connectedAt.IsZero() && now.Sub(l.connectedAt) < connectedWindow
}

// Entries returns the entries by name, and the serving gateways that are suspected to be down. While this process
// is connected, an entry that sends no heartbeats is replaced at the next call.
func (l *List) Entries(now time.Time) (entries, suspects []Gateway) {
	reachable, suspects := l.findReachable(now)
	if l.ServingCount(now) <= l.settings.MaxAllEntries {
		entries = byName(slices.Collect(reachable))
	} else {
		entries = selectEntries(reachable, l.ranking.zones, l.neededCores, l.settings)
	}
	entrySince := make(map[string]time.Time, len(entries))
	for _, entry := range entries {
		since, wasEntry := l.entrySince[entry.Name]
		if !wasEntry {
			since = now
		}
		entrySince[entry.Name] = since
		if _, wasSeen := l.lastSeenAsEntry[entry.Name]; entry.Name != l.own.Name && !wasSeen && now.Sub(since) > firstHeartbeatTimeout && l.isConnected(now) {
			l.unresponsiveUntil[entry.Name] = now.Add(unresponsivePause)
		}
	}
	l.entrySince = entrySince
	return entries, suspects
}

// RegisteredEntries returns the entries by name as determined by the store alone. All processes with the same registrations
// agree on them.
func (l *List) RegisteredEntries(now time.Time) []Gateway {
	if l.ServingCount(now) <= l.settings.MaxAllEntries {
		return byName(slices.Collect(l.ranking.ordered()))
	}
	return selectEntries(l.ranking.ordered(), l.ranking.zones, l.neededCores, l.settings)
}

// EntriesReported records the entries that another gateway reported, and those of them that it received heartbeats from.
// Heartbeats of any other gateways are no longer expected.
func (l *List) EntriesReported(now time.Time, entries, live []string) {
	l.StoreAnswered(now)
	clear(l.lastSeenAsEntry)
	for _, name := range entries {
		l.recordAlive(now, name)
	}
	clear(l.liveUntil)
	for _, name := range live {
		l.liveUntil[name] = now.Add(reportedLiveWindow)
	}
	// Entries that the other gateway does not report were replaced by it, so they are probably down.
	for name := range l.entrySince {
		if name != l.own.Name && !slices.Contains(entries, name) {
			l.unresponsiveUntil[name] = now.Add(unresponsivePause)
		}
	}
}

// AdvertisedGateways returns the gateways that callers are directed to, by name: the entries known to be live. If there is
// none, it returns this gateway, which can serve as well. A registration does not prove that a gateway is live, as that of
// a standby gateway expires late.
func (l *List) AdvertisedGateways(now time.Time) []Gateway {
	entries, _ := l.Entries(now)
	advertised := slices.DeleteFunc(entries, func(entry Gateway) bool {
		return entry.Name != l.own.Name && now.After(l.liveUntil[entry.Name])
	})
	if len(advertised) == 0 && !l.own.Leaving {
		return []Gateway{l.own}
	}
	return advertised
}

// Claimants returns the gateways, by name, that recently sent heartbeats as entries while this process does not consider
// them entries. They must receive heartbeats, too: otherwise a gateway that replaced an entry may not learn that the entry
// is live, and both remain entries.
func (l *List) Claimants(now time.Time) []Gateway {
	var claimants []Gateway
	for name, heartbeatAt := range l.lastHeartbeat {
		_, isEntry := l.entrySince[name]
		if name == l.own.Name || isEntry || now.Sub(heartbeatAt) > heartbeatTimeout {
			continue
		}
		if gateway, serves := l.Find(now, name); serves {
			claimants = append(claimants, gateway)
		}
	}
	return byName(claimants)
}

// Resumed records that this process was suspended and could not receive heartbeats. It restarts all heartbeat timeouts.
func (l *List) Resumed(now time.Time) {
	for name := range l.lastSeenAsEntry {
		l.lastSeenAsEntry[name] = now
	}
	for name := range l.entrySince {
		l.entrySince[name] = now
	}
}

package member

import (
	"slices"
	"time"
)

// Times in which entries have to be heard.
const (
	// answerTime is how long a gateway that was picked as an entry may say nothing: the time in which it hears of the others
	// that take requests, and they of it.
	entryAnswerTimeout = 1500 * time.Millisecond
	// unresponsiveTime is how long one that said nothing is passed over, unless it is heard or registers anew: longer than the
	// lease of a gateway that stands by, so that a dead one is not picked twice.
	unresponsivePause = 20 * time.Second
	// connectedTime is how long an answer shows that the own side is sound: longer than the time between two questions to the
	// store, or to another gateway.
	connectedWindow = 2500 * time.Millisecond
	// toldTime is how long the word of another gateway counts that one lives: a question, two that fail and one more.
	reportedLiveWindow = 2500 * time.Millisecond
)

// Connected tells that the store, or another gateway that follows it, has answered this process.
func (l *List) Connected(now time.Time) { l.connectedAt = now }

// isConnected tells whether this process was answered of late.
func (l *List) isConnected(now time.Time) bool {
	return !l.connectedAt.IsZero() && now.Sub(l.connectedAt) < connectedWindow
}

// Entries returns the gateways to which callers are sent, by name, and those that serve but have fallen silent. An entry that was
// picked and says nothing is replaced by the next.
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
		if _, heard := l.lastHeard[entry.Name]; entry.Name != l.own.Name && !heard && now.Sub(since) > entryAnswerTimeout && l.isConnected(now) {
			l.unresponsiveUntil[entry.Name] = now.Add(unresponsivePause)
		}
	}
	l.entrySince = entrySince
	return entries, suspects
}

// Registered returns the gateways to which callers are sent by the store alone, by name, whether they are heard or not: all that read the
// same list agree.
func (l *List) Registered(now time.Time) []Gateway {
	if l.ServingCount(now) <= l.settings.MaxAllEntries {
		return byName(slices.Collect(l.ranking.all()))
	}
	return selectEntries(l.ranking.all(), l.ranking.zones, l.neededCores, l.settings)
}

// Told takes the names of the entries of another gateway that hears them, and of those among them that it has heard. Nobody else is
// waited for.
func (l *List) Told(now time.Time, entries, live []string) {
	l.Connected(now)
	clear(l.lastHeard)
	for _, name := range entries {
		l.recordLife(now, name)
	}
	clear(l.liveUntil)
	for _, name := range live {
		l.liveUntil[name] = now.Add(reportedLiveWindow)
	}
	for name := range l.entrySince {
		if name != l.own.Name && !slices.Contains(entries, name) {
			l.unresponsiveUntil[name] = now.Add(unresponsivePause)
		}
	}
}

// Named returns the gateways that callers are told, by name: the entries that are known to live. A gateway that knows of none names
// itself, because it can serve. A registration is no sign of life: one that stands by keeps it long after it is gone.
func (l *List) Named(now time.Time) []Gateway {
	entries, _ := l.Entries(now)
	named := slices.DeleteFunc(entries, func(entry Gateway) bool {
		return entry.Name != l.own.Name && now.After(l.liveUntil[entry.Name])
	})
	if len(named) == 0 && !l.own.Leaving {
		return []Gateway{l.own}
	}
	return named
}

// Claimants returns the gateways that said of late that they take requests and are no entries in the eyes of this one, by name. Who took
// the place of an entry may have been heard late by some: without a word of the others it would go on beside them.
func (l *List) Claimants(now time.Time) []Gateway {
	var claimants []Gateway
	for name, claimed := range l.lastClaimed {
		_, isEntry := l.entrySince[name]
		if name == l.own.Name || isEntry || now.Sub(claimed) > heartbeatTimeout {
			continue
		}
		if gateway, serves := l.Find(now, name); serves {
			claimants = append(claimants, gateway)
		}
	}
	return byName(claimants)
}

// Resumed tells that this process has stood still: nobody is silent who could not be heard.
func (l *List) Resumed(now time.Time) {
	for name := range l.lastHeard {
		l.lastHeard[name] = now
	}
	for name := range l.entrySince {
		l.entrySince[name] = now
	}
}

package member

import (
	"slices"
	"time"
)

// Times in which entries have to be heard.
const (
	// answerTime is how long a gateway that was picked as an entry may say nothing: the time in which it hears of the others
	// that take requests, and they of it.
	answerTime = 1500 * time.Millisecond
	// unresponsiveTime is how long one that said nothing is passed over, unless it is heard or registers anew: longer than the
	// lease of a gateway that stands by, so that a dead one is not picked twice.
	unresponsiveTime = 20 * time.Second
	// connectedTime is how long an answer shows that the own side is sound: longer than the time between two questions to the
	// store, or to another gateway.
	connectedTime = 2500 * time.Millisecond
	// toldTime is how long the word of another gateway counts that one lives: a question, two that fail and one more.
	toldTime = 2500 * time.Millisecond
)

// Connected tells that the store, or another gateway that follows it, has answered this process.
func (l *List) Connected(now time.Time) { l.connected = now }

// isConnected tells whether this process was answered of late.
func (l *List) isConnected(now time.Time) bool {
	return !l.connected.IsZero() && now.Sub(l.connected) < connectedTime
}

// Entries returns the gateways to which callers are sent, by name, and those that serve but have fallen silent. An entry that was
// picked and says nothing is replaced by the next.
func (l *List) Entries(now time.Time) (entries, suspects []Gateway) {
	reachable, suspects := l.reach(now)
	if l.ServingCount(now) <= l.settings.EveryoneUpTo {
		entries = byName(slices.Collect(reachable))
	} else {
		entries = pickEntries(reachable, l.preferred.zones, l.neededCores, l.settings)
	}
	picked := make(map[string]time.Time, len(entries))
	for _, entry := range entries {
		since, before := l.picked[entry.Name]
		if !before {
			since = now
		}
		picked[entry.Name] = since
		if _, heard := l.heard[entry.Name]; entry.Name != l.own.Name && !heard && now.Sub(since) > answerTime && l.isConnected(now) {
			l.unresponsive[entry.Name] = now.Add(unresponsiveTime)
		}
	}
	l.picked = picked
	return entries, suspects
}

// Registered returns the gateways to which callers are sent by the store alone, by name, whether they are heard or not: all that read the
// same list agree.
func (l *List) Registered(now time.Time) []Gateway {
	if l.ServingCount(now) <= l.settings.EveryoneUpTo {
		return byName(slices.Collect(l.preferred.all()))
	}
	return pickEntries(l.preferred.all(), l.preferred.zones, l.neededCores, l.settings)
}

// Told takes the names of the entries of another gateway that hears them, and of those among them that it has heard. Nobody else is
// waited for.
func (l *List) Told(now time.Time, entries, sound []string) {
	l.Connected(now)
	clear(l.heard)
	for _, name := range entries {
		l.hear(now, name)
	}
	clear(l.sound)
	for _, name := range sound {
		l.sound[name] = now.Add(toldTime)
	}
	for name := range l.picked {
		if name != l.own.Name && !slices.Contains(entries, name) {
			l.unresponsive[name] = now.Add(unresponsiveTime)
		}
	}
}

// Named returns the gateways that callers are told, by name: the entries that are known to live. A gateway that knows of none names
// itself, because it can serve. A registration is no sign of life: one that stands by keeps it long after it is gone.
func (l *List) Named(now time.Time) []Gateway {
	entries, _ := l.Entries(now)
	named := slices.DeleteFunc(entries, func(entry Gateway) bool {
		return entry.Name != l.own.Name && now.After(l.sound[entry.Name])
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
	for name, claimed := range l.claims {
		_, picked := l.picked[name]
		if name == l.own.Name || picked || now.Sub(claimed) > suspectAfter {
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
	for name := range l.heard {
		l.heard[name] = now
	}
	for name := range l.picked {
		l.picked[name] = now
	}
}

package simulation

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/samber/lo"

	"github.com/granitebay/granitebay/internal/configuration"
)

// Bounds of liveness.
const (
	// outcomeBound is how long after its deadline a caller may wait for its outcome.
	outcomeBound = 2 * time.Second
	// ownedBound is how long after the last fault each engine that runs has taken an order.
	ownedBound = 20 * time.Second
	// quietBound is how long after the last fault every call is answered.
	quietBound = 12 * time.Second
	// changeBound is how long after the last fault, or after the edit if that is later, the first engine takes a version
	// of the model that operators chose.
	changeBound = 30 * time.Second
)

// answeredShare is the share of the calls that could be answered which must be, in percent.
const answeredShare = 95

// checkLiveness finds calls that did not end within the bound after their deadline, engines without an owner, and
// edits that no engine followed.
func checkLiveness(history *History) []Violation {
	return slices.Concat(checkCallsEnd(history), checkEnginesOwned(history), checkVersionFollowed(history), checkQuiet(history))
}

// checkQuiet finds calls that were asked when everything had got well, and that were not answered.
func checkQuiet(history *History) []Violation {
	var violations []Violation
	lost := lostRequests(history)
	for _, checked := range history.calls() {
		quiet := checked.asked.At >= history.FaultsEnd+quietBound
		if quiet && checked.ending() != EndAnswered && answerable(checked, history, absences{}, lost) {
			violations = append(violations, Violation{Promise: PromiseLiveness, At: checked.endedAt(history),
				Subjects: []string{checked.asked.RequestID},
				Reason: fmt.Sprintf("caller %d of %s was told %q, although the last fault had healed %v before it asked",
					checked.asked.Call, checked.asked.RequestID, checked.ending(), checked.asked.At-history.FaultsEnd)})
		}
	}
	return violations
}

// checkVersionFollowed finds a version of the model that operators chose and that no engine has within the bound.
func checkVersionFollowed(history *History) []Violation {
	stored := storedDocuments(history)
	if len(stored) == 0 {
		return nil
	}
	version := versionOf(stored[len(stored)-1])
	since := stored[len(stored)-1].at
	for index := len(stored) - 1; index >= 0 && versionOf(stored[index]) == version; index-- {
		since = stored[index].at
	}
	limit := max(since, history.FaultsEnd) + changeBound
	if since == 0 || limit > history.End || slices.Contains(versionsAt(history, limit), version) {
		return nil
	}
	return []Violation{{Promise: PromiseLiveness, At: limit, Subjects: []string{configurationSubject, configuration.StoreKey},
		Reason: fmt.Sprintf("no engine has version %s of the model, which the configuration wants since %v", version, since)}}
}

// versionsAt returns the versions that the engines had at a moment, by the latest order that each accepted since its start.
func versionsAt(history *History, moment time.Duration) []string {
	versions := map[string]string{}
	for _, observation := range history.Observations {
		switch seen := observation.(type) {
		case EngineChanged:
			if seen.At <= moment && seen.State == EngineStarted {
				delete(versions, seen.Engine)
			}
		case OrderReceived:
			if seen.At <= moment && seen.Accepted {
				versions[seen.Engine] = seen.Configuration.ModelVersion
			}
		}
	}
	return slices.Collect(maps.Values(versions))
}

// versionOf returns the version of the model that a configuration wants.
func versionOf(stored storedDocument) string {
	if len(stored.document.Groups) == 0 || len(stored.document.Groups[0].Models) == 0 {
		return ""
	}
	return stored.document.Groups[0].Models[0].Version
}

// checkCallsEnd finds calls without an ending in time. An agent that is absent cannot tell an outcome: its calls count
// from its return.
func checkCallsEnd(history *History) []Violation {
	var violations []Violation
	away := history.absences(outcomeBound)
	for _, checked := range history.calls() {
		limit := checked.asked.Deadline + outcomeBound
		late := checked.endedAt(history) > limit && history.End > limit
		excused := away.overlaps(checked.asked.Agent, window{from: limit - outcomeBound, until: limit})
		unended := len(checked.ended) == 0 && history.End > limit
		if late && !excused || unended {
			violations = append(violations, Violation{Promise: PromiseLiveness, At: limit,
				Subjects: []string{checked.asked.RequestID},
				Reason: fmt.Sprintf("caller %d of %s has no outcome %v after its deadline", checked.asked.Call,
					checked.asked.RequestID, outcomeBound)})
		}
	}
	return violations
}

// checkEnginesOwned finds engines that run at the end and had no order accepted within the bound after the last fault
// or their start.
func checkEnginesOwned(history *History) []Violation {
	var violations []Violation
	started := map[string]EngineChanged{}
	owned := map[string]bool{}
	for _, observation := range history.Observations {
		switch seen := observation.(type) {
		case EngineChanged:
			delete(owned, seen.Engine)
			delete(started, seen.Engine)
			if seen.State == EngineStarted {
				started[seen.Engine] = seen
			}
		case OrderReceived:
			if seen.Accepted && seen.At <= max(history.FaultsEnd, started[seen.Engine].At)+ownedBound {
				owned[seen.Engine] = true
			}
		}
	}
	for _, name := range sortedKeys(started) {
		limit := max(history.FaultsEnd, started[name].At) + ownedBound
		if !owned[name] && limit <= history.End {
			violations = append(violations, Violation{Promise: PromiseLiveness, At: limit, Subjects: []string{name},
				Reason: fmt.Sprintf("%s/%d has accepted no order %v after the last fault", name,
					started[name].Incarnation, ownedBound)})
		}
	}
	return violations
}

// answerable tells whether a call could have been answered. Not counted are calls whose caller hardly waits or went away, whose agent
// was absent while they were open, and calls for work that may not be repeated whose run ended before its whole answer
// because its engine crashed or another caller with the same key gave it up. Nor is work that may not be repeated, if it
// was not answered, when routers of two zones were absent between the first call of the request and the end of this one:
// a majority of the holders of its claim may have been down or have forgotten it.
func answerable(checked *call, history *History, away absences, lost map[string]bool) bool {
	span := window{from: checked.asked.At, until: checked.endedAt(history)}
	switch {
	case checked.hasty(), checked.ending() == EndLeft, checked.ending() == EndBroken:
		return false
	case away.overlaps(checked.asked.Agent, span):
		return false
	case checked.asked.Repeatable:
		return true
	case lost[checked.asked.RequestID]:
		return false
	}
	return checked.ending() == EndAnswered || !history.mayHaveLostClaim(checked, away)
}

// claimZones is the number of zones without which a claim has no majority.
const claimZones = 2

// mayHaveLostClaim tells whether routers of so many zones were absent since a request was first asked that a majority of
// the holders of its claim may have been lost.
func (h *History) mayHaveLostClaim(checked *call, away absences) bool {
	first, _ := lo.Find(observations[CallAsked](h), func(asked CallAsked) bool { return asked.RequestID == checked.asked.RequestID })
	span := window{from: first.At, until: checked.endedAt(h)}
	zones := map[string]bool{}
	for router, zone := range h.Zones {
		if away.overlaps(router, span) {
			zones[zone] = true
		}
	}
	return len(zones) >= claimZones
}

// countAnswered counts the calls that could be answered, and those of them that were.
func countAnswered(history *History) (answered, could int) {
	lost := lostRequests(history)
	away := history.absences(0)
	for _, checked := range history.calls() {
		if !answerable(checked, history, away, lost) {
			continue
		}
		could++
		if checked.ending() == EndAnswered {
			answered++
		}
	}
	return answered, could
}

// lostRequests returns the requests whose run an engine lost in a crash, or that a caller gave up by going away or by its
// deadline when it hardly waited.
func lostRequests(history *History) map[string]bool {
	lost := map[string]bool{}
	for _, ended := range observations[RunEnded](history) {
		if ended.Ending == RunCrashed {
			lost[ended.RequestID] = true
		}
	}
	for _, checked := range history.calls() {
		gaveUp := checked.ending() == EndLeft || checked.hasty() && checked.ending() != EndAnswered
		if gaveUp {
			lost[checked.asked.RequestID] = true
		}
	}
	return lost
}

// checkAnswered finds a run in which less was answered than the share that must be.
func checkAnswered(history *History) []Violation {
	answered, could := countAnswered(history)
	if answered*100 >= could*answeredShare {
		return nil
	}
	return []Violation{{Promise: PromiseAnswered, At: history.End,
		Reason: fmt.Sprintf("%d of %d calls were answered, less than %d %%", answered, could, answeredShare)}}
}

// sortedKeys returns the keys of a map in order.
func sortedKeys[V any](values map[string]V) []string {
	keys := make([]string, 0, len(values))
	for key := range values {
		keys = append(keys, key)
	}
	slices.Sort(keys)
	return keys
}

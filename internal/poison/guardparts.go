package poison

import (
	"iter"
	"slices"
	"time"

	"github.com/granitebay/granitebay/internal/backend"
)

// countVersions applies changes of the registered workers to the counts of their versions. The caller holds the mutex.
func (g *Guard) countVersions(changes backend.Changes) {
	count := func(worker *backend.Worker, change int) {
		if worker == nil {
			return
		}
		counts := g.versions[worker.Group]
		if counts == nil {
			counts = map[string]int{}
			g.versions[worker.Group] = counts
		}
		if counts[worker.SoftwareVersion] += change; counts[worker.SoftwareVersion] <= 0 {
			delete(counts, worker.SoftwareVersion)
		}
	}
	for _, id := range changes.Removed {
		count(g.registered[id], -1)
	}
	for _, worker := range changes.Updated {
		count(g.registered[worker.ID], -1)
		count(worker, 1)
	}
}

// versionBeside returns the software version of a worker if workers of another one are registered for its service, or nothing. The caller holds
// the mutex.
func (g *Guard) versionBeside(worker *backend.Worker) string {
	for version := range g.versions[worker.Group] {
		if version != worker.SoftwareVersion {
			return worker.SoftwareVersion
		}
	}
	return ""
}

// atVersions returns the parts at each registered software version of a service. The caller holds the mutex.
func (g *Guard) atVersions(service string, parts []Part) iter.Seq[Part] {
	return func(yield func(Part) bool) {
		if !g.parts.hasVersions {
			return
		}
		for version := range g.versions[service] {
			for _, part := range parts {
				if version != "" && !yield(part.AtVersion(version)) {
					return
				}
			}
		}
	}
}

// BarredVersions returns the software versions at which a part of a prompt is barred or pending, and one of the bars. Requests with the parts
// must run at other workers of the service.
func (g *Guard) BarredVersions(service string, parts []Part) (versions []string, bar Bar) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.now()
	for part := range g.atVersions(service, parts) {
		status, evidence := g.parts.status(now, part)
		if status < Pending || slices.Contains(versions, part.Version) {
			continue
		}
		versions = append(versions, part.Version)
		if status == Barred || bar.Part.IsZero() {
			bar = evidence
		}
	}
	return versions, bar
}

// PartStatus returns the highest status of the parts of a prompt at all workers, Clear, Pending or Barred, and the bar or the evidence against
// that part.
func (g *Guard) PartStatus(parts []Part) (Status, Bar) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.now()
	highest, bar := Clear, Bar{}
	for _, part := range parts {
		if status, evidence := g.parts.status(now, part); status > highest {
			highest, bar = status, evidence
		}
	}
	return highest, bar
}

// CountRequest counts a request to a service by the parts of its prompt. The counts tell popular parts from others.
func (g *Guard) CountRequest(service string, parts []Part) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, part := range parts {
		g.parts.countRequest(part)
	}
	for part := range g.atVersions(service, parts) {
		g.parts.countRequest(part)
	}
}

// RecordAnswer records that a worker began to answer a request with the parts at the given time, and lived on. Evidence against the parts up
// to that time is void, except that of workers of other software versions against the part at their version.
func (g *Guard) RecordAnswer(worker *backend.Worker, at time.Time, parts []Part) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.now()
	changed, lifted := false, false
	g.signOfLife(worker, at)
	if len(parts) > 0 {
		g.parts.countAnswer(now, parts[0].Group)
	}
	for _, part := range g.answeredParts(worker, parts) {
		voided, partLifted := g.parts.recordAnswer(now, at, part)
		g.table.reconsider(voided)
		changed = changed || partLifted || len(voided) > 0
		lifted = lifted || partLifted
		if partLifted {
			g.emit(Cleared{Digest: part.Digest(), Part: part, WasBarred: true})
		}
	}
	if !changed {
		return
	}
	if g.notify != nil {
		g.notify(lifted)
	}
	g.scheduleEvaluation()
}

// answeredParts returns the parts for which the answer of a worker speaks. The caller holds the mutex.
func (g *Guard) answeredParts(worker *backend.Worker, parts []Part) []Part {
	if worker.SoftwareVersion == "" || (!g.parts.hasVersions && g.versionBeside(worker) == "") {
		return parts
	}
	answered := slices.Clone(parts)
	for _, part := range parts {
		answered = append(answered, part.AtVersion(worker.SoftwareVersion))
	}
	return answered
}

// BeginTrial returns the barred part of a request that may be sent to one worker, to find out whether the part still crashes workers; zero if
// it may not. Bars for all workers of the service come before those at a software version. isElected reports whether this gateway is the one to
// begin the trial of a part with a number. A request with several barred parts would prove nothing.
func (g *Guard) BeginTrial(service string, parts []Part, isElected func(part Part, number int) bool) Part {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.now()
	barred := g.barredParts(now, slices.Values(parts))
	if len(barred) == 0 {
		barred = g.barredParts(now, g.atVersions(service, parts))
	}
	if len(barred) != 1 || !g.parts.beginTrial(now, barred[0], func(number int) bool { return isElected(barred[0], number) }) {
		return Part{}
	}
	if g.notify != nil {
		// The other gateways must not begin the same trial.
		g.notify(true)
	}
	return barred[0]
}

// barredParts returns those of the parts that are barred, each once. The caller holds the mutex.
func (g *Guard) barredParts(now time.Time, parts iter.Seq[Part]) []Part {
	var barred []Part
	for part := range parts {
		if status, _ := g.parts.status(now, part); status == Barred && !slices.Contains(barred, part) {
			barred = append(barred, part)
		}
	}
	return barred
}

// ReturnTrial undoes BeginTrial for a request that was sent to no worker.
func (g *Guard) ReturnTrial(part Part) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.parts.returnTrial(part)
}

// Now returns the time by the clock of the guard.
func (g *Guard) Now() time.Time { return g.now() }

// ApplyPartUpdate merges an update of another gateway about parts.
func (g *Guard) ApplyPartUpdate(update *PartUpdate) {
	if update == nil || update.Empty() {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.table.ApplySupplement(g.now(), update.Requests)
	bars, voided := g.parts.applyUpdate(g.now(), update)
	g.table.reconsider(voided)
	for _, part := range g.parts.liftedHere {
		// The gateway with the answer may not know what the store holds.
		g.emit(Cleared{Digest: part.Digest(), Part: part, WasBarred: true})
	}
	g.parts.liftedHere = nil
	if g.notify != nil && g.parts.hasUntold() {
		g.notify(true)
	}
	for _, bar := range bars {
		g.emit(BarReceived{bar})
	}
	g.scheduleEvaluation()
}

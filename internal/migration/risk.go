package migration

import "time"

// riskWindow is the time for which the end of an engine raises the risk of others. Ends come in groups, some tens of seconds apart.
const riskWindow = 30 * time.Second

// maxTrackedEnds bounds the ends that a Risk holds. The oldest are dropped first.
const maxTrackedEnds = 1024

// place is a zone of a group.
type place struct{ group, zone string }

// runningEngine is an engine that has not been removed. Its end counts once.
type runningEngine struct {
	place
	ended bool
}

// engineEnd is an engine that ended, or announced that it will.
type engineEnd struct {
	place
	at time.Time
}

// Risk estimates the risk that an engine ends from the ends of others. It is a pure state machine and not safe for concurrent use.
type Risk struct {
	engines map[string]*runningEngine
	// inZone and inGroup hold the number of engines of each zone and of each group.
	inZone  map[place]int
	inGroup map[string]int
	// ends are in the order of their times.
	ends []engineEnd
}

// NewRisk returns a Risk without engines.
func NewRisk() *Risk {
	return &Risk{engines: map[string]*runningEngine{}, inZone: map[place]int{}, inGroup: map[string]int{}}
}

// Add adds an engine, or moves it to another group or zone.
func (r *Risk) Add(id, group, zone string) {
	at := place{group, zone}
	if engine, found := r.engines[id]; found && engine.place == at {
		return
	}
	r.Remove(id)
	r.engines[id] = &runningEngine{place: at}
	r.count(at, 1)
}

// Remove removes an engine. Its end still counts.
func (r *Risk) Remove(id string) {
	engine, found := r.engines[id]
	if !found {
		return
	}
	delete(r.engines, id)
	r.count(engine.place, -1)
}

// count changes the number of engines of a zone and of its group.
func (r *Risk) count(at place, change int) {
	if r.inZone[at] += change; r.inZone[at] == 0 {
		delete(r.inZone, at)
	}
	if r.inGroup[at.group] += change; r.inGroup[at.group] == 0 {
		delete(r.inGroup, at.group)
	}
}

// Ended records that an engine ended or announced its end. Only the first call for an engine has an effect.
func (r *Risk) Ended(now time.Time, id string) {
	engine, found := r.engines[id]
	if !found || engine.ended {
		return
	}
	engine.ended = true
	r.expire(now)
	if len(r.ends) >= maxTrackedEnds {
		r.ends = r.ends[1:]
	}
	r.ends = append(r.ends, engineEnd{place: engine.place, at: now})
}

// expire drops the ends that are older than the window.
func (r *Risk) expire(now time.Time) {
	for len(r.ends) > 0 && now.Sub(r.ends[0].at) > riskWindow {
		r.ends = r.ends[1:]
	}
}

// Estimate returns the probability that an engine of a group in a zone ends within a time, and whether the ends are concentrated in that
// zone.
func (r *Risk) Estimate(now time.Time, group, zone string, within time.Duration) (probability float64, zonal bool) {
	r.expire(now)
	all, inZone := 0, 0
	for i := range r.ends {
		if r.ends[i].group != group {
			continue
		}
		all++
		if r.ends[i].zone == zone {
			inZone++
		}
	}
	windows := within.Seconds() / riskWindow.Seconds()
	general := shareEnded(all, r.inGroup[group]) * windows
	local := 0.0
	if inZone > 1 {
		local = shareEnded(inZone, r.inZone[place{group, zone}]) * windows
	}
	return min(max(general, local), 1), local > zonalFactor*general
}

// zonalFactor is how much more likely ends in a zone must be than in the whole group to count as concentrated there.
const zonalFactor = 1.5

// shareEnded returns the share of the engines that ended. Those that ended may or may not be among the present ones still.
func shareEnded(ended, present int) float64 {
	if ended == 0 {
		return 0
	}
	return float64(ended) / float64(max(present, ended))
}

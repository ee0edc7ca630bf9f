package streamversion

import (
	"time"

	"github.com/granitebay/granitebay/internal/backend"
)

// History keeps which software versions the workers of each service had, and since when all workers have been watched. It is not safe for
// concurrent use.
//
// Invariant: a version of which a worker was listed at a time since the last Restart is among those of an Outlook whose horizon reaches back
// to that time, up to maxHorizon.
type History struct {
	// watchedSince is zero while the workers are not known.
	watchedSince time.Time
	services     map[string]map[string]*presence
}

// presence is when workers of one version were listed.
type presence struct {
	workers int
	// lastSeen is when the last worker went; it means nothing while there are some.
	lastSeen time.Time
}

// maxHorizon is the longest time for which versions without workers are kept.
const maxHorizon = MaxLifetime + horizonSlack

// NewHistory returns a history that knows no workers.
func NewHistory() *History { return &History{services: map[string]map[string]*presence{}} }

// Restart begins to watch anew, because changes may have been missed. It does nothing while no worker is known.
func (h *History) Restart(now time.Time) {
	if !h.watchedSince.IsZero() {
		h.watchedSince = now
	}
}

// Change applies changes of the workers. Previous are the workers before them.
func (h *History) Change(now time.Time, previous backend.Set, changes backend.Changes) {
	for _, id := range changes.Removed {
		h.remove(now, previous[id])
	}
	for _, worker := range changes.Updated {
		h.remove(now, previous[worker.ID])
		h.add(worker)
	}
	if h.watchedSince.IsZero() && len(changes.Updated) > 0 {
		h.watchedSince = now
	}
}

// add counts a worker.
func (h *History) add(worker *backend.Worker) {
	versions := h.services[worker.Group]
	if versions == nil {
		versions = map[string]*presence{}
		h.services[worker.Group] = versions
	}
	if versions[worker.SoftwareVersion] == nil {
		versions[worker.SoftwareVersion] = &presence{}
	}
	versions[worker.SoftwareVersion].workers++
}

// remove ends the count of a worker, which may be nil.
func (h *History) remove(now time.Time, worker *backend.Worker) {
	if worker == nil {
		return
	}
	versions := h.services[worker.Group]
	if p := versions[worker.SoftwareVersion]; p != nil {
		p.workers--
		p.lastSeen = now
	}
	for version, p := range versions {
		if p.workers <= 0 && now.Sub(p.lastSeen) > maxHorizon {
			delete(versions, version)
		}
	}
}

// Outlook is which versions of some services have had workers within a time up to now.
type Outlook struct {
	// Versions is their number. Only is the version if there is one.
	Versions int
	Only     Version
	// IsComplete is set if all workers have been watched for that time.
	IsComplete bool
}

// IsSole reports whether there has been one version.
func (o Outlook) IsSole() bool { return o.Versions == 1 }

// Outlook returns which versions of services have had workers within the horizon.
func (h *History) Outlook(now time.Time, services []string, horizon time.Duration) Outlook {
	outlook := Outlook{IsComplete: !h.watchedSince.IsZero() && now.Sub(h.watchedSince) >= horizon && horizon <= maxHorizon}
	for _, service := range services {
		for software, p := range h.services[service] {
			if p.workers > 0 || now.Sub(p.lastSeen) < horizon {
				outlook.Versions++
				outlook.Only = Version{Service: service, Software: software}
			}
		}
	}
	if outlook.Versions != 1 {
		outlook.Only = Version{}
	}
	return outlook
}

// IsMixed reports whether the workers of a service have had several versions within the longest horizon.
func (h *History) IsMixed(now time.Time) bool {
	for service := range h.services {
		if h.Outlook(now, []string{service}, maxHorizon).Versions > 1 {
			return true
		}
	}
	return false
}

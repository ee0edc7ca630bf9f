package forward

import (
	"time"

	"github.com/granitebay/granitebay/internal/backend"
	"github.com/granitebay/granitebay/internal/roles"
)

// longestChange is how long work is kept off an engine whose record does not tell that it has changed.
const longestChange = 5 * time.Second

// roleChange is a change that this gateway has ordered.
type roleChange struct {
	role  backend.Role
	until time.Time
}

// Engines is part of roles.Fleet.
func (d *Dispatcher) Engines() map[string][]roles.Engine {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	engines := map[string][]roles.Engine{}
	for _, id := range d.balancer.IDs() {
		worker, _ := d.balancer.Worker(id)
		if d.engines[worker.Group] == nil {
			continue
		}
		running, readingTokens := d.balancer.Load(id)
		runningElsewhere, readingElsewhere := d.sharing.elsewhere(id)
		group := worker.RoleGroup()
		engines[group] = append(engines[group], roles.Engine{
			Worker:        worker,
			Running:       running + runningElsewhere,
			ReadingTokens: readingTokens + readingElsewhere,
			Usable:        d.balancer.Usable(d.now(), id),
		})
	}
	return engines
}

// SetChanging is part of roles.Fleet.
func (d *Dispatcher) SetChanging(id string, role backend.Role) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	worker, found := d.balancer.Worker(id)
	if !found {
		return
	}
	until := d.now()
	if worker.Role != role {
		until = until.Add(longestChange)
		d.sharing.changing[id] = roleChange{role: role, until: until}
	} else {
		delete(d.sharing.changing, id)
	}
	d.balancer.SetChanging(id, until)
	d.sharing.loadChanged(id, true)
}

package forward

import (
	"time"

	"github.com/granitebay/granitebay/internal/backend"
	"github.com/granitebay/granitebay/internal/routing"
)

// BackOff keeps requests off a worker for a time, as it asked this gateway. Others are not told: it did not ask them, and a role of which
// each gateway knew all such times would be shut for everybody.
func (d *Dispatcher) BackOff(worker string, wanted time.Duration) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.balancer.BackOff(d.now(), worker, wanted)
	clear(d.backOffs)
}

// foundBackOff is when the first worker of a group takes requests again, as it was found at a moment; zero if some take them.
type foundBackOff struct {
	at, ends time.Time
}

// backOffEnds returns when the first worker of a group takes requests again, or false unless all of them want none now. It is found anew
// once in foundTime: callers are refused as often as they ask, and a group has thousands of workers.
func (d *Dispatcher) backOffEnds(group *routing.Group) (time.Time, bool) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	now := d.now()
	found, known := d.backOffs[group.Name]
	if !known || now.Sub(found.at) >= foundTime || !now.Before(found.ends) {
		role := backend.RoleDecode
		if group.Engine == nil {
			role = backend.RoleNone
		}
		ends, _ := d.balancer.BackOffEnds(now, group.Name, role)
		found = foundBackOff{at: now, ends: ends}
		d.backOffs[group.Name] = found
	}
	return found.ends, !found.ends.IsZero()
}

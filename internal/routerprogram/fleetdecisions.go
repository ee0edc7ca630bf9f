package routerprogram

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/samber/lo"

	"github.com/granitebay/granitebay/internal/adminapi"
	"github.com/granitebay/granitebay/internal/decision"
)

// followRetryInterval is the time between two looks at which routers are to be followed.
const followRetryInterval = time.Second

// fleetFollower follows the decisions of the other routers for one client.
type fleetFollower struct {
	backend backend
	filter  adminapi.StreamFilter
	take    func(decision.Record)

	mutex sync.Mutex
	// started are the routers that have a goroutine, connected those whose stream is open.
	started, connected map[string]bool
}

// FollowOthers implements adminapi.Backend.
func (b backend) FollowOthers(ctx context.Context, filter adminapi.StreamFilter, take func(decision.Record)) func() []string {
	filter.Fleet = false
	// Sequences are of one process, so the client's bound says nothing of the others.
	filter.Since = 0
	follower := &fleetFollower{backend: b, filter: filter, take: take, started: make(map[string]bool), connected: make(map[string]bool)}
	go follower.run(ctx)
	return follower.notFollowed
}

func (f *fleetFollower) others() []otherRouter { return read(f.backend, othersOf) }

// notFollowed names the live routers whose stream is not open.
func (f *fleetFollower) notFollowed() []string {
	others := f.others()
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return lo.FilterMap(others, func(other otherRouter, _ int) (string, bool) { return other.name, !f.connected[other.name] })
}

// run starts to follow each router that is found.
func (f *fleetFollower) run(ctx context.Context) {
	for ctx.Err() == nil {
		for _, other := range f.others() {
			if !f.started[other.name] {
				f.started[other.name] = true
				go f.followRouter(ctx, other.name)
			}
		}
		pause(ctx)
	}
}

// followRouter follows one router, and again when the stream broke or the router started again.
func (f *fleetFollower) followRouter(ctx context.Context, name string) {
	filter := f.filter
	incarnation := uint64(0)
	for ; ctx.Err() == nil; pause(ctx) {
		other, found := lo.Find(f.others(), func(other otherRouter) bool { return other.name == name })
		if !found {
			continue
		}
		if other = f.backend.program.adminAddresses.complete(ctx, []otherRouter{other})[0]; other.admin == "" {
			continue
		}
		if other.incarnation != incarnation {
			incarnation, filter.Since = other.incarnation, 0
		}
		client := adminapi.NewClient([]string{other.admin}, http.DefaultClient)
		_ = client.Follow(ctx, filter, adminapi.StreamHandler{
			Decision: func(record decision.Record) error {
				filter.Since = record.Sequence
				f.take(record)
				return nil
			},
			Heartbeat: func(adminapi.Heartbeat) error {
				f.setConnected(name, true)
				return nil
			},
		})
		f.setConnected(name, false)
	}
}

func (f *fleetFollower) setConnected(name string, connected bool) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.connected[name] = connected
}

// pause waits for a moment, or until the context ends.
func pause(ctx context.Context) {
	select {
	case <-time.After(followRetryInterval):
	case <-ctx.Done():
	}
}

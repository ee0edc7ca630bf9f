package routerprogram

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/samber/lo"

	"github.com/granitebay/granitebay/internal/adminapi"
	"github.com/granitebay/granitebay/internal/router"
)

const (
	// viewTimeout bounds the time in which another router gives its view.
	viewTimeout = time.Second
	// viewAge is how long the views of the other routers are used again, for each group of viewsPerAge routers, so that
	// several readers cost one round and a large fleet is asked less often.
	viewAge     = 500 * time.Millisecond
	viewsPerAge = 16
)

// fleetView is what the routers know together.
type fleetView struct {
	// views by name of router, the one of this router included.
	views map[string]adminapi.RouterView
	// missing are the live routers that did not answer, by name.
	missing []string
}

// fleetViews asks the other routers for their views and keeps them for a moment.
type fleetViews struct {
	mutex sync.Mutex
	taken time.Time
	kept  fleetView
}

// get returns the views of the other routers.
func (f *fleetViews) get(ctx context.Context, others []otherRouter) fleetView {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if time.Since(f.taken) > viewAge*time.Duration(1+len(others)/viewsPerAge) {
		f.kept = askViews(ctx, others)
		f.taken = time.Now()
	}
	return f.kept
}

// askViews asks all routers at once.
func askViews(ctx context.Context, others []otherRouter) fleetView {
	// The views are shared, so one reader that goes away does not end the round.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), viewTimeout)
	defer cancel()
	answers := make([]*adminapi.RouterView, len(others))
	var waiting sync.WaitGroup
	for index, other := range others {
		if other.admin == "" {
			continue
		}
		waiting.Go(func() {
			view, err := adminapi.NewClient([]string{other.admin}, http.DefaultClient).RouterView(ctx)
			// Another process may have got the port of one that is gone.
			if err == nil && view.Router == other.name {
				answers[index] = &view
			}
		})
	}
	waiting.Wait()
	result := fleetView{views: make(map[string]adminapi.RouterView, len(others))}
	for index, other := range others {
		if answers[index] == nil {
			result.missing = append(result.missing, other.name)
			continue
		}
		result.views[other.name] = *answers[index]
	}
	return result
}

// fleet returns the views of all live routers, this one included.
func (b backend) fleet(ctx context.Context) fleetView {
	asked := b.program.views.get(ctx, b.others(ctx))
	own := read(b, routerView)
	return fleetView{views: lo.Assign(asked.views, map[string]adminapi.RouterView{own.Router: own}), missing: asked.missing}
}

// RouterView implements adminapi.Backend.
func (b backend) RouterView(context.Context) (adminapi.RouterView, error) {
	return read(b, routerView), nil
}

func routerView(now time.Time, c *router.Core) adminapi.RouterView {
	name := c.Self().GetName()
	view := adminapi.RouterView{
		Router:      name,
		Incarnation: c.Self().GetIncarnation(),
		StartedAt:   c.StartedAt(),
		Engines: lo.Filter(engineStatuses(now, c), func(each adminapi.EngineStatus, _ int) bool {
			return each.Owner == name
		}),
		Requests:    make(map[string]adminapi.RequestCount),
		Plans:       make(map[string]adminapi.PlanNote),
		RoleChanges: c.RoleCounts().Done,
	}
	for rule, load := range c.Load() {
		view.Requests[rule] = adminapi.RequestCount{Running: load.Running, Waiting: load.Waiting}
	}
	if snapshot := c.Configuration().Snapshot(); snapshot != nil {
		for _, group := range snapshot.Groups() {
			if plan := c.LastPlan(group.Name); plan.Sentence != "" {
				view.Plans[group.Name] = adminapi.PlanNote{Sentence: plan.Sentence, MadeAt: plan.MadeAt}
			}
		}
	}
	return view
}

// joinEngines replaces what this router knows of engines by what their owners know.
func (v fleetView) joinEngines(known []adminapi.EngineStatus) []adminapi.EngineStatus {
	owned := make(map[string]adminapi.EngineStatus)
	for _, view := range v.views {
		for _, status := range view.Engines {
			// While ownership moves, two routers may both count as owner; the fresher report counts.
			if other, found := owned[status.Name]; !found || status.ReportAgeMillis < other.ReportAgeMillis {
				owned[status.Name] = status
			}
		}
	}
	return lo.Map(known, func(status adminapi.EngineStatus, _ int) adminapi.EngineStatus {
		if fresh, found := owned[status.Name]; found {
			return fresh
		}
		if lo.Contains(v.missing, status.Owner) {
			status.State = stateUnknown
		}
		return status
	})
}

// requests sums up the requests of a rule at all routers.
func (v fleetView) requests(rule string) (total adminapi.RequestCount) {
	for _, view := range v.views {
		total.Running += view.Requests[rule].Running
		total.Waiting += view.Requests[rule].Waiting
	}
	return total
}

// plan returns the latest plan of a group.
func (v fleetView) plan(group string) adminapi.PlanNote {
	latest := adminapi.PlanNote{}
	for _, view := range v.views {
		if note := view.Plans[group]; note.MadeAt.After(latest.MadeAt) {
			latest = note
		}
	}
	return latest
}

// namedMissing is the most missing routers that a warning names.
const namedMissing = 4

// warnings says in a sentence which routers are missing.
func (v fleetView) warnings() []string {
	if len(v.missing) == 0 {
		return nil
	}
	named := strings.Join(lo.Slice(v.missing, 0, namedMissing), ", ")
	if more := len(v.missing) - namedMissing; more > 0 {
		named += fmt.Sprintf(" and %d more", more)
	}
	return []string{"routers that did not answer: " + named + "; their requests are not counted and their engines are shown as unknown"}
}

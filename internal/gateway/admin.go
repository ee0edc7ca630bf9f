package gateway

import (
	"cmp"
	"context"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/danielgtaylor/huma/v2"
	"github.com/danielgtaylor/huma/v2/adapters/humago"
	"github.com/samber/lo"

	"github.com/granitebay/granitebay/internal/adminapi"
	"github.com/granitebay/granitebay/internal/adminpage"
	"github.com/granitebay/granitebay/internal/backend"
	"github.com/granitebay/granitebay/internal/command"
	"github.com/granitebay/granitebay/internal/configuration"
	"github.com/granitebay/granitebay/internal/decision"
	"github.com/granitebay/granitebay/internal/forward"
	"github.com/granitebay/granitebay/internal/member"
	"github.com/granitebay/granitebay/internal/routing"
)

// pathMetrics is the path of the metrics, next to the admin API and the admin page.
const pathMetrics = "/metrics"

// adminHandler serves metrics, the admin API and the admin page on one port. The API is created on first use, as few
// gateways are asked for it.
func (g *Gateway) adminHandler() http.Handler {
	api := sync.OnceValue(func() http.Handler {
		mux := http.NewServeMux()
		adminapi.Register(humago.New(mux, huma.DefaultConfig("granitebay", command.Version())), admin{g})
		adminpage.Register(mux)
		return mux
	})
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == pathMetrics {
			g.metrics.ServeHTTP(w, r)
			return
		}
		api().ServeHTTP(w, r)
	})
}

// admin implements adminapi.Backend for a gateway.
type admin struct{ *Gateway }

// Status implements adminapi.Backend.
func (a admin) Status() adminapi.GatewayStatus {
	serving := a.view.Serving()
	entries := a.Entries()
	status := adminapi.GatewayStatus{
		Gateway: a.settings.Name, Zone: a.settings.Zone, Version: command.Version(), StartedAt: a.startedAt, Time: time.Now(),
		Ready: a.Ready(), Stopping: a.leaving.Load(), StoreAgeMillis: a.view.Staleness().Milliseconds(),
		Gateways: len(serving), Entries: len(entries), Entry: isListed(entries, a.settings.Name),
		GivesOrders: a.controller.HasAuthority(), InProgress: a.handler.Active(),
		Workers: lo.CountValuesBy(a.Workers(), func(w adminapi.WorkerStatus) string { return w.State }),
	}
	if table := a.handler.Table(); table != nil {
		status.RouteVersion, status.Revision = table.Configuration().Version, uint64(table.Configuration().Revision)
	}
	if document := a.Document(); document.Revision > 0 {
		status.Warnings = configuration.Warnings(document, a.KnownWorkers())
	}
	return status
}

// isListed reports whether a list contains the gateway with the given name.
func isListed(gateways []member.Gateway, name string) bool {
	return slices.ContainsFunc(gateways, func(gateway member.Gateway) bool { return gateway.Name == name })
}

// Workers implements adminapi.Backend.
func (a admin) Workers() []adminapi.WorkerStatus {
	statuses := lo.Map(a.dispatcher.Workers(), func(view forward.WorkerView, _ int) adminapi.WorkerStatus {
		w := view.Worker
		var limit *adminapi.LimitStatus
		if quota := view.Quota; quota != nil {
			limit = &adminapi.LimitStatus{PerSecond: quota.PerSecond, Share: quota.Share, AgeMs: time.Since(quota.ReportedAt).Milliseconds()}
		}
		return adminapi.WorkerStatus{
			Address: w.Address, ID: w.ID, Service: w.Group, Groups: w.Selected, Zone: w.Zone, Labels: w.Labels, Role: string(w.Role),
			State: stateOf(view), Running: view.Load.Running, PrefillTokens: view.Load.PrefillTokens, Slots: w.Slots, Limit: limit,
		}
	})
	slices.SortFunc(statuses, func(x, y adminapi.WorkerStatus) int {
		return cmp.Or(cmp.Compare(x.Service, y.Service), cmp.Compare(x.Zone, y.Zone), cmp.Compare(x.Address, y.Address))
	})
	return statuses
}

// stateOf returns the admin API's name for the state of a worker.
func stateOf(view forward.WorkerView) string {
	switch {
	case view.Worker.Draining:
		return adminapi.StateDraining
	case view.Changing:
		return adminapi.StateChanging
	case view.BackingOff:
		return adminapi.StateBackOff
	case view.Ejected:
		return adminapi.StateEjected
	default:
		return adminapi.StateReady
	}
}

// Groups implements adminapi.Backend.
func (a admin) Groups() []adminapi.GroupStatus {
	table := a.handler.Table()
	if table == nil {
		return []adminapi.GroupStatus{}
	}
	workers := a.dispatcher.Workers()
	return lo.Map(table.Configuration().Groups, func(group routing.Group, _ int) adminapi.GroupStatus {
		status := adminapi.GroupStatus{Name: group.Name, Of: group.SelectFrom, Roles: map[string]int{}}
		for _, view := range workers {
			if !slices.Contains(view.Worker.Groups(), group.Name) {
				continue
			}
			status.Workers++
			status.Running += view.Load.Running
			status.PrefillTokens += view.Load.PrefillTokens
			if view.Worker.Role != backend.RoleNone {
				status.Roles[string(view.Worker.Role)]++
			}
		}
		return status
	})
}

// Rules implements adminapi.Backend.
func (a admin) Rules() []adminapi.RuleStatus {
	table := a.handler.Table()
	if table == nil {
		return []adminapi.RuleStatus{}
	}
	selectors := lo.SliceToMap(a.Document().Rules, func(r configuration.Rule) (string, string) { return r.Name, r.RequestSelector })
	return lo.Map(table.Configuration().Rules, func(rule routing.Rule, _ int) adminapi.RuleStatus {
		return adminapi.RuleStatus{
			Name: rule.Name, Match: describeMatch(rule, selectors), Priority: rule.Priority,
			Groups:    lo.Map(rule.Shares, func(share routing.Share, _ int) string { return share.Group }),
			TimeoutMs: rule.Timeout.Milliseconds(), ObjectiveMs: rule.Objective.Milliseconds(),
		}
	})
}

// describeMatch describes the requests that a rule matches. selectors maps the names of label rules to their request
// selectors.
func describeMatch(rule routing.Rule, selectors map[string]string) string {
	switch match := rule.Match.(type) {
	case routing.PathMatch:
		return match.Host + match.PathPrefix
	default:
		return lo.CoalesceOrEmpty(selectors[rule.Name], "all other labels")
	}
}

// Gateways implements adminapi.Backend.
func (a admin) Gateways() []adminapi.PeerStatus {
	reachable := a.view.Reachable()
	entries := a.Entries()
	return lo.Map(a.view.Serving(), func(gateway member.Gateway, _ int) adminapi.PeerStatus {
		return adminapi.PeerStatus{
			Name: gateway.Name, Zone: gateway.Zone, Address: gateway.Address, AdminAddress: gateway.AdminAddress, Cores: gateway.Cores,
			Entry: isListed(entries, gateway.Name), Reachable: isListed(reachable, gateway.Name),
		}
	})
}

// Document implements adminapi.Backend.
func (a admin) Document() configuration.Document { return a.view.Document() }

// Propose implements adminapi.Backend.
func (a admin) Propose(ctx context.Context, request configuration.EditRequest) configuration.ProposalResult {
	return a.propose(ctx, request)
}

// KnownWorkers implements adminapi.Backend.
func (a admin) KnownWorkers() []configuration.WorkerInfo {
	a.workersMu.Lock()
	defer a.workersMu.Unlock()
	return lo.MapToSlice(a.workers, func(_ string, w *backend.Worker) configuration.WorkerInfo {
		return configuration.WorkerInfo{Address: w.Address, Service: w.Group, Labels: w.Labels}
	})
}

// KnownRequests implements adminapi.Backend.
func (a admin) KnownRequests() []map[string]string { return a.handler.RecentLabels() }

// Decisions implements adminapi.Backend.
func (a admin) Decisions(since uint64) []decision.Record { return a.decisions.Latest(since) }

// FollowDecisions implements adminapi.Backend.
func (a admin) FollowDecisions() (<-chan decision.Record, func()) { return a.decisions.Follow() }

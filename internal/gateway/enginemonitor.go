package gateway

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"github.com/granitebay/granitebay/internal/backend"
	"github.com/granitebay/granitebay/internal/boottime"
	"github.com/granitebay/granitebay/internal/decision"
	"github.com/granitebay/granitebay/internal/forward"
	"github.com/granitebay/granitebay/internal/httpclient"
	"github.com/granitebay/granitebay/internal/logging"
	"github.com/granitebay/granitebay/internal/roles"
)

// engineMonitor probes engines that seem to have terminated or are changing roles, without waiting for their records to
// change, and reports when a group loses its decode engines or gets them back. Probing requires no authority: any
// gateway may probe, and each engine is assigned to one of them.
type engineMonitor struct {
	gateway *Gateway
	logger  logrus.FieldLogger
	wake    chan struct{}
	// lastProbed and firstProbed hold the times of an engine's latest and first probe, by worker ID.
	lastProbed, firstProbed map[string]time.Time
	// decodeLostSince holds the groups without a decode engine and since when.
	decodeLostSince map[string]time.Time
}

// Limits on probing.
const (
	// probeTimeout bounds one probe. It is longer than a loaded engine takes to answer, and short compared with a role
	// change.
	probeTimeout = 300 * time.Millisecond
	// probeBackoffRatio is the fraction of the time since the first probe of an absent engine to wait between probes,
	// from forward.EngineQueryInterval up to maxProbeInterval. Two probes at the maximum fit into
	// enginehealth.Settings.ReportTTL.
	probeBackoffRatio = 0.25
	maxProbeInterval  = 700 * time.Millisecond
	// roleCheckInterval is how often to check for lost roles without a notification, which finds engines whose records
	// were removed.
	roleCheckInterval = time.Second
	// maxConcurrentProbes bounds concurrent probes: losing a rack in a large fleet affects hundreds of engines.
	maxConcurrentProbes = 64
)

// newEngineMonitor returns a monitor that the dispatcher wakes.
func newEngineMonitor(g *Gateway) *engineMonitor {
	m := &engineMonitor{
		gateway: g, logger: logging.Component(g.logger, "engines"), wake: make(chan struct{}, 1), lastProbed: map[string]time.Time{},
		firstProbed: map[string]time.Time{}, decodeLostSince: map[string]time.Time{},
	}
	g.dispatcher.OnEngineChange(func() {
		// The controller does not wait for the probes, as each silent engine takes probeTimeout.
		g.controller.Wake()
		select {
		case m.wake <- struct{}{}:
		default:
		}
	})
	return m
}

// run probes engines and reports role losses until ctx is done.
func (m *engineMonitor) run(ctx context.Context) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-m.wake:
		case <-timer.C:
		}
		m.reportRoleLosses(boottime.Now())
		candidates := m.gateway.dispatcher.EnginesToQuery()
		m.prune(candidates)
		m.probeAll(ctx, m.dueProbes(boottime.Now(), candidates))
		if len(candidates) > 0 || len(m.decodeLostSince) > 0 {
			timer.Reset(forward.EngineQueryInterval)
		} else {
			timer.Reset(m.idleInterval())
		}
	}
}

// idleInterval returns the time until the next check for lost roles. A standby gateway probes no engines and only
// records role losses.
func (m *engineMonitor) idleInterval() time.Duration {
	if m.gateway.isEntry() {
		return roleCheckInterval
	}
	return standbyIntervalFactor * roleCheckInterval
}

// prune removes the state of engines that are no longer candidates for probing.
func (m *engineMonitor) prune(candidates []forward.EngineQuery) {
	if len(m.firstProbed) == 0 {
		return
	}
	current := map[string]bool{}
	for _, candidate := range candidates {
		current[candidate.Worker.ID] = true
	}
	for id := range m.firstProbed {
		if !current[id] {
			delete(m.firstProbed, id)
			delete(m.lastProbed, id)
		}
	}
}

// dueProbes returns the engines to probe now: those assigned to this gateway and, on the leader, absent ones whose
// termination it has not confirmed itself.
func (m *engineMonitor) dueProbes(now time.Time, candidates []forward.EngineQuery) []forward.EngineQuery {
	if len(candidates) == 0 {
		return nil
	}
	leads := m.gateway.controller.HasAuthority()
	var due []forward.EngineQuery
	for _, candidate := range candidates {
		id := candidate.Worker.ID
		if _, known := m.firstProbed[id]; !known {
			m.firstProbed[id] = now
		}
		// The leader acts on a termination only after a refused connection of its own.
		mustConfirm := leads && candidate.Absent && !candidate.Confirmed
		if !mustConfirm && !m.gateway.ownsKey(id) {
			continue
		}
		interval := forward.EngineQueryInterval
		if candidate.Absent {
			interval = min(max(interval, time.Duration(probeBackoffRatio*float64(now.Sub(m.firstProbed[id])))), maxProbeInterval)
		}
		if now.Sub(m.lastProbed[id]) >= interval {
			m.lastProbed[id] = now
			due = append(due, candidate)
		}
	}
	return due
}

// probeAll probes engines concurrently.
func (m *engineMonitor) probeAll(ctx context.Context, candidates []forward.EngineQuery) {
	slots := make(chan struct{}, maxConcurrentProbes)
	var probes sync.WaitGroup
	for _, candidate := range candidates {
		slots <- struct{}{}
		probes.Go(func() {
			defer func() { <-slots }()
			m.probe(ctx, candidate)
		})
	}
	probes.Wait()
}

// probe queries the state of one engine. A timeout is inconclusive.
func (m *engineMonitor) probe(ctx context.Context, candidate forward.EngineQuery) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	worker := candidate.Worker
	state, err := m.gateway.dependencies.Orderer.Inspect(ctx, worker)
	if err == nil && candidate.Absent {
		err = m.verifyIdentity(ctx, worker)
	}
	var transport *httpclient.Error
	switch {
	case err == nil:
		m.gateway.dispatcher.RecordResponse(worker.ID, state.Role, state.Busy)
	case errors.Is(err, roles.ErrWorkerReplaced), errors.As(err, &transport) && transport.Refused():
		m.gateway.dispatcher.RecordRefused(worker.ID)
	default:
		m.logger.WithError(err).WithField("engine", worker.ID).Debug("Probing an engine failed.")
	}
}

// errWorkerLimitReached means that a worker was not queried because its rate limit is exhausted.
var errWorkerLimitReached = errors.New("request limit of the worker is used up")

// verifyIdentity checks that the process at an address that refused connections before is the same engine. Usually it is
// a replacement, possibly of another service, which is ignored until it has a record.
func (m *engineMonitor) verifyIdentity(ctx context.Context, worker *backend.Worker) error {
	path := m.gateway.healthPath(worker.Group)
	if path == "" || m.gateway.dependencies.Identify == nil {
		return nil
	}
	if !m.gateway.dispatcher.AllowHealthCheck(worker.ID) {
		return errWorkerLimitReached
	}
	id, err := m.gateway.dependencies.Identify(ctx, worker, path)
	if err == nil && id != worker.RecordName() {
		return roles.ErrWorkerReplaced
	}
	return err
}

// healthPath returns the path at which workers of a group report their ID, or "" if there is none.
func (g *Gateway) healthPath(group string) string {
	table := g.handler.Table()
	if table == nil {
		return ""
	}
	for i := range table.Configuration().Groups {
		if configured := &table.Configuration().Groups[i]; configured.Name == group {
			return configured.HealthPath
		}
	}
	return ""
}

// reportRoleLosses reports groups that lost or regained their decode engines, and engines that returned.
func (m *engineMonitor) reportRoleLosses(now time.Time) {
	losses := m.gateway.dispatcher.Losses()
	for group, loss := range losses {
		if _, known := m.decodeLostSince[group]; known {
			continue
		}
		m.decodeLostSince[group] = now
		m.reportRole(group, "gone", fmt.Sprintf("The group has no decode engine: %d terminated, %d prefill engines are left.", loss.LostDecoders, loss.PrefillEngines),
			map[string]string{
				"ended": fmt.Sprint(loss.LostDecoders), "changing": fmt.Sprint(loss.Changing), "readers": fmt.Sprint(loss.PrefillEngines),
				"expected_in_ms": fmt.Sprint(time.Until(loss.ExpectedAt).Milliseconds()),
			})
	}
	for group, since := range m.decodeLostSince {
		if _, lost := losses[group]; !lost {
			delete(m.decodeLostSince, group)
			m.reportRole(group, "served again", "The group has a decode engine again.",
				map[string]string{"after_ms": fmt.Sprint(now.Sub(since).Milliseconds())})
		}
	}
	for _, returned := range m.gateway.dispatcher.TakeReturned() {
		m.reportRole(returned.Worker.RoleGroup(), "back", "An engine that had terminated is registered again.", map[string]string{
			"worker": returned.Worker.ID, "address": returned.Worker.Address, "role": string(returned.Worker.Role),
			"after_ms": fmt.Sprint(returned.Away.Milliseconds()),
		})
	}
}

// reportRole logs a change in the availability of a role and records it as a decision.
func (m *engineMonitor) reportRole(group, outcome, reason string, inputs map[string]string) {
	fields := logrus.Fields{"group": group}
	for name, value := range inputs {
		fields[name] = value
	}
	level := logrus.WarnLevel
	if outcome == "back" {
		level = logrus.InfoLevel
	}
	m.logger.WithFields(fields).Log(level, "Role "+outcome+": "+reason)
	m.gateway.recordDecision(decision.Record{
		Kind: decision.KindRole, Subject: group, Outcome: outcome, Reason: reason, Inputs: inputs,
	})
}

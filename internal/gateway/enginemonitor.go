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

// engineWatch asks engines that have ended, or that change their roles, how they are, ahead of their records; and tells when a role is
// gone and when it is served again. Asking is no order: any gateway may, and each engine is asked by one of them.
type engineMonitor struct {
	gateway *Gateway
	logger  logrus.FieldLogger
	wake    chan struct{}
	// asked is when an engine was asked last, and first when it was asked first.
	lastProbed, firstProbed map[string]time.Time
	// lost are the groups without a writer, and since when.
	lostSince map[string]time.Time
}

// Bounds of the questions.
const (
	// askTimeout bounds one question: longer than a loaded engine takes to answer, and short beside a change of role.
	probeTimeout = 300 * time.Millisecond
	// askShare is the part of its absence after which an engine is asked again, from forward.AskEngineEvery up to longestAsk, which leaves
	// two questions within the time that a word counts.
	probeBackoffRatio = 0.25
	maxProbeInterval  = 700 * time.Millisecond
	// idleEngineTick is how often a gateway looks for lost roles of which it has heard nothing: those whose records went.
	idleEngineInterval = time.Second
	// enginesAskedAtOnce bounds the questions under way: a rack of a fleet of thousands is hundreds of engines.
	maxConcurrentProbes = 64
)

// newEngineWatch returns a watch that is woken by the dispatcher.
func newEngineMonitor(g *Gateway) *engineMonitor {
	m := &engineMonitor{
		gateway: g, logger: logging.Part(g.logger, "engines"), wake: make(chan struct{}, 1), lastProbed: map[string]time.Time{},
		firstProbed: map[string]time.Time{}, lostSince: map[string]time.Time{},
	}
	g.dispatcher.WatchEngines(func() {
		// Not only once all questions are answered: a silent engine takes askTimeout.
		g.controller.Wake()
		select {
		case m.wake <- struct{}{}:
		default:
		}
	})
	return m
}

// run asks and tells until the context ends.
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
		questions := m.gateway.dispatcher.Questions()
		m.prune(questions)
		m.probeAll(ctx, m.dueProbes(boottime.Now(), questions))
		if len(questions) > 0 || len(m.lostSince) > 0 {
			timer.Reset(forward.AskEngineEvery)
		} else {
			timer.Reset(m.idleInterval())
		}
	}
}

// idleTick returns when to look for lost roles next. A gateway that stands by asks no engines and only records what it finds.
func (m *engineMonitor) idleInterval() time.Duration {
	if m.gateway.isEntry() {
		return idleEngineInterval
	}
	return standbyIntervalFactor * idleEngineInterval
}

// forget drops what is kept of engines that are not asked any more.
func (m *engineMonitor) prune(questions []forward.Question) {
	if len(m.firstProbed) == 0 {
		return
	}
	current := map[string]bool{}
	for _, question := range questions {
		current[question.Worker.ID] = true
	}
	for id := range m.firstProbed {
		if !current[id] {
			delete(m.firstProbed, id)
			delete(m.lastProbed, id)
		}
	}
}

// due returns the engines that this gateway asks now: its own part of them, and as the one that gives orders those whose end it has not
// seen itself.
func (m *engineMonitor) dueProbes(now time.Time, questions []forward.Question) []forward.Question {
	if len(questions) == 0 {
		return nil
	}
	leads := m.gateway.controller.GivesOrders()
	var due []forward.Question
	for _, question := range questions {
		id := question.Worker.ID
		if _, known := m.firstProbed[id]; !known {
			m.firstProbed[id] = now
		}
		mustConfirm := leads && question.Absent && !question.Confirmed
		if !mustConfirm && !m.gateway.ownsKey(id) {
			continue
		}
		interval := forward.AskEngineEvery
		if question.Absent {
			interval = min(max(interval, time.Duration(probeBackoffRatio*float64(now.Sub(m.firstProbed[id])))), maxProbeInterval)
		}
		if now.Sub(m.lastProbed[id]) >= interval {
			m.lastProbed[id] = now
			due = append(due, question)
		}
	}
	return due
}

// ask asks engines, some at a time.
func (m *engineMonitor) probeAll(ctx context.Context, questions []forward.Question) {
	slots := make(chan struct{}, maxConcurrentProbes)
	var probes sync.WaitGroup
	for _, question := range questions {
		slots <- struct{}{}
		probes.Go(func() {
			defer func() { <-slots }()
			m.probe(ctx, question)
		})
	}
	probes.Wait()
}

// askOne asks an engine how it is. Silence says nothing.
func (m *engineMonitor) probe(ctx context.Context, question forward.Question) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	worker := question.Worker
	state, err := m.gateway.ports.Orderer.Inspect(ctx, worker)
	if err == nil && question.Absent {
		err = m.verifyIdentity(ctx, worker)
	}
	var transport *httpclient.Error
	switch {
	case err == nil:
		m.gateway.dispatcher.EngineAnswers(worker.ID, state.Role, state.Busy)
	case errors.Is(err, roles.ErrOtherWorker), errors.As(err, &transport) && transport.Refused():
		m.gateway.dispatcher.EngineRefuses(worker.ID)
	default:
		m.logger.WithError(err).WithField("engine", worker.ID).Debug("An engine did not tell how it is.")
	}
}

// errLimitUsed means that a worker was not asked, because it takes only so many requests a second.
var errWorkerLimitReached = errors.New("the worker takes no more requests of this gateway now")

// isTheSame returns nil if it is an engine itself that answers at its address, where connections were refused before: more often it is
// the next one in its place, which may be of another service, and is left alone until its record tells.
func (m *engineMonitor) verifyIdentity(ctx context.Context, worker *backend.Worker) error {
	path := m.gateway.healthPath(worker.Group)
	if path == "" || m.gateway.ports.Identify == nil {
		return nil
	}
	if !m.gateway.dispatcher.MayAsk(worker.ID) {
		return errWorkerLimitReached
	}
	id, err := m.gateway.ports.Identify(ctx, worker, path)
	if err == nil && id != worker.RecordName() {
		return roles.ErrOtherWorker
	}
	return err
}

// healthPath returns where the workers of a group tell who they are.
func (g *Gateway) healthPath(group string) string {
	table := g.handler.Table()
	if table == nil {
		return ""
	}
	for i := range table.Configuration().Groups {
		if candidate := &table.Configuration().Groups[i]; candidate.Name == group {
			return candidate.HealthPath
		}
	}
	return ""
}

// tellLosses tells of roles that are gone and served again, and of engines that are back.
func (m *engineMonitor) reportRoleLosses(now time.Time) {
	losses := m.gateway.dispatcher.Losses()
	for group, loss := range losses {
		if _, known := m.lostSince[group]; known {
			continue
		}
		m.lostSince[group] = now
		m.reportRole(group, "gone", fmt.Sprintf("No engine of the group writes answers: %d have ended, and %d readers live.", loss.Lost, loss.Readers),
			map[string]string{
				"ended": fmt.Sprint(loss.Lost), "changing": fmt.Sprint(loss.Changing), "readers": fmt.Sprint(loss.Readers),
				"expected_in_ms": fmt.Sprint(time.Until(loss.Back).Milliseconds()),
			})
	}
	for group, since := range m.lostSince {
		if _, lost := losses[group]; !lost {
			delete(m.lostSince, group)
			m.reportRole(group, "served again", "An engine of the group writes answers again.",
				map[string]string{"after_ms": fmt.Sprint(now.Sub(since).Milliseconds())})
		}
	}
	for _, returned := range m.gateway.dispatcher.Returned() {
		m.reportRole(returned.Worker.RoleGroup(), "back", "An engine that had ended is recorded again.", map[string]string{
			"worker": returned.Worker.ID, "address": returned.Worker.Address, "role": string(returned.Worker.Role),
			"after_ms": fmt.Sprint(returned.Away.Milliseconds()),
		})
	}
}

// note logs and records one step of the loss of a role.
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

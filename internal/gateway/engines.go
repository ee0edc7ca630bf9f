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
type engineWatch struct {
	gateway *Gateway
	logger  logrus.FieldLogger
	wake    chan struct{}
	// asked is when an engine was asked last, and first when it was asked first.
	asked, first map[string]time.Time
	// lost are the groups without a writer, and since when.
	lost map[string]time.Time
}

// Bounds of the questions.
const (
	// askTimeout bounds one question: longer than a loaded engine takes to answer, and short beside a change of role.
	askTimeout = 300 * time.Millisecond
	// askShare is the part of its absence after which an engine is asked again, from forward.AskEngineEvery up to longestAsk, which leaves
	// two questions within the time that a word counts.
	askShare   = 0.25
	longestAsk = 700 * time.Millisecond
	// idleEngineTick is how often a gateway looks for lost roles of which it has heard nothing: those whose records went.
	idleEngineTick = time.Second
	// enginesAskedAtOnce bounds the questions under way: a rack of a fleet of thousands is hundreds of engines.
	enginesAskedAtOnce = 64
)

// newEngineWatch returns a watch that is woken by the dispatcher.
func newEngineWatch(g *Gateway) *engineWatch {
	w := &engineWatch{
		gateway: g, logger: logging.Part(g.logger, "engines"), wake: make(chan struct{}, 1), asked: map[string]time.Time{},
		first: map[string]time.Time{}, lost: map[string]time.Time{},
	}
	g.dispatcher.WatchEngines(func() {
		// Not only once all questions are answered: a silent engine takes askTimeout.
		g.controller.Wake()
		select {
		case w.wake <- struct{}{}:
		default:
		}
	})
	return w
}

// run asks and tells until the context ends.
func (w *engineWatch) run(ctx context.Context) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-w.wake:
		case <-timer.C:
		}
		w.tellLosses(boottime.Now())
		questions := w.gateway.dispatcher.Questions()
		w.forget(questions)
		w.ask(ctx, w.due(boottime.Now(), questions))
		if len(questions) > 0 || len(w.lost) > 0 {
			timer.Reset(forward.AskEngineEvery)
		} else {
			timer.Reset(w.idleTick())
		}
	}
}

// idleTick returns when to look for lost roles next. A gateway that stands by asks no engines and only records what it finds.
func (w *engineWatch) idleTick() time.Duration {
	if w.gateway.takesRequests() {
		return idleEngineTick
	}
	return calmTicks * idleEngineTick
}

// forget drops what is kept of engines that are not asked any more.
func (w *engineWatch) forget(questions []forward.Question) {
	if len(w.first) == 0 {
		return
	}
	current := map[string]bool{}
	for _, question := range questions {
		current[question.Worker.ID] = true
	}
	for id := range w.first {
		if !current[id] {
			delete(w.first, id)
			delete(w.asked, id)
		}
	}
}

// due returns the engines that this gateway asks now: its own part of them, and as the one that gives orders those whose end it has not
// seen itself.
func (w *engineWatch) due(now time.Time, questions []forward.Question) []forward.Question {
	if len(questions) == 0 {
		return nil
	}
	holds := w.gateway.controller.GivesOrders()
	var due []forward.Question
	for _, question := range questions {
		id := question.Worker.ID
		if _, known := w.first[id]; !known {
			w.first[id] = now
		}
		confirms := holds && question.Absent && !question.Confirmed
		if !confirms && !w.gateway.isChosen(id) {
			continue
		}
		every := forward.AskEngineEvery
		if question.Absent {
			every = min(max(every, time.Duration(askShare*float64(now.Sub(w.first[id])))), longestAsk)
		}
		if now.Sub(w.asked[id]) >= every {
			w.asked[id] = now
			due = append(due, question)
		}
	}
	return due
}

// ask asks engines, some at a time.
func (w *engineWatch) ask(ctx context.Context, questions []forward.Question) {
	free := make(chan struct{}, enginesAskedAtOnce)
	var asking sync.WaitGroup
	for _, question := range questions {
		free <- struct{}{}
		asking.Go(func() {
			defer func() { <-free }()
			w.askOne(ctx, question)
		})
	}
	asking.Wait()
}

// askOne asks an engine how it is. Silence says nothing.
func (w *engineWatch) askOne(ctx context.Context, question forward.Question) {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	worker := question.Worker
	state, err := w.gateway.ports.Orderer.Inspect(ctx, worker)
	if err == nil && question.Absent {
		err = w.isTheSame(ctx, worker)
	}
	var transport *httpclient.Error
	switch {
	case err == nil:
		w.gateway.dispatcher.EngineAnswers(worker.ID, state.Role, state.Busy)
	case errors.Is(err, roles.ErrOtherWorker), errors.As(err, &transport) && transport.Refused():
		w.gateway.dispatcher.EngineRefuses(worker.ID)
	default:
		w.logger.WithError(err).WithField("engine", worker.ID).Debug("An engine did not tell how it is.")
	}
}

// errLimitUsed means that a worker was not asked, because it takes only so many requests a second.
var errLimitUsed = errors.New("the worker takes no more requests of this gateway now")

// isTheSame returns nil if it is an engine itself that answers at its address, where connections were refused before: more often it is
// the next one in its place, which may be of another service, and is left alone until its record tells.
func (w *engineWatch) isTheSame(ctx context.Context, worker *backend.Worker) error {
	path := w.gateway.healthPath(worker.Group)
	if path == "" || w.gateway.ports.Identify == nil {
		return nil
	}
	if !w.gateway.dispatcher.MayAsk(worker.ID) {
		return errLimitUsed
	}
	id, err := w.gateway.ports.Identify(ctx, worker, path)
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
		if each := &table.Configuration().Groups[i]; each.Name == group {
			return each.HealthPath
		}
	}
	return ""
}

// tellLosses tells of roles that are gone and served again, and of engines that are back.
func (w *engineWatch) tellLosses(now time.Time) {
	losses := w.gateway.dispatcher.Losses()
	for group, loss := range losses {
		if _, known := w.lost[group]; known {
			continue
		}
		w.lost[group] = now
		w.note(group, "gone", fmt.Sprintf("No engine of the group writes answers: %d have ended, and %d readers live.", loss.Lost, loss.Readers),
			map[string]string{
				"ended": fmt.Sprint(loss.Lost), "changing": fmt.Sprint(loss.Changing), "readers": fmt.Sprint(loss.Readers),
				"expected_in_ms": fmt.Sprint(time.Until(loss.Back).Milliseconds()),
			})
	}
	for group, since := range w.lost {
		if _, lost := losses[group]; !lost {
			delete(w.lost, group)
			w.note(group, "served again", "An engine of the group writes answers again.",
				map[string]string{"after_ms": fmt.Sprint(now.Sub(since).Milliseconds())})
		}
	}
	for _, back := range w.gateway.dispatcher.Returned() {
		w.note(back.Worker.RoleGroup(), "back", "An engine that had ended is recorded again.", map[string]string{
			"worker": back.Worker.ID, "address": back.Worker.Address, "role": string(back.Worker.Role),
			"after_ms": fmt.Sprint(back.Away.Milliseconds()),
		})
	}
}

// note logs and records one step of the loss of a role.
func (w *engineWatch) note(group, outcome, reason string, inputs map[string]string) {
	fields := logrus.Fields{"group": group}
	for name, value := range inputs {
		fields[name] = value
	}
	level := logrus.WarnLevel
	if outcome == "back" {
		level = logrus.InfoLevel
	}
	w.logger.WithFields(fields).Log(level, "Role "+outcome+": "+reason)
	w.gateway.decide(decision.Record{
		Kind: decision.KindRole, Subject: group, Outcome: outcome, Reason: reason, Inputs: inputs,
	})
}

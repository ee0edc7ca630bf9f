package fleet

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/samber/lo"

	"github.com/granitebay/granitebay/internal/decision"
	"github.com/granitebay/granitebay/internal/deployment"
)

const (
	// outcomeReady is the outcome of the decision by which a router finds an engine ready.
	outcomeReady = "ready"
	// probeInterval is the pause between two requests to an agent that does not answer yet.
	probeInterval = 100 * time.Millisecond
	// probePath is where agents take a probe, and probeTokens the tokens that it asks for.
	probePath   = "/v1/completions"
	probeTokens = 4
	// probeAnswerBytes bounds what is read of the answer.
	probeAnswerBytes = 1 << 12
)

// readiness waits for all engines to be found ready once.
type readiness struct {
	mutex   sync.Mutex
	waiting map[string]bool
	done    chan struct{}
}

func newReadiness(engines []deployment.Machine) *readiness {
	return &readiness{
		waiting: lo.SliceToMap(engines, func(engine deployment.Machine) (string, bool) { return engine.Name, true }),
		done:    make(chan struct{}),
	}
}

// note takes a decision of a router.
func (r *readiness) note(record decision.Record) {
	if record.Kind != decision.KindEngine || record.Outcome != outcomeReady {
		return
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if !r.waiting[record.Subject] {
		return
	}
	delete(r.waiting, record.Subject)
	if len(r.waiting) == 0 {
		close(r.done)
	}
}

// missing lists the engines that are not ready yet.
func (r *readiness) missing() []string {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return lo.Keys(r.waiting)
}

// noteDecision takes each decision of the routers.
func (f *Fleet) noteDecision(record decision.Record) {
	f.ready.note(record)
	if f.options.OnDecision != nil {
		f.options.OnDecision(record)
	}
}

// awaitReady waits until all engines serve and each agent gives an answer.
func (f *Fleet) awaitReady(ctx context.Context) error {
	select {
	case <-f.ready.done:
	case <-ctx.Done():
		return errors.Wrapf(ctx.Err(), "step await engines: not ready are %v", f.ready.missing())
	}
	client := &http.Client{Transport: &http.Transport{}}
	defer client.CloseIdleConnections()
	for _, agent := range f.Agents() {
		if err := f.awaitAnswer(ctx, client, agent); err != nil {
			return err
		}
	}
	return nil
}

// awaitAnswer asks an agent until it answers.
func (f *Fleet) awaitAnswer(ctx context.Context, client *http.Client, agent Process) error {
	for {
		err := f.probe(ctx, client, agent)
		if err == nil {
			return nil
		}
		f.options.Logger.WithError(err).WithField("agent", agent.Name).Debug(logPrefix + "Not ready yet.")
		select {
		case <-time.After(probeInterval):
		case <-ctx.Done():
			return errors.Wrapf(err, "step await an answer: agent %s", agent.Name)
		}
	}
}

// probe sends one small request to an agent. It is repeatable and carries no labels.
func (f *Fleet) probe(ctx context.Context, client *http.Client, agent Process) error {
	body, err := json.Marshal(map[string]any{
		"model": f.options.Deployment.Model, "prompt": "Are you ready?", "max_tokens": probeTokens,
	})
	if err != nil {
		return errors.Wrap(err, "encode the probe")
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+agent.Address+probePath, bytes.NewReader(body))
	if err != nil {
		return errors.Wrap(err, "make the probe")
	}
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set("X-Granitebay-Tenant", operatorProcess)
	response, err := client.Do(request)
	if err != nil {
		return errors.Wrap(err, "send the probe")
	}
	defer func() { _ = response.Body.Close() }()
	answer, err := io.ReadAll(io.LimitReader(response.Body, probeAnswerBytes))
	if err == nil && response.StatusCode != http.StatusOK {
		err = errors.Newf("the probe got status %d: %s", response.StatusCode, answer)
	}
	return err
}

package enginemodel

import (
	"fmt"
	"slices"
	"time"

	"github.com/granitebay/granitebay/internal/engine"
)

// Handle takes a command from a client. The client gets the answer, and the stream of a run until another client asks
// for that run.
func (m *Model) Handle(now time.Time, client string, command engine.Command) {
	m.advance(now)
	if m.crashed {
		return
	}
	switch c := command.(type) {
	case engine.Submit:
		m.handleSubmit(now, client, c)
	case engine.Attach:
		m.handleAttach(client, c)
	case engine.Cancel:
		m.handleCancel(now, client, c)
	case engine.Order:
		m.handleOrder(now, client, c)
	case engine.Probe:
		m.send(client, m.Status(now))
	case engine.WatchCache:
		m.cacheLog.watch(client)
	case engine.ExportKV:
		m.handleExport(client, c)
	case engine.ImportKV:
		m.handleImport(now, client, c)
	default:
		panic(fmt.Sprintf("engine model: unknown command %T", command))
	}
}

// Disconnect lets go of a client. Its runs go on.
func (m *Model) Disconnect(now time.Time, client string) {
	m.advance(now)
	for _, r := range m.runs {
		if r.client == client {
			r.client = ""
		}
	}
	m.cacheLog.unwatch(client)
}

func (m *Model) handleSubmit(now time.Time, client string, submit engine.Submit) {
	completePrompt(&submit)
	known := m.runs[submit.RequestID]
	if refusal := m.checkSubmit(known, submit); refusal != "" {
		m.refuse(client, submit.RequestID, refusal)
		return
	}
	if known != nil {
		m.attach(known, client, submit.StreamOffset)
		return
	}
	r := &run{
		submit:     submit,
		state:      runWaiting,
		reserved:   int(submit.PromptTokens) + int(submit.MaxTokens),
		produced:   min(submit.ContinueFrom, submit.MaxTokens),
		client:     client,
		nextOffset: min(submit.StreamOffset, submit.MaxTokens),
	}
	m.runs[submit.RequestID] = r
	m.waiting.push(r)
	m.stream(r)
	m.fillBatch(now)
}

// fillBatch lets waiting runs in: at once if the engine is idle, otherwise at the end of the present step.
func (m *Model) fillBatch(now time.Time) {
	head := m.waiting.head()
	if head == nil || !m.fits(head) {
		return
	}
	if m.batch.segment.planned > 0 {
		m.batch.interrupt(now)
		return
	}
	m.settle(now)
}

// completePrompt fills in what follows from the text of a prompt.
func completePrompt(submit *engine.Submit) {
	if submit.Prompt == "" {
		return
	}
	submit.PromptDigest = engine.PromptDigest(submit.Model, submit.Adapter, submit.Prompt)
	submit.PromptTokens = engine.CountTokens(submit.Prompt)
	submit.PrefixBlocks = engine.PrefixBlocks(submit.Model, submit.Prompt)
	submit.Prompt = ""
}

// checkSubmit returns why a submit is refused. A run that is known is joined whatever the generation.
func (m *Model) checkSubmit(known *run, submit engine.Submit) engine.Refusal {
	switch {
	case submit.ExpectedIncarnation != m.settings.Incarnation:
		return engine.RefusalIncarnation
	case known != nil && known.state == runCancelled:
		return engine.RefusalCancelled
	case known != nil:
		return ""
	case !m.change.none():
		return engine.RefusalChanging
	case submit.ExpectedGeneration != m.fence.Generation:
		return engine.RefusalGeneration
	case !m.loaded(submit.Model, submit.Adapter):
		return engine.RefusalModel
	case int(submit.PromptTokens)+int(submit.MaxTokens) > m.settings.MemoryTokens:
		return engine.RefusalTooLong
	case !m.hasRoom():
		return engine.RefusalFull
	}
	return ""
}

func (m *Model) loaded(model, adapter string) bool {
	if m.configuration.Role == engine.RoleNone || model != m.configuration.Model {
		return false
	}
	return adapter == "" || slices.Contains(m.configuration.Adapters, adapter)
}

// hasRoom tells whether one more run can enter the batch or the queue.
func (m *Model) hasRoom() bool {
	free := m.settings.Profile(m.configuration.Role).Slots - m.batch.size()
	return m.waiting.len() < m.settings.MaxWaiting+free
}

func (m *Model) handleAttach(client string, attach engine.Attach) {
	known := m.runs[attach.RequestID]
	switch {
	case attach.ExpectedIncarnation != m.settings.Incarnation:
		m.refuse(client, attach.RequestID, engine.RefusalIncarnation)
	case known == nil:
		m.refuse(client, attach.RequestID, engine.RefusalUnknownRun)
	case known.state == runCancelled:
		m.refuse(client, attach.RequestID, engine.RefusalCancelled)
	default:
		m.attach(known, client, attach.StreamOffset)
	}
}

// handleCancel stops a run if there is one, and leaves a tombstone in any case.
func (m *Model) handleCancel(now time.Time, client string, cancel engine.Cancel) {
	r := m.runs[cancel.RequestID]
	if r == nil {
		r = &run{submit: engine.Submit{RequestID: cancel.RequestID}}
		m.runs[cancel.RequestID] = r
	}
	streaming := r.client
	m.stop(now, r)
	m.tombstones.add(r, now.Add(m.settings.TombstoneRetention))
	event := engine.Cancelled{
		Engine:      m.settings.Name,
		Incarnation: m.settings.Incarnation,
		RequestID:   cancel.RequestID,
		Started:     r.started,
	}
	m.send(client, event)
	if streaming != client {
		m.send(streaming, event)
	}
}

// stop ends a run wherever it is and makes it a tombstone.
func (m *Model) stop(now time.Time, r *run) {
	state := r.state
	if state == runPrefilling || state == runDecoding {
		m.batch.interrupt(now)
		m.batch.remove(r)
		m.resizeCache()
		m.observer.RunCut(now, m.record(r), CutCancel)
	}
	m.waiting.remove(r)
	r.state = runCancelled
	r.client = ""
	r.submit.PriorTokens, r.submit.PrefixBlocks = nil, nil
	m.fillBatch(now)
}

func (m *Model) refuse(client, requestID string, refusal engine.Refusal) {
	m.send(client, engine.Refused{
		Engine:      m.settings.Name,
		Incarnation: m.settings.Incarnation,
		Generation:  m.fence.Generation,
		RequestID:   requestID,
		Refusal:     refusal,
	})
}

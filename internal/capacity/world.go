package capacity

import (
	"container/heap"
	"math/rand/v2"
	"time"

	granitebayv1 "github.com/granitebay/granitebay/gen/granitebay/v1"
	"github.com/granitebay/granitebay/internal/core"
	"github.com/granitebay/granitebay/internal/platform"
	"github.com/granitebay/granitebay/internal/standin/platformmodel"
)

// Delays of the hollow network.
const (
	peerDelay     = 5 * time.Millisecond
	engineDelay   = 2 * time.Millisecond
	platformDelay = 2 * time.Millisecond
	// shortestSleep is the least time between two ticks of one host.
	shortestSleep = time.Millisecond
)

// host is one router, real or hollow.
type host struct {
	peer *granitebayv1.Peer
	node core.Node
	// meter is nil for hollow routers.
	meter *meter
	// role names why a real router was chosen.
	role    string
	wakeAt  time.Time
	effects core.Effects
	// revision of the configuration in force tells the revision that the node has.
	revision func() uint64
	seen     uint64
	// lost hosts no longer run.
	lost bool
}

// world runs all hosts on virtual time.
type world struct {
	now      time.Time
	queue    eventQueue
	sequence uint64
	random   *rand.Rand

	deployment *deployment
	model      *platformmodel.Model
	modelWake  time.Time
	hosts      map[string]*host
	order      []*host
	engines    map[string]*hollowEngine
	edits      *editLog
}

// event is something that happens at a time.
type event struct {
	at       time.Time
	sequence uint64
	run      func()
}

// eventQueue is a heap by time and sequence.
type eventQueue []*event

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	return q[i].at.Before(q[j].at) || q[i].at.Equal(q[j].at) && q[i].sequence < q[j].sequence
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push implements heap.Interface.
func (q *eventQueue) Push(added any) { *q = append(*q, added.(*event)) }

// Pop implements heap.Interface.
func (q *eventQueue) Pop() any {
	last := (*q)[len(*q)-1]
	(*q)[len(*q)-1] = nil
	*q = (*q)[:len(*q)-1]
	return last
}

// schedule runs something at a time.
func (w *world) schedule(at time.Time, run func()) {
	w.sequence++
	heap.Push(&w.queue, &event{at: at, sequence: w.sequence, run: run})
}

// runUntil runs all that happens until a time.
func (w *world) runUntil(end time.Time) {
	for len(w.queue) > 0 && !w.queue[0].at.After(end) {
		next := heap.Pop(&w.queue).(*event)
		w.now = next.at
		next.run()
	}
	w.now = end
}

// step runs one input of a host and carries out what it asks for.
func (w *world) step(h *host, input func(effects *core.Effects)) {
	if h.lost {
		return
	}
	h.effects.Reset()
	if h.meter != nil {
		h.meter.time(func() { input(&h.effects) })
	} else {
		input(&h.effects)
	}
	w.carryOut(h)
	if revision := h.revision(); revision != h.seen {
		w.edits.noteInForce(w.now, h.seen, revision)
		h.seen = revision
	}
	w.armWake(h)
}

// armWake schedules the next tick of a host.
func (w *world) armWake(h *host) {
	wake := h.node.NextWake()
	if wake.IsZero() {
		return
	}
	if soonest := w.now.Add(shortestSleep); wake.Before(soonest) {
		wake = soonest
	}
	if !h.wakeAt.IsZero() && !wake.Before(h.wakeAt) {
		return
	}
	h.wakeAt = wake
	w.schedule(wake, func() { w.tick(h, wake) })
}

// tick runs the tick of a host unless it was replaced by an earlier one.
func (w *world) tick(h *host, wake time.Time) {
	if !h.wakeAt.Equal(wake) || h.lost {
		return
	}
	h.wakeAt = time.Time{}
	w.step(h, func(effects *core.Effects) { h.node.Tick(w.now, effects) })
}

// carryOut hands on the effects of a step. A router keeps its own memory of them.
func (w *world) carryOut(h *host) {
	for _, message := range h.effects.Messages {
		w.send(h, message)
	}
	for _, request := range h.effects.Platform {
		if h.meter != nil {
			h.meter.countRequest(request.ID, request.Request)
		}
		w.askPlatform(h.peer.GetName(), request.ID, request.Request)
	}
	for _, command := range h.effects.Engine {
		w.command(h, command)
	}
}

// send delivers a message after a while. Messages to routers that are not part of the world are lost.
func (w *world) send(from *host, message core.Message) {
	to := w.hosts[message.To]
	envelope := &granitebayv1.Envelope{From: from.peer, To: message.To, Body: message.Envelope.GetBody()}
	if from.meter != nil {
		from.meter.countSent(envelope)
	}
	if to == nil {
		return
	}
	w.schedule(w.now.Add(peerDelay), func() {
		received := envelope
		if to.meter != nil {
			received = to.meter.receive(envelope)
		}
		w.step(to, func(effects *core.Effects) { to.node.HandleEnvelope(w.now, received, effects) })
	})
}

// askPlatform hands a request to the platform and delivers what it answers.
func (w *world) askPlatform(client string, id platform.RequestID, request platform.Request) {
	w.model.Handle(w.now, client, id, request)
	w.drainPlatform()
}

// drainPlatform delivers what the platform has for its clients.
func (w *world) drainPlatform() {
	for _, delivery := range w.model.TakeDeliveries() {
		if to := w.hosts[delivery.Client]; to != nil {
			w.schedule(w.now.Add(platformDelay), func() { w.deliverPlatform(to, delivery) })
		}
	}
	wake := w.model.NextWake()
	if wake.IsZero() || !w.modelWake.IsZero() && !wake.Before(w.modelWake) {
		return
	}
	w.modelWake = wake
	w.schedule(wake, func() {
		w.modelWake = time.Time{}
		w.model.Tick(w.now)
		w.drainPlatform()
	})
}

// deliverPlatform hands an answer or a change to a router.
func (w *world) deliverPlatform(to *host, delivery platformmodel.Delivery) {
	if response := delivery.Response; response != nil {
		if to.meter != nil {
			response = to.meter.receiveResponse(response)
		}
		w.step(to, func(effects *core.Effects) { to.node.HandlePlatformResponse(w.now, *response, effects) })
		return
	}
	watched := delivery.Watch
	if to.meter != nil {
		watched = receiveJSON(to.meter, "platform watches", watched)
	}
	w.step(to, func(effects *core.Effects) { to.node.HandlePlatformWatch(w.now, *watched, effects) })
}

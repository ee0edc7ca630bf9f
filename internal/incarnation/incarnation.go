// Package incarnation tells which incarnation of a worker is behind a connection, where workers may be started again under their ids, so that
// the id in a request does not tell.
//
// A connection belongs to one incarnation, and the incarnations at an address follow each other. So an incarnation that answers a question which
// was sent after a connection had been opened has not ended before, and the connection is its own. One question tells this of all connections
// that were open, also of those that stay open and are used again.
package incarnation

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/granitebay/granitebay/internal/backend"
)

// Answer is what a worker says about itself.
type Answer struct {
	// ID is that of the incarnation that answers.
	ID string
	// SentAt is when the question was sent, on an open connection.
	SentAt time.Time
}

// AskFunc asks a worker which incarnation it is.
type AskFunc func(ctx context.Context, worker *backend.Worker) (Answer, error)

const (
	// gatherTime is the time from the first connection that needs a question until the question, so that one serves connections that are opened
	// together. It is short compared with the time to the first event of a stream.
	gatherTime = 2 * time.Millisecond
	// askTimeout bounds one question.
	askTimeout = 250 * time.Millisecond
	// askAttempts is the number of times that a question without an answer is sent.
	askAttempts = 3
	// stateTTL is how long a worker is remembered after its last use.
	stateTTL = 10 * time.Minute
)

// ErrUnknown is returned if an incarnation other than the one of the record answered, and the connection may belong to either.
var ErrUnknown = errors.New("the worker was started again, before or after it took the request")

// Tracker asks workers. It is safe for concurrent use.
type Tracker struct {
	ask AskFunc

	mu        sync.Mutex
	states    map[string]*state
	nextSweep time.Time
}

// state is what is known about the worker of a record.
//
// Invariant: the incarnation had started before since, and had not ended at confirmedAt.
type state struct {
	// id is the incarnation that answered last, at first that of the record. since is when another one than that of the record was first known to
	// answer, and zero for that of the record.
	id          string
	since       time.Time
	confirmedAt time.Time
	usedAt      time.Time
	// question is the one that has not been sent yet, or nil.
	question *question
}

// question is a question to a worker that connections wait for.
type question struct {
	// done is closed once there is an answer or an error. The tracker's mutex guards the answer.
	done   chan struct{}
	answer Answer
	err    error
}

// NewTracker returns a tracker that asks workers by a function.
func NewTracker(ask AskFunc) *Tracker { return &Tracker{ask: ask, states: map[string]*state{}} }

// Connection is a connection to a worker that carries a request.
type Connection struct {
	tracker  *Tracker
	worker   *backend.Worker
	openedAt time.Time
	sentAt   time.Time
	// id is the incarnation that the connection belongs to; empty while it is not known. question is the one that tells; nil if none is needed.
	id       string
	question *question
}

// Use returns the connection of a request to a worker that is sent now, and asks the worker if it is not known which incarnation the connection
// belongs to. It does not wait for the answer.
func (t *Tracker) Use(worker *backend.Worker, openedAt time.Time) *Connection {
	now := time.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	c := &Connection{tracker: t, worker: worker, openedAt: openedAt, sentAt: now}
	s := t.stateOf(now, worker)
	if id, known := s.identify(c); known {
		c.id = id
		return c
	}
	if s.question == nil {
		s.question = &question{done: make(chan struct{})}
		go t.run(worker, s.question)
	}
	c.question = s.question
	return c
}

// stateOf returns the state of a worker. The mutex is held.
func (t *Tracker) stateOf(now time.Time, worker *backend.Worker) *state {
	if now.After(t.nextSweep) {
		t.nextSweep = now.Add(stateTTL)
		for id, s := range t.states {
			if now.Sub(s.usedAt) > stateTTL && s.question == nil {
				delete(t.states, id)
			}
		}
	}
	s := t.states[worker.ID]
	if s == nil {
		s = &state{id: worker.ID}
		t.states[worker.ID] = s
	}
	s.usedAt = now
	return s
}

// identify returns the incarnation that a connection belongs to, or false if that is not known.
func (s *state) identify(c *Connection) (string, bool) {
	return s.id, !s.confirmedAt.Before(c.openedAt) && !c.sentAt.Before(s.since)
}

// run asks a worker, and again if there is no answer.
func (t *Tracker) run(worker *backend.Worker, q *question) {
	time.Sleep(gatherTime)
	t.mu.Lock()
	if s := t.stateOf(time.Now(), worker); s.question == q {
		// Connections that are opened from now on need another question.
		s.question = nil
	}
	t.mu.Unlock()
	for range askAttempts {
		var answer Answer
		ctx, cancel := context.WithTimeout(context.Background(), askTimeout)
		answer, q.err = t.ask(ctx, worker)
		cancel()
		if q.err == nil {
			t.Answered(worker, answer)
			t.mu.Lock()
			q.answer = answer
			t.mu.Unlock()
			break
		}
	}
	close(q.done)
}

// Answered records what a worker said about itself, also where it was asked for another reason.
func (t *Tracker) Answered(worker *backend.Worker, answer Answer) {
	now := time.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	t.stateOf(now, worker).answered(now, answer)
}

// answered records an answer that has arrived.
func (s *state) answered(now time.Time, answer Answer) {
	if !answer.SentAt.After(s.confirmedAt) {
		return
	}
	s.confirmedAt = answer.SentAt
	if answer.ID != s.id {
		s.id, s.since = answer.ID, now
	}
}

// Identify returns the id of the incarnation that the connection belongs to. It waits for the answer of the worker if needed, at most until ctx
// ends. The error says why the incarnation is not known.
func (c *Connection) Identify(ctx context.Context) (string, error) {
	if id, known := c.identify(); known {
		return id, nil
	}
	select {
	case <-c.question.done:
	case <-ctx.Done():
		return "", errors.Wrapf(context.Cause(ctx), "identify, peer %s", c.worker.Address)
	}
	if id, known := c.identify(); known {
		return id, nil
	}
	if c.question.err != nil {
		return "", c.question.err
	}
	return "", ErrUnknown
}

// identify returns the incarnation that the connection belongs to, or false if that is not known yet. What was known once stays.
func (c *Connection) identify() (string, bool) {
	c.tracker.mu.Lock()
	defer c.tracker.mu.Unlock()
	if c.id == "" {
		if id, known := c.tracker.stateOf(time.Now(), c.worker).identify(c); known {
			c.id = id
		} else if c.question.answer.ID == c.worker.ID {
			// Another incarnation has answered since.
			c.id = c.worker.ID
		}
	}
	return c.id, c.id != ""
}

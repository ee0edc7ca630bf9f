package engineserver

import (
	"context"
	"sync"
	"time"

	"github.com/granitebay/granitebay/internal/engine"
)

// endCause is why a mailbox gets no more events.
type endCause int

const (
	endNone       endCause = iota
	endSuperseded          // another client took the stream over
	endCrashed             // the engine process ended
)

// mailbox holds the events for one HTTP request until its handler writes them.
type mailbox struct {
	client   string
	streamOf string
	// incarnation of the engine that got the command.
	incarnation uint64
	// wake has room for one signal, so that a push never blocks.
	wake chan struct{}

	mutex  sync.Mutex
	events []engine.Event
	ended  endCause
}

func newMailbox(client, streamOf string) *mailbox {
	return &mailbox{client: client, streamOf: streamOf, wake: make(chan struct{}, 1)}
}

func (b *mailbox) push(event engine.Event) {
	b.mutex.Lock()
	b.events = append(b.events, event)
	b.mutex.Unlock()
	b.signal()
}

func (b *mailbox) end(cause endCause) {
	b.mutex.Lock()
	b.ended = cause
	b.mutex.Unlock()
	b.signal()
}

func (b *mailbox) signal() {
	select {
	case b.wake <- struct{}{}:
	default:
	}
}

// take returns the events so far, appended to a buffer.
func (b *mailbox) take(buffer []engine.Event) ([]engine.Event, endCause) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	buffer = append(buffer, b.events...)
	clear(b.events)
	b.events = b.events[:0]
	return buffer, b.ended
}

// refused tells whether the first event says that the command was refused.
func (b *mailbox) refused() bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if len(b.events) == 0 {
		return false
	}
	_, refused := b.events[0].(engine.Refused)
	return refused
}

// next waits for events, the end of the mailbox, the end of the allowed silence, or the end of the context.
func (b *mailbox) next(ctx context.Context, buffer []engine.Event, silence <-chan time.Time) ([]engine.Event, endCause, error) {
	if events, ended := b.take(buffer); len(events) > 0 || ended != endNone {
		return events, ended, nil
	}
	select {
	case <-b.wake:
	case <-silence:
	case <-ctx.Done():
		return nil, endNone, ctx.Err()
	}
	events, ended := b.take(buffer)
	return events, ended, nil
}

// only waits for the one event that answers a command.
func (b *mailbox) only(ctx context.Context) (engine.Event, endCause, error) {
	for {
		events, ended := b.take(nil)
		if len(events) > 0 {
			return events[0], ended, nil
		}
		if ended != endNone {
			return nil, ended, nil
		}
		select {
		case <-b.wake:
		case <-ctx.Done():
			return nil, endNone, ctx.Err()
		}
	}
}

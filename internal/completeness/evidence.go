// Package completeness decides whether the response of a worker is whole. A response may have neither a length nor chunks and end with its
// connection, and a crash of the worker ends a connection in the same way. So such a response is whole only if the worker is seen alive afterwards.
package completeness

import (
	"io"

	"github.com/cockroachdb/errors"
)

// Framing is how the end of a response is marked.
type Framing int

// The framings.
const (
	// FramingMarked responses mark their own end, by a length, chunks, or content that can't end early, such as a JSON object.
	FramingMarked Framing = iota
	// FramingConnection responses end with their connection.
	FramingConnection
)

// FramingOf returns the framing of a response that does or does not end with its connection.
func FramingOf(endsWithConnection bool) Framing {
	if endsWithConnection {
		return FramingConnection
	}
	return FramingMarked
}

// End is how the bytes of a response ended.
type End int

// The ends.
const (
	// EndOrdinary is the marked end, or the ordinary close of the connection.
	EndOrdinary End = iota
	// EndBroken is a reset, or an end before the marked one.
	EndBroken
)

// Worker is what was seen of a worker after the end of its response.
type Worker int

// What was seen of a worker.
const (
	// WorkerUnseen has not answered, or was not asked.
	WorkerUnseen Worker = iota
	// WorkerAlive answers, or keeps a connection open.
	WorkerAlive
	// WorkerCloses accepts connections and closes them at once: it is exiting or full, or something else listens at its address.
	WorkerCloses
	// WorkerRefuses refuses connections, also those of other gateways if there are any.
	WorkerRefuses
	// WorkerRefusesHere refuses this gateway, and no other one could tell: the whole service has ended, or this gateway is cut off.
	WorkerRefusesHere
	// WorkerReplaced means that another process answers at its address.
	WorkerReplaced
)

// Evidence is what is known of the end of a response.
type Evidence struct {
	Framing Framing
	End     End
	Worker  Worker
	// RecordRemoved is set if the record of the worker was removed after the response had ended. Another process may use its address then.
	RecordRemoved bool
}

// Result tells whether a response is whole.
type Result int

// The results. A response of which it is unknown counts as whole nowhere.
const (
	Unknown Result = iota
	Whole
	Cut
)

// Judge returns what the evidence says of the response.
func (e Evidence) Judge() Result {
	switch {
	case e.End == EndBroken:
		return Cut
	case e.Framing == FramingMarked:
		return Whole
	case e.RecordRemoved, e.Worker == WorkerRefuses, e.Worker == WorkerReplaced:
		return Cut
	case e.Worker == WorkerAlive:
		return Whole
	default:
		return Unknown
	}
}

// AwaitsMore reports whether a further look at the worker may decide. A refusal is an answer, even if nobody confirms it.
func (e Evidence) AwaitsMore() bool {
	return e.Judge() == Unknown && e.Worker != WorkerRefusesHere
}

// Errors of responses that are not whole.
var (
	errCut     = errors.Wrap(io.ErrUnexpectedEOF, "the worker ended within its response")
	errUnknown = errors.New("the response ended with its connection, and the worker was not seen alive after that")
)

// Err returns why the response can't be used, or nil if it is whole.
func (r Result) Err() error {
	switch r {
	case Whole:
		return nil
	case Cut:
		return errCut
	default:
		return errUnknown
	}
}

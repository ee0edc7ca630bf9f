package completeness

import (
	"context"
	"errors"
	"io"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"
)

// TestJudge guards against cut responses that count as whole, and against whole ones of workers that live on which don't.
func TestJudge(t *testing.T) {
	for _, c := range []struct {
		name     string
		evidence Evidence
		want     Result
		more     bool
	}{
		{"marked end", Evidence{}, Whole, false},
		{"marked end, then the worker crashes", Evidence{Worker: WorkerRefuses, RecordRemoved: true}, Whole, false},
		{"reset before the marked end", Evidence{End: EndBroken}, Cut, false},
		{"reset connection of a worker that lives on", Evidence{Framing: FramingConnection, End: EndBroken, Worker: WorkerAlive}, Cut, false},
		{"seen alive", Evidence{Framing: FramingConnection, Worker: WorkerAlive}, Whole, false},
		{"refused", Evidence{Framing: FramingConnection, Worker: WorkerRefuses}, Cut, false},
		{"refused, all workers of the service are", Evidence{Framing: FramingConnection, Worker: WorkerRefusesHere}, Unknown, false},
		{"refused unconfirmed, record removed", Evidence{Framing: FramingConnection, Worker: WorkerRefusesHere, RecordRemoved: true}, Cut, false},
		{"silent", Evidence{Framing: FramingConnection}, Unknown, true},
		{"silent, record removed", Evidence{Framing: FramingConnection, RecordRemoved: true}, Cut, false},
		{"closes connections at once", Evidence{Framing: FramingConnection, Worker: WorkerCloses}, Unknown, true},
		{"another process at the address", Evidence{Framing: FramingConnection, Worker: WorkerAlive, RecordRemoved: true}, Cut, false},
		{"another process answers", Evidence{Framing: FramingConnection, Worker: WorkerReplaced}, Cut, false},
	} {
		if got, more := c.evidence.Judge(), c.evidence.AwaitsMore(); got != c.want || more != c.more {
			t.Errorf("%s: got %v, awaits more: %t; want %v, %t", c.name, got, more, c.want, c.more)
		}
	}
}

// TestUnmarkedResponseIsWholeOnlyIfWorkerIsSeen guards against combinations of evidence in which a response is whole for want of evidence.
func TestUnmarkedResponseIsWholeOnlyIfWorkerIsSeen(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		e := Evidence{
			Framing: FramingConnection, End: End(rapid.IntRange(0, 1).Draw(t, "end")), Worker: Worker(rapid.IntRange(0, int(WorkerReplaced)).Draw(t, "worker")),
			RecordRemoved: rapid.Bool().Draw(t, "record removed"),
		}
		isWhole := e.Judge() == Whole
		if isWhole != (e.End == EndOrdinary && e.Worker == WorkerAlive && !e.RecordRemoved) {
			t.Fatalf("%+v: whole: %t", e, isWhole)
		}
		if isWhole != (e.Judge().Err() == nil) || (e.AwaitsMore() && e.Judge() != Unknown) {
			t.Fatalf("%+v: got the error %v and awaits more: %t", e, e.Judge().Err(), e.AwaitsMore())
		}
	})
}

// TestAwait guards against evidence that is awaited without end, and against an answer that comes late and is missed.
func TestAwait(t *testing.T) {
	unmarked := func(worker Worker) Evidence { return Evidence{Framing: FramingConnection, Worker: worker} }
	for _, c := range []struct {
		name string
		// seen is what each look shows. The last one is repeated.
		seen     []Worker
		want     Result
		wantTook time.Duration
	}{
		{"alive at once", []Worker{WorkerAlive}, Whole, 0},
		{"refused at once", []Worker{WorkerRefuses}, Cut, 0},
		{"refused unconfirmed", []Worker{WorkerRefusesHere}, Unknown, 0},
		{"alive after a silence", []Worker{WorkerUnseen, WorkerUnseen, WorkerAlive}, Whole, 3 * firstPause},
		{"exiting", []Worker{WorkerCloses, WorkerRefuses}, Cut, firstPause},
		{"silent", []Worker{WorkerUnseen}, Unknown, maxWait},
		{"something else listens", []Worker{WorkerCloses}, Unknown, maxWait},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				start, looks := time.Now(), 0
				got := Await(t.Context(), func(context.Context) Evidence {
					looks++
					return unmarked(c.seen[min(looks, len(c.seen))-1])
				})
				if took := time.Since(start); got != c.want || took != c.wantTook {
					t.Errorf("got %v after %v, want %v after %v", got, took, c.want, c.wantTook)
				}
			})
		})
	}
}

// TestAwaitAtEndOfRequest guards against whole responses that are lost because their request ended as they did, and against evidence that is awaited
// long after the end of the request.
func TestAwaitAtEndOfRequest(t *testing.T) {
	for _, c := range []struct {
		worker   Worker
		want     Result
		wantTook time.Duration
	}{{WorkerAlive, Whole, 0}, {WorkerUnseen, Unknown, lateTime}} {
		synctest.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithDeadline(t.Context(), time.Now())
			defer cancel()
			start := time.Now()
			got := Await(ctx, func(ctx context.Context) Evidence {
				if ctx.Err() != nil {
					return Evidence{Framing: FramingConnection}
				}
				return Evidence{Framing: FramingConnection, Worker: c.worker}
			})
			if took := time.Since(start); got != c.want || took != c.wantTook {
				t.Errorf("got %v after %v, want %v after %v", got, took, c.want, c.wantTook)
			}
		})
	}
}

// TestCutResponseCountsAsBrokenConnection guards against a cut response that isn't taken for a broken connection by those that look at its error.
func TestCutResponseCountsAsBrokenConnection(t *testing.T) {
	if !errors.Is(Cut.Err(), io.ErrUnexpectedEOF) || Unknown.Err() == nil {
		t.Errorf("got the errors %v and %v", Cut.Err(), Unknown.Err())
	}
}

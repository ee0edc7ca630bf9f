package incarnation

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"github.com/granitebay/granitebay/internal/backend"
)

// asked is the number and the state of the questions to a worker.
type asked struct {
	mu    sync.Mutex
	count int
	id    string
	err   error
	delay time.Duration
}

func (a *asked) ask(ctx context.Context, _ *backend.Worker) (Answer, error) {
	a.mu.Lock()
	a.count++
	answer, err, delay := Answer{ID: a.id, SentAt: time.Now()}, a.err, a.delay
	a.mu.Unlock()
	select {
	case <-time.After(delay):
	case <-ctx.Done():
		return Answer{}, ctx.Err()
	}
	return answer, err
}

// set changes what the worker answers.
func (a *asked) set(id string, err error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.id, a.err = id, err
}

// questions returns the number of questions so far.
func (a *asked) questions() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.count
}

// recorded is the worker as its record describes it.
var recorded = &backend.Worker{ID: "w@1", Record: "w", Address: "w:1"}

// wantIdentity checks what a connection belongs to; an empty id stands for an error.
func wantIdentity(t *testing.T, c *Connection, want string) {
	t.Helper()
	if id, err := c.Identify(t.Context()); id != want || (err == nil) != (want != "") {
		t.Errorf("the connection belongs to %q, %v, want %q", id, err, want)
	}
}

// TestOneQuestionServesConnections guards against a question for each request, or for each of the connections that are opened together.
func TestOneQuestionServesConnections(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		worker := &asked{id: "w@1"}
		tracker := NewTracker(worker.ask)
		opened := time.Now()
		var together []*Connection
		for range 20 {
			together = append(together, tracker.Use(recorded, time.Now()))
			time.Sleep(gatherTime / 40)
		}
		for _, c := range together {
			wantIdentity(t, c, "w@1")
		}
		// They are used again.
		for range together {
			wantIdentity(t, tracker.Use(recorded, opened), "w@1")
		}
		if got := worker.questions(); got != 1 {
			t.Errorf("%d questions for connections that are opened together, want 1", got)
		}
		time.Sleep(time.Millisecond)
		wantIdentity(t, tracker.Use(recorded, time.Now()), "w@1")
		if got := worker.questions(); got != 2 {
			t.Errorf("%d questions after a new connection, want 2", got)
		}
		time.Sleep(time.Millisecond)
		tracker.Answered(recorded, Answer{ID: "w@1", SentAt: time.Now()})
		wantIdentity(t, tracker.Use(recorded, time.Now()), "w@1")
		if got := worker.questions(); got != 2 {
			t.Errorf("%d questions after the worker was asked for another reason, want 2", got)
		}
	})
}

// TestReplacedIncarnation guards against a connection that is taken for the incarnation of an outdated record, and against one of the incarnation
// before that is taken for its successor's.
func TestReplacedIncarnation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		worker := &asked{id: "w@1"}
		tracker := NewTracker(worker.ask)
		before := tracker.Use(recorded, time.Now())
		wantIdentity(t, before, "w@1")
		worker.set("w@2", nil)
		time.Sleep(time.Millisecond)
		opened := time.Now()
		// The one of the record may have answered this request and ended before the question.
		wantIdentity(t, tracker.Use(recorded, opened), "")
		wantIdentity(t, tracker.Use(recorded, opened), "w@2")
		wantIdentity(t, before, "w@1")
		if got := worker.questions(); got != 2 {
			t.Errorf("%d questions, want 2", got)
		}
	})
}

// TestAnswerStaysAfterARestart guards against a stream that can't go on because its worker was started again between its answer and the first
// event.
func TestAnswerStaysAfterARestart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tracker := NewTracker((&asked{id: "w@1"}).ask)
		c := tracker.Use(recorded, time.Now())
		time.Sleep(2 * gatherTime)
		tracker.Answered(recorded, Answer{ID: "w@2", SentAt: time.Now()})
		wantIdentity(t, c, "w@1")
	})
}

// TestUnansweredQuestion guards against a connection that is taken for the incarnation of the record because the worker does not answer, and
// against a wait for it that lasts longer than it may.
func TestUnansweredQuestion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		worker := &asked{err: errors.New("no answer")}
		tracker := NewTracker(worker.ask)
		c := tracker.Use(recorded, time.Now())
		wantIdentity(t, c, "")
		if got := worker.questions(); got != askAttempts {
			t.Errorf("%d questions, want %d", got, askAttempts)
		}
		wantIdentity(t, c, "")
		worker.set("w@1", nil)
		worker.delay = askTimeout / 2
		c = tracker.Use(recorded, time.Now())
		ctx, cancel := context.WithTimeout(t.Context(), askTimeout/10)
		defer cancel()
		if id, err := c.Identify(ctx); !errors.Is(err, context.DeadlineExceeded) {
			t.Errorf("got %q, %v before the answer", id, err)
		}
		wantIdentity(t, c, "w@1")
	})
}

// TestKnownIncarnationAnswers guards against a connection that is taken for another incarnation than the one that answers its request. A random
// history of restarts, connections, questions and late answers is played against the state.
func TestKnownIncarnationAnswers(t *testing.T) {
	epoch := time.Unix(1_700_000_000, 0)
	at := func(step int) time.Time { return epoch.Add(time.Duration(step) * time.Millisecond) }
	id := func(incarnation int) string { return fmt.Sprint("w@", incarnation) }
	rapid.Check(t, func(t *rapid.T) {
		// starts are the steps at which incarnations start. The record names the first one throughout.
		starts := []int{0}
		for range rapid.IntRange(0, 3).Draw(t, "restarts") {
			starts = append(starts, starts[len(starts)-1]+rapid.IntRange(1, 15).Draw(t, "lives"))
		}
		serving := func(step int) int {
			number := 0
			for i, start := range starts {
				if step >= start {
					number = i
				}
			}
			return number
		}
		type answerAt struct {
			arrives int
			answer  Answer
		}
		var answers []answerAt
		for range rapid.IntRange(0, 6).Draw(t, "questions") {
			sent := rapid.IntRange(1, 40).Draw(t, "asked")
			served := sent + rapid.IntRange(0, 3).Draw(t, "way there")
			if serving(sent) != serving(served) {
				// The question is lost with the incarnation that it was sent to.
				continue
			}
			answers = append(answers, answerAt{served + rapid.IntRange(0, 10).Draw(t, "way back"), Answer{ID: id(serving(served)), SentAt: at(sent)}})
		}
		opened := rapid.IntRange(1, 40).Draw(t, "opened")
		sent := opened + rapid.IntRange(0, 10).Draw(t, "idle")
		responds := sent + rapid.IntRange(0, 10).Draw(t, "works")
		arrives := responds + rapid.IntRange(0, 10).Draw(t, "response")
		if serving(opened) != serving(responds) {
			t.Skip("the connection broke")
		}
		s := &state{id: id(0)}
		c := &Connection{openedAt: at(opened), sentAt: at(sent)}
		for step := 0; step <= arrives+20; step++ {
			for _, a := range answers {
				if a.arrives == step {
					s.answered(at(step), a.answer)
				}
			}
			if step < sent {
				continue
			}
			if got, known := s.identify(c); known && got != id(serving(responds)) {
				t.Fatalf("at %d: %s, want %s; starts %v, opened %d, sent %d, responds %d, answers %+v", step, got, id(serving(responds)), starts, opened, sent, responds, answers)
			}
		}
	})
}

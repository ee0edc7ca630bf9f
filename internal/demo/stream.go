package demo

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"
	"strconv"
	"time"

	"github.com/granitebay/granitebay/internal/completions"
)

const (
	// streamDone is the data of the final event of a complete answer.
	streamDone = "[DONE]"
	// maxEventBytes bounds one line of a stream.
	maxEventBytes = 1 << 20
)

// completionEvent is one event of a stream.
type completionEvent struct {
	Choices []struct {
		Text string `json:"text"`
	} `json:"choices"`
}

// readStream reads a streamed answer and compares it with the expected one.
func (r *result) readStream(body io.Reader, started time.Time, onFirstToken func(time.Duration)) {
	checker := &answerChecker{expected: expectedAnswer(r.request)}
	lines := bufio.NewScanner(body)
	lines.Buffer(nil, maxEventBytes)
	number, event := 0, ""
	for lines.Scan() {
		name, data, found := bytes.Cut(lines.Bytes(), []byte(": "))
		switch {
		case !found:
		case string(name) == "id":
			number, _ = strconv.Atoi(string(data))
		case string(name) == "event":
			event = string(data)
		case string(name) == "data" && event == completions.EventError:
			r.outcomeReported = true
			r.detail = "the stream was aborted: " + string(data)
			return
		case string(name) != "data":
		case string(data) == streamDone:
			r.latency = time.Since(started)
			r.finishAnswer(checker)
			return
		default:
			before := checker.verified
			r.verifyEvent(checker, number, data)
			if before == 0 && checker.verified > 0 && onFirstToken != nil {
				onFirstToken(time.Since(started))
			}
		}
	}
	r.detail = "the stream ended without reporting an outcome"
	if err := lines.Err(); err != nil {
		r.detail += ": " + err.Error()
	}
}

// verifyEvent checks one event and records a mismatch in the result.
func (r *result) verifyEvent(checker *answerChecker, number int, data []byte) {
	if !checker.verify(number, data) {
		r.wrong = true
		r.detail = checker.problem
	}
}

// finishAnswer records the end of a complete answer.
func (r *result) finishAnswer(checker *answerChecker) {
	r.outcome = outcomeAnswered
	r.outcomeReported = true
	if !r.wrong && checker.verified != len(checker.expected) {
		r.wrong = true
		r.detail = "the answer is incomplete"
	}
}

// answerChecker compares the events of an answer with the expected tokens.
type answerChecker struct {
	expected []string
	// verified is the number of correct tokens received so far.
	verified int
	problem  string
}

// verify checks one event, given its number in the stream, and reports whether it is as expected.
func (a *answerChecker) verify(number int, data []byte) bool {
	var event completionEvent
	if err := json.Unmarshal(data, &event); err != nil {
		a.problem = "invalid event: " + err.Error()
		return false
	}
	if number != a.verified+1 || a.verified >= len(a.expected) || len(event.Choices) != 1 {
		a.problem = "an event arrived out of order or after the end of the answer"
		return false
	}
	if event.Choices[0].Text != a.expected[a.verified] {
		a.problem = "a token differs from the expected answer"
		return false
	}
	a.verified++
	return true
}

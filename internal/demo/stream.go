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
	// streamDone is the data of the last event of a whole answer.
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

// readStream reads an answer and compares it with the one that belongs to the request.
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
			r.detail = "The stream broke off: " + string(data)
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
	r.detail = "The stream ended without a word on the outcome."
	if err := lines.Err(); err != nil {
		r.detail += " " + err.Error()
	}
}

// take checks one piece of the answer.
func (r *result) verifyEvent(checker *answerChecker, number int, data []byte) {
	if !checker.verify(number, data) {
		r.wrong = true
		r.detail = checker.problem
	}
}

// finish takes the end of a whole answer.
func (r *result) finishAnswer(checker *answerChecker) {
	r.outcome = outcomeAnswered
	r.outcomeReported = true
	if !r.wrong && checker.verified != len(checker.expected) {
		r.wrong = true
		r.detail = "The answer ended before it was whole."
	}
}

// answerCheck compares the pieces of an answer with what they must be.
type answerChecker struct {
	expected []string
	// held is the number of tokens that came, all right so far.
	verified int
	problem  string
}

// take checks one event, by its number in the stream, and tells whether it is right.
func (a *answerChecker) verify(number int, data []byte) bool {
	var event completionEvent
	if err := json.Unmarshal(data, &event); err != nil {
		a.problem = "An event of the stream cannot be read: " + err.Error()
		return false
	}
	if number != a.verified+1 || a.verified >= len(a.expected) || len(event.Choices) != 1 {
		a.problem = "A piece of the answer came out of order or after its end."
		return false
	}
	if event.Choices[0].Text != a.expected[a.verified] {
		a.problem = "A word of the answer is not the one that belongs there."
		return false
	}
	a.verified++
	return true
}

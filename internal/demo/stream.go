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
	check := &answerCheck{expected: expectedAnswer(r.order)}
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
			r.told = true
			r.detail = "The stream broke off: " + string(data)
			return
		case string(name) != "data":
		case string(data) == streamDone:
			r.whole = time.Since(started)
			r.finish(check)
			return
		default:
			before := check.held
			r.take(check, number, data)
			if before == 0 && check.held > 0 && onFirstToken != nil {
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
func (r *result) take(check *answerCheck, number int, data []byte) {
	if !check.take(number, data) {
		r.wrong = true
		r.detail = check.problem
	}
}

// finish takes the end of a whole answer.
func (r *result) finish(check *answerCheck) {
	r.outcome = outcomeAnswered
	r.told = true
	if !r.wrong && check.held != len(check.expected) {
		r.wrong = true
		r.detail = "The answer ended before it was whole."
	}
}

// answerCheck compares the pieces of an answer with what they must be.
type answerCheck struct {
	expected []string
	// held is the number of tokens that came, all right so far.
	held    int
	problem string
}

// take checks one event, by its number in the stream, and tells whether it is right.
func (a *answerCheck) take(number int, data []byte) bool {
	var event completionEvent
	if err := json.Unmarshal(data, &event); err != nil {
		a.problem = "An event of the stream cannot be read: " + err.Error()
		return false
	}
	if number != a.held+1 || a.held >= len(a.expected) || len(event.Choices) != 1 {
		a.problem = "A piece of the answer came out of order or after its end."
		return false
	}
	if event.Choices[0].Text != a.expected[a.held] {
		a.problem = "A word of the answer is not the one that belongs there."
		return false
	}
	a.held++
	return true
}

package demo

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"
	"time"
)

const (
	// completionsPath is where agents take requests.
	completionsPath = "/v1/completions"
	// streamDone is the data of the last event of a whole answer.
	streamDone = "[DONE]"
	// maxEventBytes bounds one line of a stream.
	maxEventBytes = 1 << 20
	eventError    = "error"
)

// completionEvent is one event of a stream.
type completionEvent struct {
	Choices []struct {
		Text string `json:"text"`
	} `json:"choices"`
	Position struct {
		Offset int `json:"offset"`
		Tokens int `json:"tokens"`
	} `json:"granitebay"`
}

// readStream reads an answer and compares it with the one that belongs to the request.
func (r *result) readStream(body io.Reader, started time.Time, onFirstToken func(time.Duration)) {
	check := &answerCheck{expected: expectedAnswer(r.order)}
	lines := bufio.NewScanner(body)
	lines.Buffer(nil, maxEventBytes)
	event := ""
	for lines.Scan() {
		name, data, found := bytes.Cut(lines.Bytes(), []byte(": "))
		switch {
		case !found:
			event = ""
		case string(name) == "event":
			event = string(data)
		case string(name) != "data":
		case event == eventError:
			r.ended(data)
			return
		case string(data) == streamDone:
			r.whole = time.Since(started)
			r.finish(check)
			return
		default:
			before := check.held
			r.take(check, data)
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
func (r *result) take(check *answerCheck, data []byte) {
	if !check.take(data) {
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

// take checks one event and tells whether it is right.
func (a *answerCheck) take(data []byte) bool {
	var event completionEvent
	if err := json.Unmarshal(data, &event); err != nil {
		a.problem = "An event of the stream cannot be read: " + err.Error()
		return false
	}
	until := a.held + event.Position.Tokens
	if event.Position.Tokens == 0 {
		return true
	}
	if event.Position.Offset != a.held || until > len(a.expected) || len(event.Choices) != 1 {
		a.problem = "A piece of the answer came out of order or after its end."
		return false
	}
	text := event.Choices[0].Text
	for _, token := range a.expected[a.held:until] {
		if len(text) < len(token) || text[:len(token)] != token {
			a.problem = "A word of the answer is not the one that belongs there."
			return false
		}
		text = text[len(token):]
	}
	a.held = until
	if text != "" {
		a.problem = "A piece of the answer holds more words than it says."
		return false
	}
	return true
}

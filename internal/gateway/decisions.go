package gateway

import (
	"fmt"
	"maps"
	"strconv"
	"time"

	"github.com/granitebay/granitebay/internal/adminapi"
	"github.com/granitebay/granitebay/internal/balance"
	"github.com/granitebay/granitebay/internal/decision"
	"github.com/granitebay/granitebay/internal/forward"
	"github.com/granitebay/granitebay/internal/poison"
)

// keptDecisions is how many decisions a gateway keeps.
const maxDecisions = 2048

// decide notes a decision.
func (g *Gateway) recordDecision(record decision.Record) { g.decisions.Append(time.Now(), record) }

// requestEntry is what is kept of a request that has ended. It holds no body.
type requestDecision struct {
	id              string
	target          string
	rule            string
	group           string
	version         int64
	status          int
	reason          forward.Reason
	duration        time.Duration
	timeToFirstByte time.Duration
	tries           []forward.Try
	err             error
	digest          *poison.Digest
	// unanswered holds who closed the connection of a caller that got no whole answer, and how far its request was; nil for others.
	unanswered map[string]string
	roleLoss   *forward.Loss
	ended      time.Time
}

// entryOf takes what is kept out of a report.
func newRequestDecision(report *forward.Report) requestDecision {
	d := requestDecision{
		rule: report.Rule, group: report.Group, version: report.Version, status: report.Status, reason: report.Reason,
		duration: report.Ended.Sub(report.Arrived), tries: report.Tries, err: report.Err, target: report.Target, digest: report.Asked,
		roleLoss: report.Loss, ended: report.Ended,
	}
	if report.Request != nil {
		d.id = report.Request.ID
	}
	if report.Unanswered {
		d.unanswered = map[string]string{
			"closed_by": report.ClosedBy.String(), "step": report.Step(), "peer": report.Caller, "passed_on_to": report.PassedOn(),
		}
	}
	if !report.FirstByte.IsZero() {
		d.timeToFirstByte = report.FirstByte.Sub(report.Arrived)
	}
	return d
}

// smooth tells whether the request was served at once.
func (d requestDecision) servedFirstTry() bool {
	return d.reason == forward.ReasonServed && len(d.tries) == 1
}

// Record is part of decisionlog.Entry.
func (d requestDecision) Record() decision.Record {
	record := decision.Record{
		Kind: decision.KindRequest, Subject: d.id, Version: d.version, Outcome: strconv.Itoa(d.status),
		Reason: fmt.Sprintf("Request of rule %s for group %s: %s.", d.rule, d.group, d.reason),
		Inputs: d.inputs(),
	}
	if d.reason != forward.ReasonServed && len(d.tries) == 0 {
		record.Kind = decision.KindRefusal
	}
	return record
}

// inputs are the facts about the request, times in milliseconds.
func (d requestDecision) inputs() map[string]string {
	inputs := map[string]string{
		"rule": d.rule, adminapi.InputGroup: d.group, "took_ms": strconv.FormatInt(d.duration.Milliseconds(), 10),
	}
	if d.rule == "" || d.digest != nil {
		inputs["target"] = d.target
	}
	if d.digest != nil {
		inputs["asked"] = d.digest.String()
	}
	if d.timeToFirstByte > 0 {
		inputs["first_byte_ms"] = strconv.FormatInt(d.timeToFirstByte.Milliseconds(), 10)
	}
	maps.Copy(inputs, d.unanswered)
	for i, try := range d.tries {
		inputs["try"+strconv.Itoa(i+1)] = describeTry(try)
		inputs[adminapi.InputWorker] = try.Worker
	}
	if d.roleLoss != nil {
		inputs["role_gone"] = fmt.Sprintf("%d writers ended, %d engines are becoming writers, %d read; expected back in %d ms",
			d.roleLoss.Lost, d.roleLoss.Changing, d.roleLoss.Readers, d.roleLoss.Back.Sub(d.ended).Milliseconds())
	}
	if d.err != nil {
		inputs["error"] = d.err.Error()
	}
	return inputs
}

// describeTry says in a few words what one worker did with a request.
func describeTry(try forward.Try) string {
	text := fmt.Sprintf("worker %s in %d ms", try.Worker, try.Ended.Sub(try.Begun).Milliseconds())
	if try.Reader != "" {
		text = fmt.Sprintf("read by %s in %d ms, %s", try.Reader, try.ReadIn.Milliseconds(), text)
	}
	if try.Candidates > 0 {
		text += fmt.Sprintf(", picked of %d for %s", try.Candidates, describeScore(try.Score))
	}
	if try.Score.Answer > 0 {
		text += fmt.Sprintf(", answer expected after %.0f ms", millisecondsPerSecond*try.Score.Answer)
	}
	if try.Deferred {
		text += ", too late for its objective and so after all others"
	}
	if try.Failure != "" {
		text += ": " + try.Failure
	}
	return text
}

// describeScore names the parts of an expected cost that are not zero.
func describeScore(score balance.Score) string {
	parts := []struct {
		name    string
		seconds float64
	}{
		{"queue", score.Queue}, {"reading", score.Reading}, {"hold-up", score.HoldUp}, {"transfer", score.Transfer},
		{"distance", score.Distance}, {"doubt", score.Doubt},
	}
	text := fmt.Sprintf("%.1f ms expected", millisecondsPerSecond*score.Total())
	for _, part := range parts {
		if part.seconds != 0 {
			text += fmt.Sprintf(", %s %.1f", part.name, millisecondsPerSecond*part.seconds)
		}
	}
	return text
}

// millisecondsPerSecond turns seconds into milliseconds.
const millisecondsPerSecond = 1000

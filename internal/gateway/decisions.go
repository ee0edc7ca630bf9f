package gateway

import (
	"fmt"
	"maps"
	"strconv"
	"strings"
	"time"

	"github.com/samber/lo"

	"github.com/granitebay/granitebay/internal/adminapi"
	"github.com/granitebay/granitebay/internal/backend"
	"github.com/granitebay/granitebay/internal/balance"
	"github.com/granitebay/granitebay/internal/decision"
	"github.com/granitebay/granitebay/internal/excerpt"
	"github.com/granitebay/granitebay/internal/forward"
	"github.com/granitebay/granitebay/internal/poison"
	"github.com/granitebay/granitebay/internal/streamversion"
)

// maxDecisions is the number of recent decisions that a gateway keeps.
const maxDecisions = 2048

// recordDecision adds a decision to the decision log.
func (g *Gateway) recordDecision(record decision.Record) { g.decisions.Append(time.Now(), record) }

// maxErrorBytes is the length to which the error of a request is shortened.
const maxErrorBytes = 1024

// maxRecordedSegments is the number of prompt segments of a request that are recorded.
const maxRecordedSegments = 64

// requestDecision is the decision log entry of a finished request. It does not retain the request: texts that the caller chose are shortened.
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
	attempts        []forward.Attempt
	// err is the text of the error; empty if there is none.
	err    string
	digest *poison.Digest
	// sharedSegments are the ids of the prompt segments that other requests may share, set only with digest.
	sharedSegments []string
	// unanswered holds closed_by, step, peer, passed_on_to, configuration_age_ms and cutInputs of a request without a complete response; nil otherwise.
	unanswered map[string]string
	roleLoss   *forward.RoleLoss
	// heldBack says why the request waited at the gateway or was refused for lack of room.
	heldBack string
	ended    time.Time
	// resumeAfter and resumes name the last event and the first request of a stream that the request takes up; empty otherwise.
	resumeAfter, resumes string
	// stream is the software version that began the stream.
	stream streamversion.Finding
}

// newRequestDecision extracts the decision log entry from a report.
func newRequestDecision(report *forward.Report) requestDecision {
	d := requestDecision{
		rule: report.Rule, group: report.Group, version: report.Version, status: report.Status, reason: report.Reason,
		duration: report.Ended.Sub(report.Arrived), attempts: report.Attempts, target: excerpt.Of(report.Target, excerpt.IDBytes), digest: report.RequestDigest,
		roleLoss: report.Loss, heldBack: report.HeldBack, ended: report.Ended, stream: report.Stream,
	}
	if report.Request != nil {
		d.id = excerpt.Of(report.Request.ID, excerpt.IDBytes)
		d.resumeAfter, d.resumes = excerpt.Of(report.Request.ResumeAfter, excerpt.IDBytes), excerpt.Of(report.Request.Resumes, excerpt.IDBytes)
	}
	if report.Err != nil {
		d.err = excerpt.Of(report.Err.Error(), maxErrorBytes)
	}
	if report.Request != nil && d.digest != nil {
		d.sharedSegments = recordedSegments(report.Request.Demand.SharedSegments())
	}
	if report.Unanswered {
		d.unanswered = map[string]string{
			"closed_by": report.ClosedBy.String(), "step": report.Step(), "peer": report.Caller, "passed_on_to": report.LastWorker(),
			"configuration_age_ms": strconv.FormatInt(report.ConfigurationAge.Milliseconds(), 10),
		}
		maps.Copy(d.unanswered, cutInputs(report))
	}
	if !report.FirstByte.IsZero() {
		d.timeToFirstByte = report.FirstByte.Sub(report.Arrived)
	}
	return d
}

// recordedSegments returns the ids of the first segments.
func recordedSegments(segments []backend.Segment) []string {
	segments = segments[:min(len(segments), maxRecordedSegments)]
	return lo.Map(segments, func(segment backend.Segment, _ int) string {
		return strings.Clone(excerpt.Of(segment.ID, excerpt.IDBytes))
	})
}

// cutInputs returns what is recorded of a request that the end of the grace period ended: when it had arrived after the stop began, how long its
// worker had been silent, and how much of its response the caller had not acknowledged.
func cutInputs(report *forward.Report) map[string]string {
	if report.StopBegan.IsZero() {
		return nil
	}
	inputs := map[string]string{
		"after_stop_ms": strconv.FormatInt(report.Arrived.Sub(report.StopBegan).Milliseconds(), 10), "undelivered_bytes": strconv.Itoa(report.Undelivered),
	}
	if !report.EventArrived.IsZero() {
		inputs["worker_silent_ms"] = strconv.FormatInt(report.Ended.Sub(report.EventArrived).Milliseconds(), 10)
	}
	return inputs
}

// isUneventful reports whether the first attempt served the request, and no earlier request began its stream.
func (d requestDecision) isUneventful() bool {
	return d.reason == forward.ReasonServed && len(d.attempts) == 1 && d.resumeAfter == ""
}

// Record implements decisionlog.Entry.
func (d requestDecision) Record() decision.Record {
	record := decision.Record{
		Kind: decision.KindRequest, Subject: d.id, Version: d.version, Outcome: strconv.Itoa(d.status),
		Reason: fmt.Sprintf("Request of rule %s for group %s: %s.", d.rule, d.group, d.reason),
		Inputs: d.inputs(),
	}
	if d.reason != forward.ReasonServed && len(d.attempts) == 0 {
		record.Kind = decision.KindRefusal
	}
	return record
}

// inputs returns the recorded facts about the request, with times in milliseconds.
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
	if len(d.sharedSegments) > 0 {
		inputs["parts"] = strings.Join(d.sharedSegments, ",")
	}
	if d.timeToFirstByte > 0 {
		inputs["first_byte_ms"] = strconv.FormatInt(d.timeToFirstByte.Milliseconds(), 10)
	}
	maps.Copy(inputs, d.unanswered)
	for i, attempt := range d.attempts {
		inputs["try"+strconv.Itoa(i+1)] = describeAttempt(attempt)
		inputs[adminapi.InputWorker] = attempt.Worker
	}
	if d.roleLoss != nil {
		inputs["role_gone"] = fmt.Sprintf("%d writers ended, %d engines are becoming writers, %d read; expected back in %d ms",
			d.roleLoss.LostDecoders, d.roleLoss.Changing, d.roleLoss.PrefillEngines, d.roleLoss.ExpectedAt.Sub(d.ended).Milliseconds())
	}
	d.streamInputs(inputs)
	if d.heldBack != "" {
		inputs["held_back"] = d.heldBack
	}
	if d.err != "" {
		inputs["error"] = d.err
	}
	return inputs
}

// describeAttempt describes one attempt to run a request on a worker.
func describeAttempt(attempt forward.Attempt) string {
	text := fmt.Sprintf("worker %s in %d ms", attempt.Worker, attempt.End.Sub(attempt.Start).Milliseconds())
	if attempt.SoftwareVersion != "" {
		text = fmt.Sprintf("worker %s of version %s in %d ms", attempt.Worker, attempt.SoftwareVersion, attempt.End.Sub(attempt.Start).Milliseconds())
	}
	if attempt.PrefillEngine != "" {
		text = fmt.Sprintf("read by %s in %d ms, %s", attempt.PrefillEngine, attempt.PrefillTime.Milliseconds(), text)
	}
	if attempt.Candidates > 0 {
		text += fmt.Sprintf(", picked of %d for %s", attempt.Candidates, describeScore(attempt.Score))
	}
	if attempt.Score.TimeToFirstToken > 0 {
		text += fmt.Sprintf(", answer expected after %.0f ms", millisecondsPerSecond*attempt.Score.TimeToFirstToken)
	}
	if attempt.Backup != "" {
		text += ", copy kept by " + attempt.Backup
	}
	if attempt.Continues != forward.ContinuesNothing {
		text += ", continuing from the " + string(attempt.Continues)
	}
	if attempt.Deferred {
		text += ", too late for its objective and therefore deferred"
	}
	text += describeCourse(attempt.Course)
	if attempt.UrgencyReason != "" {
		text += fmt.Sprintf(", urgency %d at the engine (%s)", attempt.Urgency, attempt.UrgencyReason)
	}
	if attempt.Failure != "" {
		text += ": " + attempt.Failure
	}
	if refusal := attempt.Refusal; refusal != nil {
		text += fmt.Sprintf(" (status %d, names the request: %t, shared connection: %t)", refusal.Status, refusal.Named, refusal.Shared)
	}
	if attempt.NotContinued != "" {
		text += ", not continued: " + attempt.NotContinued
	}
	return text
}

// describeCourse describes the events of a response and what was expected of them; empty if there is nothing to tell.
func describeCourse(course forward.Course) string {
	if course.Events < 2 {
		return ""
	}
	text := fmt.Sprintf(", %d events, longest pause %d ms", course.Events, course.LongestPause.Milliseconds())
	if course.Expected.Interval > 0 {
		text += fmt.Sprintf("; expected one every %d ms, pause risk %.2f, late end %.2f",
			course.Expected.Interval.Milliseconds(), course.Expected.PauseRisk, course.Expected.DeadlineRisk)
	}
	return text
}

// describeScore lists the non-zero components of an expected cost.
func describeScore(score balance.Score) string {
	components := []struct {
		name    string
		seconds float64
	}{
		{"queue", score.Queue}, {"reading", score.Prefill}, {"hold-up", score.Interference}, {"transfer", score.Transfer},
		{"pause risk", score.PauseRisk}, {"late end", score.LateEnd}, {"late start", score.LateStart}, {"distance", score.ZoneCost},
		{"doubt", score.EjectedPenalty},
	}
	text := fmt.Sprintf("%.1f ms expected", millisecondsPerSecond*score.Total())
	for _, component := range components {
		if component.seconds != 0 {
			text += fmt.Sprintf(", %s %.1f", component.name, millisecondsPerSecond*component.seconds)
		}
	}
	return text
}

const millisecondsPerSecond = 1000

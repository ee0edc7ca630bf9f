package demo

import (
	"fmt"
	"io"
	"strings"
	"time"

	"github.com/samber/lo"

	"github.com/granitebay/granitebay/internal/completions"
	"github.com/granitebay/granitebay/internal/deployment"
	"github.com/granitebay/granitebay/internal/labfleet"
)

// display prints the output of the demo.
type display struct {
	out      io.Writer
	workload workload
}

// printf prints one line.
func (d display) printf(format string, arguments ...any) {
	_, _ = fmt.Fprintf(d.out, format+"\n", arguments...)
}

// line prints the status line of one second. The mix describes the requests being sent.
func (d display) line(elapsed time.Duration, mix string, current snapshot, roles roleCounts) {
	d.printf("%4.0fs | %s | sent %d answered %d waiting %d late %d%s | %s | %s",
		elapsed.Seconds(), mix,
		current.summary.Sent, current.summary.Answered, current.inFlight, current.summary.Late, unanswered(current.summary),
		seconds(current.p95), roles)
	d.failures(current.failures)
}

// failures prints descriptions of failed requests.
func (d display) failures(lines []string) {
	for _, sentence := range lines {
		d.printf("      ! %s", sentence)
	}
}

// mix returns the current share of each class among the requests.
func (d display) mix(elapsed time.Duration) string {
	rates := d.workload.rates(elapsed)
	total := lo.Sum(rates)
	return strings.Join(lo.Map(d.workload.classes, func(each requestClass, index int) string {
		return fmt.Sprintf("%s %.0f%%", each.title, 100*rates[index]/total)
	}), " ")
}

// unanswered returns the nonzero counts of requests without a correct answer.
func unanswered(counts summary) string {
	text := ""
	for _, each := range []struct {
		name  string
		count int
	}{{"not run", counts.NotRun}, {"unknown", counts.Unknown}, {"failed", counts.Failed}, {"WRONG", counts.WrongAnswers}} {
		if each.count > 0 {
			text += fmt.Sprintf(" %s %d", each.name, each.count)
		}
	}
	return text
}

// roleCounts is the number of workers in each role.
type roleCounts struct{ prefill, decode, changing int }

// countRoles counts the workers of a fleet by role.
func countRoles(standins *labfleet.Fleet) roleCounts {
	prefill, decode, changing := standins.RoleCounts()
	return roleCounts{prefill, decode, changing}
}

// String implements fmt.Stringer.
func (r roleCounts) String() string {
	text := fmt.Sprintf("%d prefill, %d decode", r.prefill, r.decode)
	if r.changing > 0 {
		text += fmt.Sprintf(", %d changing", r.changing)
	}
	return text
}

// seconds formats a duration in seconds with two decimals; zero is a dash.
func seconds(duration time.Duration) string {
	if duration == 0 {
		return "-"
	}
	return fmt.Sprintf("%.2fs", duration.Seconds())
}

// describeFailure describes in one sentence how a request failed.
func (r result) describeFailure() string {
	outcome := lo.Ternary(r.wrong, "wrong answer", strings.ReplaceAll(string(r.outcome), "_", " "))
	return fmt.Sprintf("%s request %s: %s: %s", r.request.class.name, r.request.id, outcome, r.detail)
}

// introduction prints what is about to run.
func (d display) introduction(spec deployment.Deployment) {
	d.printf("%s, in a single process: %d zones, %d gateways and %d engines, connected over loopback.",
		spec.Title, len(spec.Zones), len(spec.Zones)*spec.GatewaysPerZone, len(spec.Workers))
	d.printf("The engines and the store are simulated.")
	d.printf("Engines in the prefill role process long prompts quickly; those in the decode role generate many answers at once.")
	d.printf("Starting ...")
	d.printf("")
}

// ready prints commands to try and explains the status lines.
func (d display) ready(spec deployment.Deployment, sys *system) {
	first := sys.settings[0]
	d.printf("Ready. Send a request to a gateway:")
	d.printf("  curl -s http://%s%s -H 'Content-Type: application/json' -H '%s: visitor' -d '{\"model\": \"%s\", \"prompt\": \"Which roast suits this blend?\", \"max_tokens\": 12}'",
		first.ListenCallers, completions.Path, completions.HeaderTenant, spec.Model)
	d.printf("Follow the decisions of the gateways, in a terminal or in a browser:")
	d.printf("  go run ./cmd/granitebay decisions --follow --gateway %s", first.ListenAdmin)
	d.printf("  http://%s/", first.ListenAdmin)
	d.printf("")
	d.printf("One line per second: request mix | requests so far | time to first token, 95th percentile | engines by role.")
	d.printf("Lines after > explain role changes, lines after ! failed requests.")
	d.printf("")
}

// roleChanges prints decisions on roles.
func (d display) roleChanges(lines []string) {
	for _, line := range lines {
		d.printf("      > %s", line)
	}
}

// totals prints the summary in words.
func (d display) totals(total summary) {
	d.printf("")
	d.printf("%d requests were sent and %d answered, %d of them late. %d were not run, %d ended unknown, %d failed.",
		total.Sent, total.Answered, total.Late, total.NotRun, total.Unknown, total.Failed)
	d.printf("Every answer was checked word for word: %d were wrong. Work that may run only once ran again %d times.",
		total.WrongAnswers, total.DuplicateRuns)
	d.printf("Engines changed their role %d times.", total.RoleChanges)
}

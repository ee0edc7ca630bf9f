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

// display writes what a newcomer sees.
type display struct {
	out      io.Writer
	workload workload
}

// printf writes one line.
func (d display) printf(format string, arguments ...any) {
	_, _ = fmt.Fprintf(d.out, format+"\n", arguments...)
}

// line writes the state of one second. The mix is what is asked for.
func (d display) line(elapsed time.Duration, mix string, current snapshot, roles roleCounts) {
	d.printf("%4.0fs | %s | sent %d answered %d waiting %d late %d%s | %s | %s",
		elapsed.Seconds(), mix,
		current.summary.Sent, current.summary.Answered, current.inFlight, current.summary.Late, unanswered(current.summary),
		seconds(current.p95), roles)
	d.failures(current.failures)
}

// troubles writes what did not go well.
func (d display) failures(lines []string) {
	for _, sentence := range lines {
		d.printf("      ! %s", sentence)
	}
}

// mix names the shares of the classes among the requests of now.
func (d display) mix(elapsed time.Duration) string {
	rates := d.workload.rates(elapsed)
	total := lo.Sum(rates)
	return strings.Join(lo.Map(d.workload.classes, func(each requestClass, index int) string {
		return fmt.Sprintf("%s %.0f%%", each.title, 100*rates[index]/total)
	}), " ")
}

// unanswered names the requests that ended without an answer, if there are any.
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

// roles counts the workers of each role.
type roleCounts struct{ prefill, decode, changing int }

// rolesOf counts the workers of a fleet.
func countRoles(standins *labfleet.Fleet) roleCounts {
	prefill, decode, changing := standins.RoleCounts()
	return roleCounts{prefill, decode, changing}
}

// String names the roles.
func (r roleCounts) String() string {
	text := fmt.Sprintf("%d prefill, %d decode", r.prefill, r.decode)
	if r.changing > 0 {
		text += fmt.Sprintf(", %d changing", r.changing)
	}
	return text
}

// seconds writes a time to hundredths of a second; a dash for none.
func seconds(duration time.Duration) string {
	if duration == 0 {
		return "-"
	}
	return fmt.Sprintf("%.2fs", duration.Seconds())
}

// trouble says in one sentence what became of a request that did not go well.
func (r result) describeFailure() string {
	outcome := lo.Ternary(r.wrong, "wrong answer", strings.ReplaceAll(string(r.outcome), "_", " "))
	return fmt.Sprintf("%s request %s: %s: %s", r.request.class.name, r.request.id, outcome, r.detail)
}

// introduction says what is about to run.
func (d display) introduction(spec deployment.Deployment) {
	d.printf("%s, all in this one process: %d zones, %d gateways, %d engines, which talk over loopback.",
		spec.Title, len(spec.Zones), len(spec.Zones)*spec.GatewaysPerZone, len(spec.Workers))
	d.printf("The engines and the store are stand-ins.")
	d.printf("An engine in the prefill role reads long prompts fast; one in the decode role writes many answers at once.")
	d.printf("Starting ...")
	d.printf("")
}

// ready says what a newcomer can try, and how to read the lines.
func (d display) ready(spec deployment.Deployment, sys *system) {
	first := sys.settings[0]
	d.printf("Ready. Ask a gateway yourself:")
	d.printf("  curl -s http://%s%s -H 'Content-Type: application/json' -H '%s: visitor' -d '{\"model\": \"%s\", \"prompt\": \"Which roast suits this blend?\", \"max_tokens\": 12}'",
		first.ListenCallers, completions.Path, completions.HeaderTenant, spec.Model)
	d.printf("Watch every decision as it is made, in a terminal or on a page:")
	d.printf("  go run ./cmd/granitebay decisions --follow --gateway %s", first.ListenAdmin)
	d.printf("  http://%s/", first.ListenAdmin)
	d.printf("")
	d.printf("A line a second: what is asked for | requests so far | time in which 95 of 100 answers began | engines by role.")
	d.printf("Below it, after >, why engines change their role.")
	d.printf("")
}

// sentences writes what was decided on roles.
func (d display) roleChanges(lines []string) {
	for _, line := range lines {
		d.printf("      > %s", line)
	}
}

// totals sums the demo up for people.
func (d display) totals(total summary) {
	d.printf("")
	d.printf("%d requests were sent and %d answered, %d of them late. %d were not run, %d ended unknown, %d failed.",
		total.Sent, total.Answered, total.Late, total.NotRun, total.Unknown, total.Failed)
	d.printf("Every answer was checked word for word: %d were wrong. Work that may run only once ran again %d times.",
		total.WrongAnswers, total.DuplicateRuns)
	d.printf("Engines changed their role %d times.", total.RoleChanges)
}

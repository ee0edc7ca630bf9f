package demo

import (
	"fmt"
	"io"
	"strings"
	"time"

	"github.com/samber/lo"

	"github.com/granitebay/granitebay/internal/deployment"
	"github.com/granitebay/granitebay/internal/engine"
	"github.com/granitebay/granitebay/internal/fleet"
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

// line writes the state of one second.
func (d display) line(elapsed time.Duration, state snapshot, roles fleet.Roles) {
	d.printf("%4.0fs  asked: %s | sent %d, answered %d, waiting %d, late %d%s | first word within %s | %s",
		elapsed.Seconds(),
		d.mix(elapsed),
		state.summary.Sent, state.summary.Answered, state.waiting, state.summary.Late, unanswered(state.summary),
		seconds(state.p95),
		d.engines(state, roles),
	)
	for _, trouble := range state.troubles {
		d.printf("       ! %s", trouble)
	}
}

// mix names the shares of the classes among the requests of now.
func (d display) mix(elapsed time.Duration) string {
	rates := d.workload.rates(elapsed)
	total := lo.Sum(rates)
	return strings.Join(lo.Map(d.workload.classes, func(each class, index int) string {
		return fmt.Sprintf("%.0f%% %s", 100*rates[index]/total, each.title)
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
			text += fmt.Sprintf(", %s %d", each.name, each.count)
		}
	}
	return text
}

// engines names the roles of the engines and what each role answered in the last second.
func (d display) engines(state snapshot, roles fleet.Roles) string {
	text := fmt.Sprintf("%d prefill engines answered %s, %d decode %s",
		roles.Prefill, d.served(state, engine.RolePrefill), roles.Decode, d.served(state, engine.RoleDecode))
	if roles.Changing > 0 {
		text += fmt.Sprintf(", %d changing", roles.Changing)
	}
	return text
}

// served names the answers of one role by class.
func (d display) served(state snapshot, role engine.Role) string {
	parts := lo.FilterMap(d.workload.classes, func(each class, _ int) (string, bool) {
		count := state.served[servedKey{class: each.name, role: role}]
		return fmt.Sprintf("%d %s", count, each.title), count > 0
	})
	if len(parts) == 0 {
		return "none"
	}
	return strings.Join(parts, "+")
}

// seconds writes a time to hundredths of a second; a dash for none.
func seconds(duration time.Duration) string {
	if duration == 0 {
		return "-"
	}
	return fmt.Sprintf("%.2fs", duration.Seconds())
}

// trouble says in one sentence what became of a request that did not go well.
func (r result) trouble() string {
	what := lo.Ternary(r.wrong, "wrong answer", strings.ReplaceAll(string(r.outcome), "_", " "))
	return fmt.Sprintf("%s request %s: %s: %s", r.order.kind.name, r.order.requestID(), what, r.detail)
}

// introduction says what is about to run.
func (d display) introduction(chosen deployment.Deployment) {
	d.printf("%s, in this one process: %d zones, %d routers, %d engines, %d agents. All talk over loopback.",
		chosen.Title, len(chosen.Zones), len(chosen.Routers), len(chosen.Engines), len(chosen.Agents))
	d.printf("The engines and the platform are stand-ins. Loading a model takes %s here, a change of role %s.", weightLoadTime, roleChangeTime)
	d.printf("A prefill engine reads long prompts fast; a decode engine writes many answers at once. Starting ...")
	d.printf("")
}

// ready says what a newcomer can try.
func (d display) ready(chosen deployment.Deployment, running *fleet.Fleet) {
	d.printf("Ready. Ask an agent yourself:")
	d.printf("  curl -s http://%s%s -H 'Content-Type: application/json' -H '%s: visitor' -d '{\"model\": \"%s\", \"prompt\": \"Which roast suits this blend?\", \"max_tokens\": 12}'",
		running.Agents()[0].Address, completionsPath, headerTenant, chosen.Model)
	d.printf("Watch every decision as it is made:")
	d.printf("  go run ./cmd/granitebay decisions --follow --router http://%s", running.Routers()[0].Address)
	d.printf("")
}

// sentences writes what was decided on roles.
func (d display) sentences(sentences []string) {
	for _, sentence := range sentences {
		d.printf("       > %s", sentence)
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

package operator

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/oklog/ulid/v2"
	"github.com/samber/lo"

	"github.com/granitebay/granitebay/internal/adminapi"
	"github.com/granitebay/granitebay/internal/decision"
)

// processTimeout bounds the time in which one of several processes answers.
const processTimeout = 5 * time.Second

// explainCommand shows all decisions about one request, from all gateways.
type explainCommand struct {
	Request string `arg:"" help:"Id of the request."`
}

// explained is what all processes know of a request.
type explained struct {
	Request   string            `json:"request"`
	Decisions []decision.Record `json:"decisions"`
	// Gaps name what may be missing, one in a sentence.
	Gaps []string `json:"gaps,omitempty"`
}

// Run shows the decisions about the request.
func (e explainCommand) Run(s *session) error {
	ctx, cancel := s.limited()
	defer cancel()
	result := e.collect(ctx, s)
	if len(result.Decisions) == 0 {
		return errors.Newf("no gateway that was asked has a decision about request %s%s", e.Request,
			strings.Join(lo.Map(result.Gaps, func(gap string, _ int) string { return "\n  " + gap }), ""))
	}
	return s.print(result, func(writer io.Writer) error { return printExplained(writer, result) })
}

// collect asks all processes and puts their decisions in order of time.
func (e explainCommand) collect(ctx context.Context, s *session) explained {
	processes, gaps := gatewayProcesses(ctx, s)
	answers := askAll(ctx, processes, func(ctx context.Context, client *adminapi.Client) (adminapi.Explanation, error) {
		return client.Explain(ctx, e.Request)
	})
	result := explained{Request: e.Request, Gaps: gaps}
	var records []decision.Record
	answered := make(map[string]bool)
	for _, answer := range answers {
		if answer.err == nil {
			answered[answer.value.Gateway] = true
			records = append(records, answer.value.Decisions...)
			result.Gaps = append(result.Gaps, forgotten(e.Request, answer.value)...)
		}
	}
	for _, answer := range answers {
		if answer.err != nil && !answered[answer.process.name] {
			result.Gaps = append(result.Gaps, answer.process.gap(answer.err))
		}
	}
	result.Decisions = inOrder(records)
	return result
}

// forgotten names a process that may have dropped decisions about a request, because it has none from that time.
func forgotten(request string, explanation adminapi.Explanation) []string {
	_, unique, _ := strings.Cut(request, "/")
	id, err := ulid.ParseStrict(unique)
	if err != nil || !explanation.KeptSince.After(ulid.Time(id.Time())) {
		return nil
	}
	return []string{fmt.Sprintf("%s has decisions only since %s, which is after the request came",
		explanation.Gateway, explanation.KeptSince.UTC().Format(time.RFC3339))}
}

// process is a gateway to ask.
type process struct {
	// name is empty for a given address whose gateway is not known yet.
	name    string
	address string
}

// gap tells why a process did not answer.
func (p process) gap(err error) string {
	if p.address == "" {
		return fmt.Sprintf("%s was not asked: its admin address is not known", p.name)
	}
	return fmt.Sprintf("%s at %s did not answer: %v", lo.CoalesceOrEmpty(p.name, "gateway"), p.address, err)
}

// gatewayProcesses returns the given addresses and all gateways that a gateway knows, and what is missing.
func gatewayProcesses(ctx context.Context, s *session) (processes []process, gaps []string) {
	gateways, err := s.client.Gateways(ctx)
	if err != nil {
		gaps = append(gaps, fmt.Sprintf("only the given gateways were asked, because none listed the others: %v", err))
	}
	processes = lo.Map(gateways, func(gateway adminapi.PeerStatus, _ int) process {
		return process{name: gateway.Name, address: gateway.AdminAddress}
	})
	listed := lo.Map(processes, func(each process, _ int) string { return each.address })
	for _, address := range s.client.Addresses() {
		if !lo.Contains(listed, address) {
			processes = append(processes, process{address: address})
		}
	}
	return processes, gaps
}

// answer of one process.
type answer[T any] struct {
	process process
	value   T
	err     error
}

// errNoAdminAddress is the error of a process whose address is not known.
var errNoAdminAddress = errors.New("its admin address is not known")

// askAll asks all processes at once, so that one that hangs costs its own time only.
func askAll[T any](ctx context.Context, processes []process, ask func(context.Context, *adminapi.Client) (T, error)) []answer[T] {
	answers := make([]answer[T], len(processes))
	var waiting sync.WaitGroup
	for index, each := range processes {
		answers[index] = answer[T]{process: each, err: errNoAdminAddress}
		if each.address == "" {
			continue
		}
		waiting.Go(func() {
			ctx, cancel := context.WithTimeout(ctx, processTimeout)
			defer cancel()
			answers[index].value, answers[index].err = ask(ctx, adminapi.NewClient([]string{each.address}, http.DefaultClient))
		})
	}
	waiting.Wait()
	return answers
}

// inOrder returns each record once, in order of time.
func inOrder(records []decision.Record) []decision.Record {
	records = lo.UniqBy(records, func(record decision.Record) string {
		return fmt.Sprintf("%s/%d/%d", record.Process, record.Sequence, record.Time.UnixNano())
	})
	slices.SortStableFunc(records, func(a, b decision.Record) int {
		return cmp.Or(a.Time.Compare(b.Time), cmp.Compare(a.Process, b.Process), cmp.Compare(a.Sequence, b.Sequence))
	})
	return records
}

func printExplained(writer io.Writer, result explained) error {
	fmt.Fprintf(writer, "request %s: %d decisions\n", result.Request, len(result.Decisions))
	for _, record := range result.Decisions {
		if err := printDecision(writer, record); err != nil {
			return err
		}
		if len(record.Inputs) > 0 {
			fmt.Fprintf(writer, "    inputs %s\n", pairs(record.Inputs))
		}
	}
	printList(writer, "gaps", result.Gaps)
	return nil
}

package operator

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/samber/lo"

	"github.com/granitebay/granitebay/internal/adminapi"
	"github.com/granitebay/granitebay/internal/decision"
)

// timeLayout of decisions.
const timeLayout = "15:04:05.000"

// decisionsCommand shows decisions of one router.
type decisionsCommand struct {
	Follow  bool   `help:"Go on showing decisions as they fall."`
	Kind    string `help:"Only this kind, for example route, dispatch, order or plan."`
	Engine  string `help:"Only decisions about this engine."`
	Group   string `help:"Only decisions about this group."`
	Request string `help:"Only decisions about this request."`
	Subject string `help:"Only decisions with exactly this subject."`
}

func (d decisionsCommand) filter() adminapi.DecisionFilter {
	return adminapi.DecisionFilter{Kind: d.Kind, Subject: d.Subject, Engine: d.Engine, Group: d.Group, Request: d.Request}
}

// Run shows the decisions.
func (d decisionsCommand) Run(s *session) error {
	if d.Follow {
		return d.follow(s)
	}
	ctx, cancel := s.limited()
	defer cancel()
	list, err := s.client.Decisions(ctx, d.filter())
	if err != nil {
		return err
	}
	return s.print(list, func(writer io.Writer) error {
		for _, record := range list.Decisions {
			if err := printDecision(writer, record); err != nil {
				return err
			}
		}
		return nil
	})
}

// follow shows decisions until the operator interrupts.
func (d decisionsCommand) follow(s *session) error {
	err := s.client.FollowDecisions(s.context, d.filter(), func(record decision.Record) error {
		return s.printStreamed(record)
	})
	if s.context.Err() != nil {
		return nil
	}
	return err
}

// printStreamed writes one decision of a stream: a line of JSON, a YAML document, or a line for people.
func (s *session) printStreamed(record decision.Record) error {
	switch s.output {
	case outputJSON:
		return json.NewEncoder(s.stdout).Encode(record)
	case outputYAML:
		fmt.Fprintln(s.stdout, "---")
		return printYAML(s.stdout, record)
	default:
		return printDecision(s.stdout, record)
	}
}

// printDecision writes one decision in a line.
func printDecision(writer io.Writer, record decision.Record) error {
	outcome := lo.Ternary(record.Outcome == "", "", " -> "+record.Outcome)
	_, err := fmt.Fprintf(writer, "%s %s %-13s %s%s: %s\n",
		record.Time.UTC().Format(timeLayout), record.Process, record.Kind, record.Subject, outcome, record.Reason)
	return err
}

// explainCommand shows all decisions about one request, from all routers that can be asked.
type explainCommand struct {
	Request string `arg:"" help:"Id of the request."`
}

// explained is what all routers know of a request.
type explained struct {
	Request   string            `json:"request"`
	Decisions []decision.Record `json:"decisions"`
	// Unasked are the routers that could not be asked.
	Unasked []string `json:"unasked,omitempty"`
}

// Run shows the decisions about the request.
func (e explainCommand) Run(s *session) error {
	ctx, cancel := s.limited()
	defer cancel()
	result := e.collect(ctx, s)
	if len(result.Decisions) == 0 {
		return errors.Newf("no router that was asked has a decision about request %s%s", e.Request,
			lo.Ternary(len(result.Unasked) == 0, "", "; not asked: "+strings.Join(result.Unasked, ", ")))
	}
	return s.print(result, func(writer io.Writer) error { return printExplained(writer, result) })
}

// collect asks every router for its decisions and puts them in order of time.
func (e explainCommand) collect(ctx context.Context, s *session) explained {
	result := explained{Request: e.Request}
	for _, address := range routerAddresses(ctx, s) {
		client := adminapi.NewClient([]string{address}, http.DefaultClient)
		explanation, err := client.Explain(ctx, e.Request)
		if err != nil {
			result.Unasked = append(result.Unasked, address)
			continue
		}
		result.Decisions = append(result.Decisions, explanation.Decisions...)
	}
	result.Decisions = lo.UniqBy(result.Decisions, func(record decision.Record) string {
		return fmt.Sprintf("%s/%d", record.Process, record.Sequence)
	})
	slices.SortStableFunc(result.Decisions, func(a, b decision.Record) int {
		return cmp.Or(a.Time.Compare(b.Time), cmp.Compare(a.Process, b.Process), cmp.Compare(a.Sequence, b.Sequence))
	})
	return result
}

// routerAddresses returns the given addresses and those of all routers that a router knows.
func routerAddresses(ctx context.Context, s *session) []string {
	addresses := slices.Clone(s.client.Addresses())
	routers, err := s.client.Routers(ctx)
	if err != nil {
		return addresses
	}
	for _, router := range routers {
		if router.AdminAddress != "" {
			addresses = append(addresses, router.AdminAddress)
		}
	}
	return lo.Uniq(addresses)
}

func printExplained(writer io.Writer, result explained) error {
	fmt.Fprintf(writer, "request %s: %d decisions\n", result.Request, len(result.Decisions))
	for _, record := range result.Decisions {
		if err := printDecision(writer, record); err != nil {
			return err
		}
		for _, candidate := range record.Candidates {
			fmt.Fprintf(writer, "    %s\n", describeCandidate(candidate))
		}
		if len(record.Inputs) > 0 {
			fmt.Fprintf(writer, "    inputs %s\n", pairs(record.Inputs))
		}
	}
	printList(writer, "routers that could not be asked", result.Unasked)
	return nil
}

func describeCandidate(candidate decision.Candidate) string {
	if candidate.FilteredBy != "" {
		return fmt.Sprintf("%s left out by %s", candidate.Name, candidate.FilteredBy)
	}
	return fmt.Sprintf("%s scored %.3f", candidate.Name, candidate.Score)
}

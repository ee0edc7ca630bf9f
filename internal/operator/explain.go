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

// gatewayTimeout limits how long one of several gateways may take to respond.
const gatewayTimeout = 5 * time.Second

// explainCommand shows all decisions about one request, from all gateways.
type explainCommand struct {
	Request string `arg:"" help:"Id of the request."`
}

// explainResult lists the decisions that the gateways retain about a request.
type explainResult struct {
	Request   string            `json:"request"`
	Decisions []decision.Record `json:"decisions"`
	// Gaps describe what may be missing, one sentence each.
	Gaps []string `json:"gaps,omitempty"`
}

// Run shows the decisions about the request.
func (e explainCommand) Run(s *session) error {
	ctx, cancel := s.withTimeout()
	defer cancel()
	result := e.collect(ctx, s)
	if len(result.Decisions) == 0 {
		return errors.Newf("no gateway has a decision about request %s%s", e.Request,
			strings.Join(lo.Map(result.Gaps, func(gap string, _ int) string { return "\n  " + gap }), ""))
	}
	return s.print(result, func(writer io.Writer) error { return printExplainResult(writer, result) })
}

// collect queries all gateways and merges their decisions in time order.
func (e explainCommand) collect(ctx context.Context, s *session) explainResult {
	targets, gaps := gatewayTargets(ctx, s)
	responses := queryAll(ctx, targets, func(ctx context.Context, client *adminapi.Client) (adminapi.Explanation, error) {
		return client.Explain(ctx, e.Request)
	})
	result := explainResult{Request: e.Request, Gaps: gaps}
	var records []decision.Record
	answered := make(map[string]bool)
	for _, response := range responses {
		if response.err == nil {
			answered[response.value.Gateway] = true
			records = append(records, response.value.Decisions...)
			result.Gaps = append(result.Gaps, retentionGap(e.Request, response.value)...)
		}
	}
	for _, response := range responses {
		if response.err != nil && !answered[response.target.name] {
			result.Gaps = append(result.Gaps, response.target.describeFailure(response.err))
		}
	}
	result.Decisions = sortUnique(records)
	return result
}

// retentionGap returns a gap if a gateway may have dropped decisions about a request, because the retained ones are
// newer.
func retentionGap(request string, explanation adminapi.Explanation) []string {
	_, unique, _ := strings.Cut(request, "/")
	id, err := ulid.ParseStrict(unique)
	if err != nil || !explanation.RetainedSince.After(ulid.Time(id.Time())) {
		return nil
	}
	return []string{fmt.Sprintf("%s has decisions only since %s, which is after the request arrived",
		explanation.Gateway, explanation.RetainedSince.UTC().Format(time.RFC3339))}
}

// gatewayTarget is a gateway to query.
type gatewayTarget struct {
	// name is empty for a given address whose gateway is not known.
	name    string
	address string
}

// describeFailure describes why a gateway did not respond.
func (t gatewayTarget) describeFailure(err error) string {
	if t.address == "" {
		return fmt.Sprintf("%s was not queried: its admin address is not known", t.name)
	}
	return fmt.Sprintf("%s at %s did not respond: %v", lo.CoalesceOrEmpty(t.name, "gateway"), t.address, err)
}

// gatewayTargets returns the gateways that the responding gateway lists, and the addresses given on the command line that are
// not among them. gaps says why others may be missing.
func gatewayTargets(ctx context.Context, s *session) (targets []gatewayTarget, gaps []string) {
	gateways, err := s.client.Gateways(ctx)
	if err != nil {
		gaps = append(gaps, fmt.Sprintf("only the given gateways were queried, because listing the others failed: %v", err))
	}
	targets = lo.Map(gateways, func(gateway adminapi.PeerStatus, _ int) gatewayTarget {
		return gatewayTarget{name: gateway.Name, address: gateway.AdminAddress}
	})
	listed := lo.Map(targets, func(each gatewayTarget, _ int) string { return each.address })
	for _, address := range s.client.Addresses() {
		if !lo.Contains(listed, address) {
			targets = append(targets, gatewayTarget{address: address})
		}
	}
	return targets, gaps
}

// response is the response of one gateway.
type response[T any] struct {
	target gatewayTarget
	value  T
	err    error
}

// errNoAdminAddress is the error for a gateway without a known admin address.
var errNoAdminAddress = errors.New("admin address is not known")

// queryAll queries all gateways in parallel, so that a slow one does not delay the others.
func queryAll[T any](ctx context.Context, targets []gatewayTarget, query func(context.Context, *adminapi.Client) (T, error)) []response[T] {
	responses := make([]response[T], len(targets))
	var group sync.WaitGroup
	for index, target := range targets {
		responses[index] = response[T]{target: target, err: errNoAdminAddress}
		if target.address == "" {
			continue
		}
		group.Go(func() {
			ctx, cancel := context.WithTimeout(ctx, gatewayTimeout)
			defer cancel()
			responses[index].value, responses[index].err = query(ctx, adminapi.NewClient([]string{target.address}, http.DefaultClient))
		})
	}
	group.Wait()
	return responses
}

// sortUnique returns the records in time order without duplicates.
func sortUnique(records []decision.Record) []decision.Record {
	records = lo.UniqBy(records, func(record decision.Record) string {
		return fmt.Sprintf("%s/%d/%d", record.Process, record.Sequence, record.Time.UnixNano())
	})
	slices.SortStableFunc(records, func(a, b decision.Record) int {
		return cmp.Or(a.Time.Compare(b.Time), cmp.Compare(a.Process, b.Process), cmp.Compare(a.Sequence, b.Sequence))
	})
	return records
}

func printExplainResult(writer io.Writer, result explainResult) error {
	fmt.Fprintf(writer, "request %s: %d decisions\n", result.Request, len(result.Decisions))
	for _, record := range result.Decisions {
		if err := printDecision(writer, record); err != nil {
			return err
		}
		if len(record.Inputs) > 0 {
			fmt.Fprintf(writer, "    inputs %s\n", formatLabels(record.Inputs))
		}
	}
	printList(writer, "gaps", result.Gaps)
	return nil
}

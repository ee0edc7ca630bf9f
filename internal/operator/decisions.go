package operator

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"sync"

	"github.com/cockroachdb/errors"
	"github.com/samber/lo"

	"github.com/granitebay/granitebay/internal/adminapi"
	"github.com/granitebay/granitebay/internal/decision"
)

const (
	// timeLayout is the time format of decisions.
	timeLayout = "15:04:05.000"
	// defaultFollowHistory is how many earlier decisions --follow shows by default.
	defaultFollowHistory = 20
	// streamOverlap is the number of retained decisions of each kind with which a stream begins, so that none made after the
	// list was read is missed.
	streamOverlap = 1000
	// streamBuffer limits the decisions that wait to be printed.
	streamBuffer = 1024
)

// decisionsCommand shows the decisions of all gateways, or of one.
type decisionsCommand struct {
	Follow      bool   `help:"Show new decisions continuously." short:"f"`
	Last        int    `help:"Show only this many of the latest; by default all retained ones, or 20 with --follow."`
	ThisGateway bool   `help:"Only decisions of the gateway that responds, not of all gateways."`
	Kind        string `help:"Only this kind, for example request, refusal or role."`
	Worker      string `help:"Only decisions about this worker."`
	Group       string `help:"Only decisions about this group."`
	Request     string `help:"Only decisions about this request."`
	Subject     string `help:"Only decisions with exactly this subject."`
}

// Validate implements the validation hook of kong.
func (d decisionsCommand) Validate() error {
	if d.Last < 0 {
		return errors.Newf("--last is %d, must be 0 or more", d.Last)
	}
	if d.Kind != "" && !slices.Contains(decision.Kinds, decision.Kind(d.Kind)) {
		names := lo.Map(decision.Kinds, func(kind decision.Kind, _ int) string { return string(kind) })
		return errors.Newf("--kind: no kind %q; the kinds are %s", d.Kind, strings.Join(names, ", "))
	}
	return nil
}

func (d decisionsCommand) filter() adminapi.DecisionFilter {
	return adminapi.DecisionFilter{Kind: d.Kind, Subject: d.Subject, Worker: d.Worker, Group: d.Group, Request: d.Request}
}

// Run shows the decisions.
func (d decisionsCommand) Run(s *session) error {
	records, err := d.list(s)
	if err != nil {
		return err
	}
	if d.Follow {
		return d.follow(s, records)
	}
	if len(records) == 0 {
		fmt.Fprintln(s.stderr, "no matching decisions")
	}
	return s.print(adminapi.DecisionList{Decisions: d.latest(records, d.Last)}, func(writer io.Writer) error {
		for _, record := range d.latest(records, d.Last) {
			if err := printDecision(writer, record); err != nil {
				return err
			}
		}
		return nil
	})
}

// latest returns the last records, or all if last is zero.
func (d decisionsCommand) latest(records []decision.Record, last int) []decision.Record {
	if last == 0 || len(records) <= last {
		return records
	}
	return records[len(records)-last:]
}

// list returns the retained decisions in time order. Gateways that did not respond are listed on standard error.
func (d decisionsCommand) list(s *session) ([]decision.Record, error) {
	ctx, cancel := s.withTimeout()
	defer cancel()
	if d.ThisGateway {
		list, err := s.client.Decisions(ctx, d.filter())
		return list.Decisions, err
	}
	targets, gaps := gatewayTargets(ctx, s)
	responses := queryAll(ctx, targets, func(ctx context.Context, client *adminapi.Client) (adminapi.DecisionList, error) {
		return client.Decisions(ctx, d.filter())
	})
	var records []decision.Record
	failures := 0
	for _, response := range responses {
		if response.err != nil {
			failures++
			gaps = append(gaps, response.target.describeFailure(response.err))
		}
		records = append(records, response.value.Decisions...)
	}
	if failures == len(responses) {
		return nil, errors.Newf("no gateway responded: %s", strings.Join(gaps, "; "))
	}
	printList(s.stderr, "missing", gaps)
	return sortUnique(records), nil
}

// follow shows the latest decisions and then new ones, until the command is interrupted.
func (d decisionsCommand) follow(s *session, initial []decision.Record) error {
	seen := make(map[string]decision.Record)
	for _, record := range initial {
		seen[record.Process] = record
	}
	for _, record := range d.latest(initial, lo.CoalesceOrEmpty(d.Last, defaultFollowHistory)) {
		if err := s.printStreamed(record); err != nil {
			return err
		}
	}
	records, ended := d.streams(s)
	for {
		select {
		case <-s.context.Done():
			return nil
		case err := <-ended:
			if err != nil {
				return err
			}
		case record := <-records:
			// A process that was restarted numbers its decisions from 1 again, with later times.
			if last, found := seen[record.Process]; found && record.Sequence <= last.Sequence && !record.Time.After(last.Time) {
				continue
			}
			seen[record.Process] = record
			if err := s.printStreamed(record); err != nil {
				return err
			}
		}
	}
}

// streams follows all gateways. The second channel receives an error once no stream is left.
func (d decisionsCommand) streams(s *session) (<-chan decision.Record, <-chan error) {
	records, ended := make(chan decision.Record, streamBuffer), make(chan error, 1)
	targets := []gatewayTarget{}
	if !d.ThisGateway {
		targets, _ = gatewayTargets(s.context, s)
	}
	clients := lo.Map(targets, func(each gatewayTarget, _ int) *adminapi.Client {
		return adminapi.NewClient([]string{each.address}, http.DefaultClient)
	})
	if len(clients) == 0 {
		clients = append(clients, s.client)
	}
	var group sync.WaitGroup
	for _, client := range clients {
		group.Go(func() {
			err := d.stream(s, client, records)
			if s.context.Err() == nil {
				fmt.Fprintf(s.stderr, "decisions of %s are missing from now on: %v\n", strings.Join(client.Addresses(), ", "), err)
			}
		})
	}
	go func() {
		group.Wait()
		ended <- errors.New("all decision streams have ended")
	}()
	return records, ended
}

// stream sends the decisions of one gateway to a channel.
func (d decisionsCommand) stream(s *session, client *adminapi.Client, records chan<- decision.Record) error {
	filter := adminapi.StreamFilter{DecisionFilter: d.filter(), Latest: streamOverlap}
	return client.Follow(s.context, filter, adminapi.StreamHandler{Decision: func(record decision.Record) error {
		select {
		case records <- record:
			return nil
		case <-s.context.Done():
			return s.context.Err()
		}
	}})
}

// printStreamed writes one decision of a stream: a line of JSON, a YAML document, or a line of text.
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

// printDecision writes one decision as a line of text.
func printDecision(writer io.Writer, record decision.Record) error {
	outcome := lo.Ternary(record.Outcome == "", "", " -> "+record.Outcome)
	_, err := fmt.Fprintf(writer, "%s %s %-13s %s%s: %s\n",
		record.Time.UTC().Format(timeLayout), record.Process, record.Kind, record.Subject, outcome, record.Reason)
	return err
}

package operator

import (
	"context"
	"fmt"
	"io"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/oklog/ulid/v2"
	"github.com/samber/lo"

	"github.com/granitebay/granitebay/internal/adminapi"
	"github.com/granitebay/granitebay/internal/configuration"
)

// rolloutPollInterval is how often the rollout of a revision is checked.
const rolloutPollInterval = 200 * time.Millisecond

// editFlags are the flags of all commands that edit the configuration.
type editFlags struct {
	Author   string        `help:"Author of the edit, recorded in the history." env:"USER"`
	ChangeID string        `help:"Change id of an earlier attempt whose outcome is unknown; by default a new one."`
	DryRun   bool          `help:"Only show what the edit would do."`
	Wait     time.Duration `help:"Wait up to this long until all gateways use the edit."`
}

// propose proposes an edit and prints the result.
func (f editFlags) propose(s *session, ctx context.Context, base uint64, edits []configuration.Edit) error {
	request := configuration.EditRequest{ChangeID: f.ChangeID, Author: f.Author, BaseRevision: base, Edits: edits}
	if request.ChangeID == "" {
		request.ChangeID = ulid.Make().String()
	}
	result, err := s.client.Edit(ctx, request, f.DryRun)
	if err != nil {
		return errors.Wrapf(err, "propose edit %s", request.ChangeID)
	}
	if err := s.print(result, func(writer io.Writer) error { return printResult(writer, result) }); err != nil {
		return err
	}
	if err := resultError(result); err != nil {
		return err
	}
	if f.DryRun || f.Wait <= 0 {
		return nil
	}
	return waitForRollout(s, result.Revision, f.Wait)
}

// printResult writes the result of an edit as text.
func printResult(writer io.Writer, result adminapi.EditResult) error {
	switch result.Outcome {
	case adminapi.EditAccepted:
		fmt.Fprintf(writer, "accepted as revision %d (change %s)\n", result.Revision, result.ChangeID)
	case adminapi.EditUnchanged:
		fmt.Fprintf(writer, "nothing to change; the revision is still %d\n", result.Revision)
	case adminapi.EditPreview:
		printConsequences(writer, *result.Consequences)
	}
	return nil
}

func printConsequences(writer io.Writer, consequences configuration.Consequences) {
	if len(consequences.Differences) == 0 {
		fmt.Fprintln(writer, "nothing would change")
	}
	printList(writer, "changes", consequences.Differences)
	printList(writer, "workers that change groups", consequences.WorkerMoves)
	printList(writer, "requests that change rules", consequences.RequestMoves)
	printList(writer, "warnings", consequences.Warnings)
}

// resultError returns why an edit was not accepted, or nil.
func resultError(result adminapi.EditResult) error {
	switch result.Outcome {
	case adminapi.EditAccepted, adminapi.EditUnchanged, adminapi.EditPreview:
		return nil
	case adminapi.EditInvalid:
		if len(result.Faults) > 0 {
			return validationError("the edit is not valid", result.Faults)
		}
		return badInput(errors.New(result.Error))
	case adminapi.EditConflict:
		return conflictError(result)
	case adminapi.EditUnknown:
		return errors.Newf("the outcome of edit %[2]s is unknown: %[1]s; run the same command again with --change-id %[2]s", result.Error, result.ChangeID)
	default:
		return errors.Newf("edit %s was not accepted: %s", result.ChangeID, result.Error)
	}
}

// conflictError returns an error that lists each conflicting field and the other edit.
func conflictError(result adminapi.EditResult) error {
	lines := []string{result.Error}
	for _, conflict := range result.Conflicts {
		lines = append(lines, "  "+conflict.String())
	}
	return errors.New(strings.Join(lines, "\n"))
}

// validationError returns an error that lists validation errors, one per line.
func validationError(heading string, faults configuration.FieldErrors) error {
	lines := []string{fmt.Sprintf("%s: %d errors", heading, len(faults))}
	for _, fault := range faults {
		lines = append(lines, "  "+fault.Error())
	}
	return badInput(errors.New(strings.Join(lines, "\n")))
}

// waitForRollout waits until all gateways use a revision.
func waitForRollout(s *session, revision uint64, wait time.Duration) error {
	ctx, cancel := context.WithTimeout(s.context, wait)
	defer cancel()
	for {
		status := queryRollout(ctx, s)
		if status.Gateways > 0 && !status.incomplete && status.OldestInUse >= revision {
			fmt.Fprintf(s.stderr, "revision %d is in use by all gateways\n", revision)
			return nil
		}
		select {
		case <-ctx.Done():
			return errors.Newf("revision %d was accepted, but after %s not all gateways are known to use it; see %s config status", revision, wait, Name)
		case <-time.After(rolloutPollInterval):
		}
	}
}

// labelCommand sets and removes labels.
type labelCommand struct {
	Worker labelWorkerCommand `cmd:"" help:"Set or remove labels of one worker: KEY=VALUE sets, KEY- removes."`
}

type labelWorkerCommand struct {
	editFlags
	Name   string   `arg:"" help:"Address of the worker, host:port."`
	Labels []string `arg:"" help:"KEY=VALUE to set a label, KEY- to remove it." placeholder:"KEY=VALUE|KEY-"`
}

// Run edits the labels of a worker.
func (l labelWorkerCommand) Run(s *session) error {
	edits, err := labelEdits(l.Name, l.Labels)
	if err != nil {
		return badInput(err)
	}
	ctx, cancel := s.withTimeout()
	defer cancel()
	document, err := s.client.Configuration(ctx)
	if err != nil {
		return err
	}
	if workers, err := s.client.Workers(ctx); err == nil && !lo.ContainsBy(workers, func(each adminapi.WorkerStatus) bool { return each.Address == l.Name }) {
		fmt.Fprintf(s.stderr, "note: no worker at %s is known; the labels take effect when it appears\n", l.Name)
	}
	return l.propose(s, ctx, document.Revision, edits)
}

// labelEdits parses KEY=VALUE and KEY- arguments.
func labelEdits(workerName string, arguments []string) ([]configuration.Edit, error) {
	var edits []configuration.Edit
	for _, argument := range arguments {
		key, value, isSet := strings.Cut(argument, "=")
		removedKey, isRemoval := strings.CutSuffix(argument, "-")
		switch {
		case isSet && key != "":
			edits = append(edits, configuration.SetLabel(workerName, key, value))
		case !isSet && isRemoval && removedKey != "":
			edits = append(edits, configuration.RemoveLabel(workerName, removedKey))
		default:
			return nil, errors.Newf("%q is neither KEY=VALUE nor KEY-", argument)
		}
	}
	return edits, nil
}

package operator

import (
	"context"
	"fmt"
	"io"
	"os"

	"github.com/cockroachdb/errors"

	"github.com/granitebay/granitebay/internal/configuration"
)

// fileFlag is the flag for a configuration file.
type fileFlag struct {
	File string `help:"Configuration file, YAML or JSON; - for standard input." short:"f" required:"" placeholder:"FILE"`
}

// read reads and validates the file. The error lists all errors of the file.
func (f fileFlag) read() (configuration.Document, error) {
	data, err := f.data()
	if err != nil {
		return configuration.Document{}, badInput(errors.Wrapf(err, "read the configuration from %s", f.File))
	}
	document, faults := configuration.ParseAndValidate(data)
	if len(faults) > 0 {
		return configuration.Document{}, validationError(f.File+" is not valid", faults)
	}
	return document, nil
}

func (f fileFlag) data() ([]byte, error) {
	if f.File == "-" {
		return io.ReadAll(os.Stdin)
	}
	return os.ReadFile(f.File)
}

// baseRevision returns the revision that a file is based on: the one in its status, or the current one if it has none.
func baseRevision(s *session, ctx context.Context, document configuration.Document) (uint64, error) {
	if document.Revision > 0 {
		return document.Revision, nil
	}
	current, err := s.client.Configuration(ctx)
	return current.Revision, err
}

// applyCommand applies the configuration in a file. Edits made by others since the revision in the file's status are
// kept if they touch other fields.
type applyCommand struct {
	fileFlag
	editFlags
}

// Run applies the file.
func (a applyCommand) Run(s *session) error {
	document, err := a.read()
	if err != nil {
		return err
	}
	ctx, cancel := s.withTimeout()
	defer cancel()
	revision, err := baseRevision(s, ctx, document)
	if err != nil {
		return err
	}
	return a.propose(s, ctx, revision, []configuration.Edit{configuration.Apply(document.Spec)})
}

// diffCommand shows what applying a file would change.
type diffCommand struct{ fileFlag }

// Run previews the file.
func (d diffCommand) Run(s *session) error {
	return applyCommand{fileFlag: d.fileFlag, editFlags: editFlags{DryRun: true}}.Run(s)
}

// validateCommand validates a file.
type validateCommand struct{ fileFlag }

// Run validates the file.
func (v validateCommand) Run(s *session) error {
	document, err := v.read()
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(s.stdout, "%s is valid: %d groups, %d rules, labels on %d workers\n",
		v.File, len(document.Groups), len(document.Rules), len(document.WorkerLabels))
	return err
}

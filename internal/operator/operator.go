// Package operator implements the command-line tool for operators. It talks to any gateway, and changes the fleet only
// by editing the configuration and by releasing barred requests.
package operator

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/alecthomas/kong"
	"github.com/cockroachdb/errors"

	"github.com/granitebay/granitebay/internal/adminapi"
	"github.com/granitebay/granitebay/internal/command"
)

// Name is the name of the program.
const Name = "granitebay"

// description is the first paragraph of the help.
const description = "Shows the fleet and changes its labels, groups and rules."

// cli defines the command line.
type cli struct {
	Gateway []string      `help:"Addresses (host:port) of the admin API of gateways; they are tried in order until one is ready." default:"127.0.0.1:9464" env:"GRANITEBAY_GATEWAY" sep:"," placeholder:"HOST:PORT"`
	Output  string        `help:"Output format: table, json or yaml." short:"o" enum:"table,json,yaml" default:"table"`
	Timeout time.Duration `help:"Time limit for one command." default:"30s"`

	Status    statusCommand    `cmd:"" help:"Show the status of the fleet."`
	Get       getCommand       `cmd:"" help:"Show workers, groups, rules, gateways, tenants, barred requests, capacity, queues, usage or the configuration."`
	Label     labelCommand     `cmd:"" help:"Set or remove labels."`
	Apply     applyCommand     `cmd:"" help:"Apply the configuration in a file."`
	Diff      diffCommand      `cmd:"" help:"Show what applying a file would change."`
	Validate  validateCommand  `cmd:"" help:"Validate a file without contacting a gateway."`
	Config    configCommand    `cmd:"" help:"Show the rollout of the configuration, or its edits."`
	Decisions decisionsCommand `cmd:"" help:"Show decisions of the gateways and their reasons."`
	Explain   explainCommand   `cmd:"" help:"Show all decisions about one request, from all gateways."`
	Release   releaseCommand   `cmd:"" help:"Allow a barred request to be sent to workers again."`
	Version   versionCommand   `cmd:"" help:"Print the version."`

	Order    unsupportedCommand `cmd:"" hidden:""`
	Drain    unsupportedCommand `cmd:"" hidden:""`
	Restart  unsupportedCommand `cmd:"" hidden:""`
	Cordon   unsupportedCommand `cmd:"" hidden:""`
	Uncordon unsupportedCommand `cmd:"" hidden:""`
	Stop     unsupportedCommand `cmd:"" hidden:""`
}

// session holds what commands need.
type session struct {
	context context.Context
	client  *adminapi.Client
	stdout  io.Writer
	stderr  io.Writer
	output  outputFormat
	timeout time.Duration
}

// withTimeout returns a context with the time limit of one command.
func (s *session) withTimeout() (context.Context, context.CancelFunc) {
	return context.WithTimeout(s.context, s.timeout)
}

// inputError is an error caused by invalid input. The command had no effect.
type inputError struct{ cause error }

// Error implements error.
func (e *inputError) Error() string { return e.cause.Error() }

// Unwrap returns the cause.
func (e *inputError) Unwrap() error { return e.cause }

// badInput marks an error as caused by invalid input.
func badInput(cause error) error { return &inputError{cause: cause} }

// parserExit is the panic value with which the parser ends the program, for example after printing the help.
type parserExit struct{ code int }

// Run runs a command line, given without the program name, and returns the exit code.
func Run(ctx context.Context, arguments []string, stdout, stderr io.Writer) (code int) {
	defer func() {
		if value := recover(); value != nil {
			request, ok := value.(parserExit)
			if !ok {
				panic(value)
			}
			code = request.code
		}
	}()
	var parsed cli
	parser, err := newParser(&parsed, stdout, stderr)
	if err != nil {
		return report(stderr, err)
	}
	kctx, err := parser.Parse(arguments)
	if err != nil {
		return report(stderr, badInput(errors.Newf("%s (try %s --help)", err, Name)))
	}
	current := &session{
		context: ctx, client: adminapi.NewClient(parsed.Gateway, http.DefaultClient),
		stdout: stdout, stderr: stderr, output: outputFormat(parsed.Output), timeout: parsed.Timeout,
	}
	return report(stderr, kctx.Run(current))
}

func newParser(parsed *cli, stdout, stderr io.Writer) (*kong.Kong, error) {
	return kong.New(parsed,
		kong.Name(Name),
		kong.Description(description+"\n\n"+command.ExitCodes),
		kong.Writers(stdout, stderr),
		kong.Exit(func(code int) { panic(parserExit{code: code}) }),
	)
}

// report prints an error and returns its exit code.
func report(stderr io.Writer, err error) int {
	if err == nil {
		return command.ExitOK
	}
	fmt.Fprintf(stderr, "%s: %v\n", Name, err)
	var input *inputError
	if errors.As(err, &input) {
		return command.ExitBadInput
	}
	return command.ExitFailed
}

// versionCommand prints the version.
type versionCommand struct{}

// Run prints the version.
func (versionCommand) Run(s *session) error {
	_, err := fmt.Fprintln(s.stdout, Name, command.Version())
	return err
}

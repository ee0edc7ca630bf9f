// Package processtest runs a whole fleet as separate processes on loopback: the platform stand-in, engine stand-ins,
// routers and agents. Tests and benchmarks start it, stop, freeze and kill its processes, and call its agents.
package processtest

import (
	"context"
	"os/exec"
	"path/filepath"

	"github.com/cockroachdb/errors"
	"github.com/samber/lo"
)

// commandPath is the import path of the programs.
const commandPath = "github.com/granitebay/granitebay/cmd/"

// The programs of a fleet.
const (
	programLab    = "granitebay-lab"
	programRouter = "granitebay-router"
	programAgent  = "granitebay-agent"
)

// Programs are the built programs.
type Programs struct{ directory string }

// Build builds the programs into a directory. The working directory must be within the module.
func Build(ctx context.Context, directory string) (Programs, error) {
	packages := lo.Map([]string{programLab, programRouter, programAgent}, func(name string, _ int) string { return commandPath + name })
	arguments := append([]string{"build", "-o", directory + string(filepath.Separator)}, packages...)
	output, err := exec.CommandContext(ctx, "go", arguments...).CombinedOutput()
	return Programs{directory: directory}, errors.Wrapf(err, "step build the programs: %s", output)
}

func (p Programs) path(name string) string { return filepath.Join(p.directory, name) }

package soak

import "fmt"

// GatewayUpgrade replaces all gateways one after the other by those of another build: each is stopped as planned and started with the other
// program.
type GatewayUpgrade struct{ Build Build }

// Build is one of the two programs of a soak that changes between them.
type Build string

// The builds.
const (
	BuildPrevious Build = "build before"
	BuildCurrent  Build = "build now"
)

func (GatewayUpgrade) isFault() {}

func (f GatewayUpgrade) String() string {
	return fmt.Sprintf("all gateways are replaced by those of the %s one after the other", f.Build)
}

// builds are the programs between which a soak changes to and fro; without one before there is nothing to change.
type builds struct{ previous, current string }

// first returns the program with which all gateways begin.
func (b builds) initial() string {
	if b.previous != "" {
		return b.previous
	}
	return b.current
}

// upgrade returns the replacement of a round, or nothing.
func (b builds) upgrade(number int) []ScheduledFault {
	if b.previous == "" {
		return nil
	}
	build := BuildCurrent
	if number%2 == 1 {
		build = BuildPrevious
	}
	return []ScheduledFault{{Fault: GatewayUpgrade{build}}}
}

// replaceGateways replaces the gateways one after the other.
func (s *system) replaceGateways(f GatewayUpgrade) {
	program := s.builds.current
	if f.Build == BuildPrevious {
		program = s.builds.previous
	}
	s.background.Go(func() {
		for _, g := range s.gateways {
			_ = g.stop()
			g.setBinary(program)
			_ = g.start()
		}
	})
}

// setProgram has the gateway run another program from its next start on.
func (g *gatewayProcess) setBinary(program string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.binary = program
}

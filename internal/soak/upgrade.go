package soak

import "fmt"

// GatewayUpgrade performs a rolling replacement of all gateways: each is shut down gracefully and started with the other binary.
type GatewayUpgrade struct{ Build Build }

// Build is one of the two binaries of a rolling upgrade.
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

// builds holds the gateway binaries. Upgrades are disabled if previous is empty.
type builds struct{ previous, current string }

// initial returns the binary with which all gateways start.
func (b builds) initial() string {
	if b.previous != "" {
		return b.previous
	}
	return b.current
}

// upgrade returns the rolling replacement of a round, if upgrades are enabled.
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
	binary := s.builds.current
	if f.Build == BuildPrevious {
		binary = s.builds.previous
	}
	s.background.Go(func() {
		for _, g := range s.gateways {
			_ = g.stop()
			g.setBinary(binary)
			_ = g.start()
		}
	})
}

// setBinary sets the binary that the next start of the gateway uses.
func (g *gatewayProcess) setBinary(binary string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.binary = binary
}

package simulation

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/samber/lo"
)

// FaultKind names a kind of fault.
type FaultKind string

// The kinds of faults that can be chosen.
const (
	// FaultKill ends a process, which loses all its memory, and starts it again later under the same name.
	FaultKill FaultKind = "kill"
	// FaultPause stops a process, often for longer than its lease, and lets it go on without telling it.
	FaultPause FaultKind = "pause"
	// FaultCut stops messages in one direction or both, between two processes, two zones, or one and all others.
	FaultCut FaultKind = "cut"
	// FaultStoreOutage makes the platform refuse, hang, answer slowly or limit the rate.
	FaultStoreOutage FaultKind = "store-outage"
	// FaultLostAnswer loses answers of the platform to requests that took effect.
	FaultLostAnswer FaultKind = "lost-answer"
	// FaultOperators lets two operators edit the configuration at the same moments.
	FaultOperators FaultKind = "operators"
	// FaultEngineCrash ends an engine, at any moment or midway through a change, and starts it again later.
	FaultEngineCrash FaultKind = "engine-crash"
	// FaultStaleLoad makes load reports, cache events and the membership list very late.
	FaultStaleLoad FaultKind = "stale-load"
	// FaultPlannedStop is a planned stop of a process or a machine. Every run has some; they cannot be chosen.
	FaultPlannedStop FaultKind = "planned-stop"
)

// FaultKinds lists the kinds that can be chosen.
func FaultKinds() []FaultKind {
	return []FaultKind{FaultKill, FaultPause, FaultCut, FaultStoreOutage, FaultLostAnswer, FaultOperators,
		FaultEngineCrash, FaultStaleLoad}
}

// allFaults is the name of all kinds together.
const allFaults = "all"

// ErrFaultKind is the error for a kind of fault that does not exist.
var ErrFaultKind = errors.New("unknown kind of fault")

// ParseFaultKinds reads "all" or a list of kinds with commas between them. Kinds given twice count once.
func ParseFaultKinds(text string) ([]FaultKind, error) {
	if strings.TrimSpace(text) == allFaults {
		return FaultKinds(), nil
	}
	var kinds []FaultKind
	for _, part := range strings.Split(text, ",") {
		kind := FaultKind(strings.TrimSpace(part))
		if !slices.Contains(FaultKinds(), kind) {
			return nil, errors.Wrapf(ErrFaultKind, "--faults: %q is not one of %s, or %q alone", string(kind),
				joinKinds(FaultKinds()), allFaults)
		}
		kinds = append(kinds, kind)
	}
	chosen := lo.Uniq(kinds)
	return lo.Filter(FaultKinds(), func(kind FaultKind, _ int) bool { return slices.Contains(chosen, kind) }), nil
}

// joinKinds renders kinds with commas between them.
func joinKinds(kinds []FaultKind) string {
	return strings.Join(lo.Map(kinds, func(kind FaultKind, _ int) string { return string(kind) }), ",")
}

// Variant is the form of a fault within its kind.
type Variant string

// The variants.
const (
	VariantNone Variant = ""

	VariantOneWay       Variant = "one-way"
	VariantBothWays     Variant = "both-ways"
	VariantZoneOneWay   Variant = "zones-one-way"
	VariantZoneBothWays Variant = "zones-both-ways"
	VariantIsolated     Variant = "isolated"
	VariantFromPlatform Variant = "from-platform"

	VariantDown        Variant = "down"
	VariantSilent      Variant = "silent"
	VariantSlow        Variant = "slow"
	VariantRateLimited Variant = "rate-limited"

	// VariantMidOrder hits the first router that sends an order, VariantMidRecord the first that commits the record of an
	// engine, and VariantMidEdit the first that writes the configuration. What it sends is still in its buffers when it is
	// paused, and just on its way when it is killed.
	VariantMidOrder  Variant = "mid-order"
	VariantMidRecord Variant = "mid-record"
	VariantMidEdit   Variant = "mid-edit"

	VariantAnyMoment Variant = "any-moment"
	VariantMidChange Variant = "mid-change"

	VariantStopProcess  Variant = "process"
	VariantEngineLeaves Variant = "engine-leaves"
)

// Fault is one fault of a schedule.
type Fault struct {
	Kind    FaultKind
	Variant Variant
	// From is when it sets in and Until when it heals.
	From, Until time.Duration
	// Target is the process, engine or zone that it hits; empty when it hits the platform.
	Target string
	// Other is the second process or zone of a cut.
	Other string
}

// String describes the fault in one line.
func (f Fault) String() string {
	parts := lo.Compact([]string{string(f.Kind), string(f.Variant), f.Target, f.Other})
	return fmt.Sprintf("%s from %v to %v", strings.Join(parts, " "), f.From, f.Until)
}

// about names what the fault hits.
func (f Fault) about() []string { return lo.Compact([]string{f.Target, f.Other}) }

// planned tells whether the system is told of the fault beforehand, so that it may harm nobody.
func (f Fault) planned() bool { return f.Kind == FaultPlannedStop || f.Kind == FaultOperators }

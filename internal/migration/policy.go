package migration

import "time"

// Settings configure a Policy.
type Settings struct {
	// MinLossPerGigabyte is the probability of losing the engine from which a copy of a gigabyte is worth its transfer. It is proportional to
	// the size of the copy.
	MinLossPerGigabyte float64
	// MinExpected is the shortest expected duration of a run that gets a copy: the copy arrives some tenths of a second after the start.
	MinExpected time.Duration
	// MaxCopyBytes bounds the bytes of all copies of this gateway together; zero allows none.
	MaxCopyBytes int64
	// MinRestart is the shortest time before the deadline that is worth continuing elsewhere.
	MinRestart time.Duration
	// Recheck is the time after which a stalled run that could not be continued is decided on again.
	Recheck time.Duration
}

// DefaultSettings returns the default settings with a bound on the bytes of all copies.
func DefaultSettings(maxCopyBytes int64) Settings {
	return Settings{
		MinLossPerGigabyte: 0.05, MinExpected: 200 * time.Millisecond, MaxCopyBytes: maxCopyBytes, MinRestart: 150 * time.Millisecond,
		Recheck: 200 * time.Millisecond,
	}
}

// Policy decides on the runs of one gateway. It is a pure state machine and not safe for concurrent use.
//
// Invariants: the copies in use never exceed MaxCopyBytes, nor their number the limit at the time of the last one; a run that may be resumed
// gets no copy.
type Policy struct {
	settings Settings
	risk     *Risk
	// copyBytes is the size of the copies in use, and copyCount their number.
	copyBytes int64
	copyCount int
	// durations holds the smoothed durations of complete runs by rule.
	durations map[string]time.Duration
	totals    Totals
}

// Totals counts what the policy decided since the start.
type Totals struct {
	// Copies is the number of copies, and CopyBytes their expected size. CopiesOverLimit counts the copies that a limit prevented.
	Copies, CopyBytes, CopiesOverLimit int64
	// CopyBytesInUse is the expected size of the copies of current runs.
	CopyBytesInUse int64
}

// NewPolicy returns a Policy without copies.
func NewPolicy(settings Settings) *Policy {
	return &Policy{settings: settings, risk: NewRisk(), durations: map[string]time.Duration{}}
}

// durationWeight is the weight of a new duration in the mean.
const durationWeight = 0.1

// ObserveRun records how long a complete run of a rule took.
func (p *Policy) ObserveRun(rule string, took time.Duration) {
	mean, found := p.durations[rule]
	if !found {
		mean = took
	}
	p.durations[rule] = mean + time.Duration(durationWeight*float64(took-mean))
}

// Expected returns the expected duration of a run that is about to start, zero if none of its rule has been observed.
func (p *Policy) Expected(now time.Time, run Run) time.Duration {
	return min(p.durations[run.Rule], run.Deadline.Sub(now))
}

// Risk returns the risk of the engines.
func (p *Policy) Risk() *Risk { return p.risk }

// Totals returns the counts.
func (p *Policy) Totals() Totals {
	totals := p.totals
	totals.CopyBytesInUse = p.copyBytes
	return totals
}

// Copy is a copy that a run should get.
type Copy struct {
	// Bytes is the expected size of the copy, which counts until Release.
	Bytes int64
	// OtherZone is set if the copy should be kept in another zone, because the ends are concentrated in that of the engine.
	OtherZone bool
}

// Copy decides whether a run that is about to start gets a copy, and reserves its bytes. MaxCopies bounds the copies in use: each copy is
// transferred in several parts a second, which delay the other transfers of both engines.
func (p *Policy) Copy(now time.Time, run Run, bytesPerToken, maxCopies int) (Copy, bool) {
	expected := p.Expected(now, run)
	if run.Resumable || run.Tokens <= 0 || bytesPerToken <= 0 || expected < p.settings.MinExpected {
		return Copy{}, false
	}
	bytes := int64(run.Tokens) * int64(bytesPerToken)
	probability, zonal := p.risk.Estimate(now, run.Group, run.Zone, expected)
	if probability <= 0 || probability < p.settings.MinLossPerGigabyte*float64(bytes)/bytesPerGigabyte {
		return Copy{}, false
	}
	if p.settings.MaxCopyBytes == 0 {
		return Copy{}, false
	}
	if p.copyBytes+bytes > p.settings.MaxCopyBytes || p.copyCount >= maxCopies {
		p.totals.CopiesOverLimit++
		return Copy{}, false
	}
	p.copyBytes += bytes
	p.copyCount++
	p.totals.Copies++
	p.totals.CopyBytes += bytes
	return Copy{Bytes: bytes, OtherZone: zonal}, true
}

const bytesPerGigabyte = 1e9

// Release frees the bytes of a copy whose run has ended.
func (p *Policy) Release(held Copy) {
	p.copyBytes -= held.Bytes
	p.copyCount--
}

// Means says what could continue a run now.
type Means struct {
	// Retry is set if the budget of retries allows another attempt.
	Retry bool
	// Elsewhere is set if another engine could resume the run.
	Elsewhere bool
}

// Stalled decides on a run whose engine was silent for longer than its pace explains. The engine may still continue, so the run is kept
// unless something else can continue it before the deadline.
func (p *Policy) Stalled(now time.Time, run Run, means Means) Decision {
	switch decision := p.continuation(now, run, means, reasonStalled).(type) {
	case GiveUp:
		if run.Deadline.Sub(now) < p.settings.MinRestart {
			return Keep{}
		}
		return Keep{Recheck: now.Add(p.settings.Recheck)}
	default:
		return decision
	}
}

// Broken decides on a run whose connection broke.
func (p *Policy) Broken(now time.Time, run Run, means Means) Decision {
	return p.continuation(now, run, means, reasonBroken)
}

// Reasons of decisions, as shown to operators.
const (
	reasonStalled = "the engine was silent for longer than its pace explains"
	reasonBroken  = "the connection to the engine broke"
)

// continuation returns how a run can continue elsewhere, or GiveUp if it can't.
func (p *Policy) continuation(now time.Time, run Run, means Means, reason string) Decision {
	switch {
	case !run.Started:
		return GiveUp{Reason: "no event has arrived, so there is nothing to continue after"}
	case run.Deadline.Sub(now) < p.settings.MinRestart:
		return GiveUp{Reason: "too little time is left before the deadline"}
	case !means.Retry:
		return GiveUp{Reason: "the budget of retries is used up"}
	case run.Backup != "" && run.Backup != run.Engine:
		return FromCopy{Reason: reason}
	case run.Resumable && means.Elsewhere:
		return Resume{Reason: reason}
	default:
		return GiveUp{Reason: "no copy is kept and no other engine may resume the run"}
	}
}

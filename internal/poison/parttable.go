package poison

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// PartSettings configure how parts of prompts are barred.
type PartSettings struct {
	// SuspectCrashes is the number of crashes from which on requests with a part that was not answered shortly before are restrained as
	// suspects are.
	SuspectCrashes int
	// CrashLimit is the number of distinct crashes that bars a part if no other part explains them as well, and AmbiguousCrashLimit the
	// number that bars the likeliest one of several.
	CrashLimit, AmbiguousCrashLimit int
	// AmbiguousVersionCrashLimit replaces AmbiguousCrashLimit for a bar of a part at one software version that was not answered shortly before:
	// the other versions go on serving requests with it, so a mistake costs little.
	AmbiguousVersionCrashLimit int
	// MinOtherRequests is the number of these crashes at which no single request may have run: otherwise that request, or its retries, is
	// the likelier cause.
	MinOtherRequests int
	// MinShare is the least share that a part must have of the crashes of its group, from its first crash to its last, and
	// AmbiguousMinShare the same from AmbiguousCrashLimit on. A part that merely was where many workers ended is under few of the crashes.
	MinShare, AmbiguousMinShare float64
	// AnswerMemory is how long an answer speaks for a part. A part that was answered within that time before its first crash is barred only
	// after AmbiguousCrashLimit crashes that span at least UnansweredTime: a popular part is under most crashes, whatever causes them.
	AnswerMemory, UnansweredTime time.Duration
	// LearningTime is how long a gateway must have recorded answers of a group before the first crash, at least LearningAnswers within AnswerMemory, to
	// know the parts that are in use. Until then it can't tell whether a part was answered.
	LearningTime    time.Duration
	LearningAnswers int
	// TrialDelay is when after the start of a bar a first request is let through to find out whether the part still crashes workers, and
	// AnsweredTrialDelay the same for a part that was answered shortly before its bar. Each further trial takes TrialBackoff times as long.
	TrialDelay, AnsweredTrialDelay time.Duration
	TrialBackoff                   int
	// TrialElection is how long only the elected gateway may begin a trial that is due. If it receives no request with the part, any gateway
	// may.
	TrialElection time.Duration
	// TrialHearing is how long a gateway that has learned of a bar from the store begins no trial, unless another gateway tells of the bar. Stored
	// bars don't tell of the trials that have begun; the full updates of other gateways do, once a second.
	TrialHearing time.Duration
	// MaxParts and MaxAnswered bound the parts with crashes or bars, and those with nothing but an answer.
	MaxParts, MaxAnswered int
	// MaxCrashesPerPart bounds the crashes kept for one part; the earliest are dropped.
	MaxCrashesPerPart int
	// MaxPerUpdate bounds the parts that the crashes of one update name, and its answers and bars each.
	MaxPerUpdate int
}

// defaultPartSettings returns the settings of a gateway.
func defaultPartSettings() PartSettings {
	return PartSettings{
		SuspectCrashes: 2, CrashLimit: 3, AmbiguousCrashLimit: 5, AmbiguousVersionCrashLimit: 4, MinOtherRequests: 2, MinShare: 0.25, AmbiguousMinShare: 0.125,
		AnswerMemory: time.Minute, UnansweredTime: 2 * time.Second, LearningTime: 30 * time.Second, LearningAnswers: 20,
		TrialDelay: 3 * time.Second, AnsweredTrialDelay: 2 * time.Second, TrialBackoff: 8, TrialElection: time.Second, TrialHearing: 2 * time.Second, MaxParts: 4096, MaxAnswered: 16384, MaxCrashesPerPart: 64, MaxPerUpdate: 512,
	}
}

// partState is the evidence for and against one part.
type partState struct {
	digest Digest
	// crashes maps the workers that crashed under requests with the part, since its last answer began, to the time of the crash.
	crashes map[string]time.Time
	// answeredAt is when the latest known answer to a request with the part began; zero if none is known.
	answeredAt time.Time
	// isUseUntold is set while the other gateways are to be told that the part was in use before its crashes, and isRefutationUntold while they are to
	// be told of an answer after them.
	isUseUntold, isRefutationUntold bool
	// lastReport is when a crash or a bar was reported last. reportedHere is set once this gateway has reported a crash itself.
	lastReport   time.Time
	reportedHere bool
	// requests counts the requests with the part that this gateway received since the part has evidence.
	requests int
	barState
}

// partTable tracks which parts of prompts were in requests at workers that crashed. Unlike a request, a part is shared with many sound
// requests. So evidence alone does not restrain parts that were answered shortly before; only a bar does, and any answer to a request with the part voids the evidence and the bar
// up to the time when the answer began. It is a pure state machine: it reads no clock, and it is not safe for concurrent use.
//
// Evidence is kept for all workers and, while several software versions serve side by side, for each version by itself. Only answers of workers
// of a version speak for a part at that version, and a bar at a version leaves the part to the others.
//
// A crash is identified by the incarnation of the worker, and repeated reports have no effect, so tables that receive the same reports
// converge. The crashes under a part that is or was barred are attributed to it and count against no other part or request.
//
// Invariant: a part is barred only after at least CrashLimit workers crashed under it since its last answer began, each at least
// MinCrashInterval after the previous one, and MinOtherRequests of them without the request that ran at the most of them.
type partTable struct {
	settings Settings
	// started is the time of the first call.
	started time.Time
	// recorded tells by the answers recorded at this gateway, for each group, since when it knows the parts in use.
	recorded map[string]*answerRecord
	parts    map[Part]*partState
	// inUse holds when another gateway told last that it had answered a part before its crashes.
	inUse map[Part]time.Time
	// times tells when workers crashed.
	times *crashTimes
	// answered holds when parts without evidence were answered last.
	answered *answerTimes
	// byWorker indexes the parts by the crashed workers.
	byWorker map[string]map[Part]bool
	// crashed maps the workers that crashed under requests to a group to the time, whatever became of the evidence.
	crashed map[groupWorker]time.Time
	// due maps the parts to evaluate to the time of the evaluation.
	due map[Part]time.Time
	// unsentWorkers have crashes that are not shared yet, and unsentParts are the parts with an answer or a bar that is not shared yet.
	unsentWorkers map[string]bool
	unsentParts   map[Part]bool
	// answers are repeated with full updates.
	answers *rotation[Part]
	// liftedHere are the bars of this gateway that answers at other gateways have lifted.
	liftedHere []Part
	// hasVersions is set once there was evidence against a part at one software version.
	hasVersions bool
	// mostByOneRequest returns at how many of the workers a single request ran, at most; nil if requests are unknown.
	mostByOneRequest func(workers []string) int
}

// groupWorker is a worker that served a group.
type groupWorker struct{ group, worker string }

// newPartTable returns an empty table.
func newPartTable(settings Settings) *partTable {
	return &partTable{
		settings: settings, recorded: map[string]*answerRecord{}, parts: map[Part]*partState{}, inUse: map[Part]time.Time{}, times: newCrashTimes(settings.Parts.MaxParts), answered: newAnswerTimes(settings.Parts.MaxAnswered), byWorker: map[string]map[Part]bool{},
		crashed: map[groupWorker]time.Time{}, due: map[Part]time.Time{}, unsentWorkers: map[string]bool{}, unsentParts: map[Part]bool{},
		answers: newRotation(compareParts),
	}
}

// empty reports whether there is no evidence against any part.
func (t *partTable) empty() bool { return len(t.parts) == 0 }

// start notes the time of the first call.
func (t *partTable) start(now time.Time) {
	if t.started.IsZero() {
		t.started = now
	}
}

// recordCrash records that a worker crashed while it ran requests with the parts of this gateway. The crash also counts for its software
// version alone, unless that is empty.
func (t *partTable) recordCrash(now, at time.Time, worker, version string, parts []Part) {
	for _, part := range parts {
		t.recordCrashOf(now, at, worker, part)
		if version != "" {
			t.recordCrashOf(now, at, worker, part.AtVersion(version))
		}
	}
}

// recordCrashOf records a crash under a part.
func (t *partTable) recordCrashOf(now, at time.Time, worker string, part Part) {
	t.mergeCrash(now, at, worker, part)
	if state, found := t.parts[part]; found {
		state.reportedHere = true
	}
}

// mergeCrash adds a crash, unless it is known or the part was answered since. The given time is that of the connection's break, unless it is known that
// the worker had fallen silent before.
func (t *partTable) mergeCrash(now, at time.Time, worker string, part Part) {
	t.addCrashAt(now, t.timeOf(now, worker, at), worker, part)
}

// addCrashAt adds the crash of a worker by the given time, unless it is known or the part was answered since.
func (t *partTable) addCrashAt(now, at time.Time, worker string, part Part) {
	t.start(now)
	t.noteCrash(now, at, groupWorker{part.Group, worker})
	state, found := t.parts[part]
	if !found {
		if !at.After(t.answered.of(part)) {
			return
		}
		state = t.addPart(now, part)
	}
	if _, known := state.crashes[worker]; known || !at.After(state.answeredAt) {
		return
	}
	t.addCrash(at, part, state, worker)
	state.lastReport = now
	t.unsentWorkers[worker] = true
	if len(state.crashes) == t.settings.Parts.SuspectCrashes && t.hasAnswered(state) && now.Sub(t.inUse[part]) >= t.settings.Parts.AnswerMemory {
		state.isUseUntold = true
		t.unsentParts[part] = true
	}
	if state.barCount > 0 {
		// Crashes under a bar are shared with it.
		t.unsentParts[part] = true
	}
	if _, scheduled := t.due[part]; !scheduled && !now.Before(state.barredUntil) {
		t.due[part] = now.Add(t.settings.SettleDelay)
	}
}

// timeOf returns the time by which a worker had crashed, given that of a report.
func (t *partTable) timeOf(now time.Time, worker string, reported time.Time) time.Time {
	if !t.times.isSilenceAt(worker, reported) {
		t.mergeTime(now, worker, crashTime{broken: reported})
	}
	return t.times.latest(worker, reported)
}

// mergeTime merges a report of when a worker crashed. Crashes that an answer turns out to have followed are void.
func (t *partTable) mergeTime(now time.Time, worker string, report crashTime) {
	if !t.times.merge(now, worker, report) {
		return
	}
	at := t.times.latest(worker, time.Time{})
	for part := range t.byWorker[worker] {
		state := t.parts[part]
		if state.barCount == 0 && !at.After(state.answeredAt) {
			t.removeCrash(part, state, worker)
			continue
		}
		state.crashes[worker] = at
	}
}

// hasUntold reports whether the other gateways are to be told at once of parts in use or of answers that refute a bar.
func (t *partTable) hasUntold() bool {
	for part := range t.unsentParts {
		if state := t.parts[part]; state.isUseUntold || state.isRefutationUntold {
			return true
		}
	}
	return false
}

// addPart adds a part without evidence.
func (t *partTable) addPart(now time.Time, part Part) *partState {
	t.evict(now)
	state := &partState{digest: part.Digest(), crashes: map[string]time.Time{}, answeredAt: t.answered.of(part)}
	t.answered.forget(part)
	t.parts[part] = state
	t.hasVersions = t.hasVersions || part.Version != ""
	return state
}

// noteCrash notes a crash for the share of parts in all of them.
func (t *partTable) noteCrash(now, at time.Time, worker groupWorker) {
	if _, known := t.crashed[worker]; known {
		return
	}
	if len(t.crashed) >= t.settings.Parts.MaxParts {
		t.expireCrashed(now)
	}
	if len(t.crashed) < t.settings.Parts.MaxParts {
		t.crashed[worker] = at
	}
}

// expireCrashed forgets crashes that are too old to count.
func (t *partTable) expireCrashed(now time.Time) {
	maps.DeleteFunc(t.crashed, func(_ groupWorker, at time.Time) bool { return now.Sub(at) > t.settings.CrashRetention })
}

// addCrash adds a crash to a part and to the index.
func (t *partTable) addCrash(at time.Time, part Part, state *partState, worker string) {
	if len(state.crashes) >= t.settings.Parts.MaxCrashesPerPart {
		workers := slices.Collect(maps.Keys(state.crashes))
		t.removeCrash(part, state, slices.MinFunc(workers, func(a, b string) int { return state.crashes[a].Compare(state.crashes[b]) }))
	}
	state.crashes[worker] = at
	if t.byWorker[worker] == nil {
		t.byWorker[worker] = map[Part]bool{}
	}
	t.byWorker[worker][part] = true
}

// removeCrash removes a crash from a part and from the index.
func (t *partTable) removeCrash(part Part, state *partState, worker string) {
	delete(state.crashes, worker)
	delete(t.byWorker[worker], part)
	if len(t.byWorker[worker]) == 0 {
		delete(t.byWorker, worker)
	}
}

// recordAnswer records that a worker began to answer a request with the part at the given time and went on. It voids earlier crashes and
// bars. It returns the workers whose crashes are void for the part, and whether a bar was lifted.
func (t *partTable) recordAnswer(now, at time.Time, part Part) (voided []string, lifted bool) {
	t.start(now)
	state, found := t.parts[part]
	if !found {
		t.answered.record(part, at)
		return nil, false
	}
	if !at.After(state.answeredAt) {
		return nil, false
	}
	state.answeredAt, state.isRefutationUntold = at, false
	for worker, crashedAt := range state.crashes {
		if !crashedAt.After(at) {
			voided = append(voided, worker)
			t.removeCrash(part, state, worker)
		}
	}
	if state.barCount > 0 && (!state.barredSince.After(at) || (len(voided) > 0 && len(state.crashes) == 0)) {
		lifted = now.Before(state.barredUntil)
		state.lift()
	}
	if len(voided) > 0 || lifted {
		t.unsentParts[part] = true
	}
	if lifted {
		t.reconsiderVersions(now, part, voided)
	}
	if len(state.crashes) == 0 {
		delete(t.due, part)
	}
	return voided, lifted
}

// reconsiderVersions schedules the evaluation of a part at the versions of workers whose crashes its bar for all workers explained.
func (t *partTable) reconsiderVersions(now time.Time, part Part, workers []string) {
	for _, worker := range workers {
		for other := range t.byWorker[worker] {
			if _, scheduled := t.due[other]; other != part && other.isSamePart(part) && !scheduled {
				t.due[other] = now
			}
		}
	}
}

// countRequest counts a request with the part.
func (t *partTable) countRequest(part Part) {
	if state, found := t.parts[part]; found {
		state.requests++
	}
}

// status returns the status of a part, and its bar or the evidence against it. A part that was answered shortly before its first crash is
// Clear until it is barred.
func (t *partTable) status(now time.Time, part Part) (Status, Bar) {
	state, found := t.parts[part]
	if !found {
		return Clear, Bar{}
	}
	if now.Before(state.barredUntil) {
		return Barred, state.bar(part)
	}
	if len(state.crashes) < t.settings.Parts.SuspectCrashes || (state.barCount == 0 && t.knownAnswered(part, state)) {
		return Clear, Bar{}
	}
	if _, pending := t.due[part]; pending && t.shouldBar(part, state) {
		return Pending, state.bar(part)
	}
	if part.Version != "" {
		// Requests with the part run at other versions, so being one at a time would tell little of this one.
		return Clear, Bar{}
	}
	if limited, found := t.atOneVersion(part, state); found && t.parts[limited].barCount > 0 {
		// The bar keeps the part from the version that it crashes.
		return Clear, Bar{}
	}
	workers := t.unexplained(part, state)
	if len(workers) < t.settings.Parts.SuspectCrashes || t.share(part, state) < t.settings.Parts.MinShare {
		return Clear, Bar{}
	}
	bar := state.bar(part)
	bar.DistinctCrashes = t.times.distinct(state.crashes, workers, t.settings.MinCrashInterval)
	if bar.DistinctCrashes < t.settings.Parts.SuspectCrashes && t.wasAnswered(part, state) {
		// It may be in use, and a single event explains the crashes.
		return Clear, Bar{}
	}
	return Suspected, bar
}

// bar returns the state of a part as a Bar.
func (s *partState) bar(part Part) Bar {
	return Bar{
		Digest: s.digest, Part: part, Workers: slices.Sorted(maps.Keys(s.crashes)), Times: s.barCount, Since: s.barredSince,
		Until: s.barredUntil, TrialDelay: s.trialDelay, Trials: s.trials, LastReport: s.lastReport, ReportedHere: s.reportedHere,
	}
}

// explains reports whether the crash of a worker is attributed to a part that is or was barred, other than the given one. A bar at one version does
// not explain the crashes of the same part at all workers: those at another version add to them.
func (t *partTable) explains(worker string, except Part) bool {
	for part := range t.byWorker[worker] {
		isOwn := part == except || (except.Version == "" && part.isSamePart(except))
		if !isOwn && t.parts[part].barCount > 0 {
			return true
		}
	}
	return false
}

// explainsMore reports whether requests with some part ran at all of the workers and at more than these. Then a request that ran at these
// may be a victim of that part.
func (t *partTable) explainsMore(workers []string) bool {
	for part := range t.byWorker[workers[0]] {
		if state := t.parts[part]; len(state.crashes) > len(workers) && coversAll(state, workers) {
			return true
		}
	}
	return false
}

// coversAll reports whether requests with the part ran at all of the workers.
func coversAll(state *partState, workers []string) bool {
	return !slices.ContainsFunc(workers, func(worker string) bool { _, found := state.crashes[worker]; return !found })
}

// removePart deletes the evidence of a part. Its last answer is kept.
func (t *partTable) removePart(part Part) {
	state := t.parts[part]
	for worker := range state.crashes {
		t.removeCrash(part, state, worker)
	}
	delete(t.parts, part)
	delete(t.due, part)
	delete(t.unsentParts, part)
	if !state.answeredAt.IsZero() {
		t.answered.record(part, state.answeredAt)
	}
}

// expire removes expired evidence, bars and answers.
func (t *partTable) expire(now time.Time) {
	for part, state := range t.parts {
		if state.barCount == 0 {
			for worker, at := range state.crashes {
				if now.Sub(at) > t.settings.CrashRetention {
					t.removeCrash(part, state, worker)
				}
			}
		}
		idle := state.barCount == 0 && len(state.crashes) == 0 && now.Sub(state.answeredAt) >= t.settings.SuccessRetention
		barExpired := state.barCount > 0 && now.Sub(state.barredUntil) > t.settings.MaxBarDuration
		if idle || barExpired {
			t.removePart(part)
		}
	}
	isOld := func(_ Part, at time.Time) bool { return now.Sub(at) > t.settings.Parts.AnswerMemory }
	t.answered.expire(now.Add(-t.settings.Parts.AnswerMemory))
	maps.DeleteFunc(t.inUse, isOld)
	t.expireCrashed(now)
	t.times.expire(now.Add(-t.settings.CrashRetention), func(worker string) bool { return t.byWorker[worker] != nil })
}

// evict makes room for another part if there are too many: it removes an eighth of them, expired ones and those with the fewest crashes first,
// because a part that crashes workers gathers more. Barred parts are last.
func (t *partTable) evict(now time.Time) {
	limit := t.settings.Parts.MaxParts
	if len(t.parts) < limit {
		return
	}
	t.expire(now)
	const evictDivisor = 8
	keep := limit - limit/evictDivisor
	if len(t.parts) <= keep {
		return
	}
	parts := slices.SortedFunc(maps.Keys(t.parts), func(a, b Part) int {
		first, second := t.parts[a], t.parts[b]
		return cmp.Or(
			compareBools(first.barCount > 0, second.barCount > 0), len(first.crashes)-len(second.crashes),
			first.lastReport.Compare(second.lastReport), compareParts(a, b),
		)
	})
	for _, part := range parts[:len(parts)-keep] {
		t.removePart(part)
	}
}

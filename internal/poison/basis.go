package poison

import (
	"maps"
	"slices"
	"time"
)

// Basis is what a gateway knew of a part when it barred the part or received its bar, for operators. Ages are relative to that time.
type Basis struct {
	// DistinctCrashes is the number of distinct crashes, and FirstCrash and LastCrash the ages of the first and the last one.
	DistinctCrashes       int
	FirstCrash, LastCrash time.Duration
	// Answered is the age of the latest answer with the part that the gateway knows; negative if it knows none.
	Answered time.Duration
	// Answers counts the answers of the group that the gateway has recorded, up to PartSettings.LearningAnswers, and Running is how long it has run.
	Answers int
	Running time.Duration
	// KnowsAnswers is set if the gateway knew the parts in use at the first crash, and ToldInUse if another gateway told that the part was.
	KnowsAnswers, ToldInUse bool
}

// basis returns what is known of a part.
func (t *partTable) basis(now time.Time, part Part, state *partState) *Basis {
	first, last := span(state)
	basis := &Basis{
		DistinctCrashes: t.times.distinct(state.crashes, slices.Collect(maps.Keys(state.crashes)), t.settings.MinCrashInterval),
		FirstCrash:      now.Sub(first), LastCrash: now.Sub(last), Answered: -1, Answers: t.countRecorded(part.Group), Running: now.Sub(t.started),
		KnowsAnswers: t.knowsAnswers(part.Group, first), ToldInUse: !t.inUse[part].IsZero(),
	}
	if !state.answeredAt.IsZero() {
		basis.Answered = now.Sub(state.answeredAt)
	}
	return basis
}

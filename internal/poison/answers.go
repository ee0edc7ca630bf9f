package poison

import "time"

// answerRecord tells since when a gateway has recorded so many answers of a group that it knows the parts in use.
type answerRecord struct {
	// recent are the times of the last answers, up to PartSettings.LearningAnswers.
	recent []time.Time
	// since is when there were enough of them without a gap; zero if there are not.
	since time.Time
}

// countAnswer counts an answer of a group to a request of this gateway.
func (t *partTable) countAnswer(now time.Time, group string) {
	record := t.recorded[group]
	if record == nil {
		record = &answerRecord{}
		t.recorded[group] = record
	}
	limits := t.settings.Parts
	record.recent = append(record.recent, now)
	record.recent = record.recent[max(len(record.recent)-limits.LearningAnswers, 0):]
	switch isEnough := len(record.recent) == limits.LearningAnswers && now.Sub(record.recent[0]) < limits.AnswerMemory; {
	case !isEnough:
		record.since = time.Time{}
	case record.since.IsZero():
		record.since = now
	}
}

// knowsAnswers reports whether this gateway knew the parts of a group in use at the given time.
func (t *partTable) knowsAnswers(group string, at time.Time) bool {
	record := t.recorded[group]
	if record == nil || record.since.IsZero() {
		return false
	}
	last := record.recent[len(record.recent)-1]
	return at.Sub(record.since) >= t.settings.Parts.LearningTime && at.Sub(last) < t.settings.Parts.AnswerMemory
}

// countRecorded returns how many answers of a group this gateway has recorded, up to PartSettings.LearningAnswers.
func (t *partTable) countRecorded(group string) int {
	if record := t.recorded[group]; record != nil {
		return len(record.recent)
	}
	return 0
}

// wasAnswered reports whether a part has to be taken for one that was answered shortly before its first crash. A gateway that has recorded too few
// answers, as one that stood by, was cut off or has just started, can't tell that there was none.
func (t *partTable) wasAnswered(part Part, state *partState) bool {
	first, _ := span(state)
	return t.knownAnswered(part, state) || !t.knowsAnswers(part.Group, first)
}

// knownAnswered reports whether a part was answered shortly before its first crash, here or at another gateway.
func (t *partTable) knownAnswered(part Part, state *partState) bool {
	first, _ := span(state)
	told := t.inUse[part]
	return t.hasAnswered(state) || (!told.IsZero() && first.Sub(told) < t.settings.Parts.AnswerMemory)
}

// hasAnswered reports whether an answer shortly before the first crash of a part is known with its time.
func (t *partTable) hasAnswered(state *partState) bool {
	first, _ := span(state)
	return !state.answeredAt.IsZero() && first.Sub(state.answeredAt) < t.settings.Parts.AnswerMemory
}

// markInUse records that another gateway answered a part before its crashes. That neither voids crashes nor lifts bars, since messages may be late.
func (t *partTable) markInUse(now time.Time, part Part) {
	if _, known := t.inUse[part]; !known && len(t.inUse) >= t.settings.Parts.MaxAnswered {
		return
	}
	t.inUse[part] = now
}

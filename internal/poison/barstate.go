package poison

import "time"

// barState is the bar of a request or of a part of prompts, with the trials that find out whether it still crashes workers.
type barState struct {
	// barCount counts the bars; the last one lasts from barredSince to barredUntil. trialDelay is when after its start the first trial is due.
	barCount                 int
	barredSince, barredUntil time.Time
	trialDelay               time.Duration
	// barredHere is set if this gateway created the bar.
	barredHere bool
	// heardAt is when this gateway learned of the bar from the store; zero if it created the bar or heard of it from another gateway.
	heardAt time.Time
	// trials counts the trials of the bar that have begun, as far as this gateway knows.
	trials int
}

// create begins the next bar of this gateway.
func (b *barState) create(now time.Time, settings Settings, trialDelay time.Duration) {
	b.barCount++
	b.barredSince, b.barredUntil = now, now.Add(settings.barDuration(b.barCount))
	b.trialDelay, b.trials, b.barredHere, b.heardAt = trialDelay, 0, true, time.Time{}
}

// receive begins a bar of another gateway or the store.
func (b *barState) receive(now time.Time, bar Bar, trialDelay time.Duration) {
	b.barCount, b.barredSince, b.barredUntil = max(bar.Times, 1), earlier(bar.Since, now), bar.Until
	b.trialDelay, b.trials, b.barredHere, b.heardAt = trialDelay, bar.Trials, false, now
}

// lift ends the bar and forgets earlier ones.
func (b *barState) lift() { b.barCount, b.barredSince, b.barredUntil = 0, time.Time{}, time.Time{} }

// dueTrial returns the number of the latest trial that is due, and since when; -1 if none is.
func (b *barState) dueTrial(now time.Time, backoff int) (number int, due time.Time) {
	number = -1
	if !now.Before(b.barredUntil) {
		return number, due
	}
	delay := b.trialDelay
	for next := b.barredSince.Add(delay); delay > 0 && !now.Before(next); next = b.barredSince.Add(delay) {
		number, due = number+1, next
		delay *= time.Duration(backoff)
	}
	return number, due
}

// beginTrial reports whether a request may be sent to a worker now in spite of the bar. isElected tells whether this gateway is the one to begin the
// trial with a number.
func (b *barState) beginTrial(now time.Time, settings PartSettings, isElected func(number int) bool) bool {
	number, due := b.dueTrial(now, settings.TrialBackoff)
	if heard := b.heardAt.Add(settings.TrialHearing); heard.After(due) {
		due = heard
	}
	if number < b.trials || now.Before(due) || (now.Sub(due) < settings.TrialElection && !isElected(number)) {
		return false
	}
	b.trials = number + 1
	return true
}

// returnTrial undoes beginTrial for a request that was sent to no worker.
func (b *barState) returnTrial() { b.trials = max(b.trials-1, 0) }

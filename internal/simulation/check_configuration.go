package simulation

import (
	"fmt"
	"slices"
	"time"
)

// configurationBound is the time within which an accepted configuration is in force at every router that runs and can
// exchange messages with others.
const configurationBound = 5 * time.Second

// checkConfiguration finds routers that show a lower revision than before, and routers that show a revision lower than
// an accepted one after the bound. A router counts from the bound after it started, went on after a pause, or was
// connected again after it had been isolated from all others; a cut from some of them or from the store is no excuse.
func checkConfiguration(history *History) []Violation {
	var violations []Violation
	excused := history.absences(configurationBound)
	var accepted []ConfigurationAccepted
	last := map[string]ConfigurationRead{}
	for _, observation := range history.Observations {
		switch seen := observation.(type) {
		case ConfigurationAccepted:
			accepted = append(accepted, seen)
		case ConfigurationRead:
			before, ok := last[seen.Router]
			if ok && before.Incarnation == seen.Incarnation && before.Revision > seen.Revision {
				violations = append(violations, revisionViolation(seen, fmt.Sprintf("went back from revision %d to %d",
					before.Revision, seen.Revision)))
			}
			last[seen.Router] = seen
			due := dueRevision(accepted, seen.At)
			if seen.Revision < due && !excused.covers(seen.Router, seen.At) {
				violations = append(violations, revisionViolation(seen, fmt.Sprintf(
					"shows revision %d, although %d was accepted more than %v ago", seen.Revision, due, configurationBound)))
			}
		}
	}
	return violations
}

// dueRevision returns the highest revision that was accepted longer ago than the bound.
func dueRevision(accepted []ConfigurationAccepted, now time.Duration) uint64 {
	var due uint64
	for _, edit := range accepted {
		if edit.At+configurationBound < now {
			due = max(due, edit.Revision)
		}
	}
	return due
}

func revisionViolation(seen ConfigurationRead, reason string) Violation {
	return Violation{Promise: PromiseConfiguration, At: seen.At, Subjects: []string{seen.Router, configurationSubject},
		Reason: seen.Router + " " + reason}
}

// absences are the spans in which processes did not run or were isolated from all others.
type absences map[string][]window

// covers tells whether a process is absent at a moment.
func (a absences) covers(process string, moment time.Duration) bool {
	return a.overlaps(process, window{from: moment, until: moment})
}

// overlaps tells whether a process is absent at any moment of a span.
func (a absences) overlaps(process string, span window) bool {
	return slices.ContainsFunc(a[process], span.overlaps)
}

// absences returns the spans of absence, each grown by a time to catch up.
func (h *History) absences(catchUp time.Duration) absences {
	found := absences{}
	since := map[string]time.Duration{}
	for _, seen := range observations[ProcessChanged](h) {
		switch seen.State {
		case ProcessKilled, ProcessPaused, ProcessStopped, ProcessTimedOut:
			if _, already := since[seen.Process]; !already {
				since[seen.Process] = seen.At
			}
		case ProcessStarted, ProcessResumed:
			found[seen.Process] = append(found[seen.Process], window{from: since[seen.Process], until: seen.At + catchUp})
			delete(since, seen.Process)
		case ProcessStopping:
		}
	}
	for process, from := range since {
		found[process] = append(found[process], window{from: from, until: h.End})
	}
	for _, began := range observations[FaultBegan](h) {
		if began.Fault.Variant == VariantIsolated {
			span := window{from: began.Fault.From, until: began.Fault.Until + catchUp}
			found[began.Fault.Target] = append(found[began.Fault.Target], span)
		}
	}
	return found
}

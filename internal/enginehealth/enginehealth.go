// Package enginehealth tracks engines whose processes have terminated although their records still exist. A record
// expires only seconds later, when the engine may already be running again; a refused connection shows the termination
// at once. Such an engine is called absent.
package enginehealth

import (
	"time"

	"github.com/granitebay/granitebay/internal/backend"
)

// Settings configures a Table.
type Settings struct {
	// ReportTTL is how long a report that the address of an engine refuses connections is valid. Probes that fail again
	// renew it; without probes, the next request detects the absence again.
	ReportTTL time.Duration
	// DefaultReturnTime is the time until an engine is assumed to be back, until returns have been observed. MaxReturnTime
	// bounds the observed times that are used: an engine that was away for longer was not simply restarted.
	DefaultReturnTime, MaxReturnTime time.Duration
}

// DefaultSettings returns the default settings: a ReportTTL of several probe intervals, and a DefaultReturnTime of about
// the time until a record expires.
func DefaultSettings() Settings {
	return Settings{ReportTTL: 1500 * time.Millisecond, DefaultReturnTime: 3 * time.Second, MaxReturnTime: time.Minute}
}

// maxTrackedReturns bounds terminatedByAddress.
const maxTrackedReturns = 1024

// Table holds the engines that were reported as absent. It is a pure state machine and not safe for concurrent use.
//
// Invariants: only engines with records are absent; an absence ends when the engine responds, or after ReportTTL without
// a report; an absence is confirmed only by a refused connection of this process.
type Table struct {
	settings Settings
	// absent holds the reported engines by ID. An entry is kept after its report expired, until the engine responds or its
	// record is removed.
	absent map[string]*absentEngine
	// endedByAddress holds the engines that terminated, until another one is registered at the address.
	terminatedByAddress map[string]terminatedEngine
	// trustedUntil holds, by engine ID, until when reports of other processes are ignored because the engine has responded
	// to this one: the reporter may be partitioned.
	trustedUntil map[string]time.Time
	returnTimes  durationEstimate
}

// Return is the restart of an engine: an engine registered under another ID at the address of one that terminated.
type Return struct {
	Worker *backend.Worker
	Away   time.Duration
}

// absentEngine is the report that an engine is absent.
type absentEngine struct {
	worker        *backend.Worker
	since, expiry time.Time
	confirmed     bool
}

// terminatedEngine records when an engine terminated.
type terminatedEngine struct {
	id    string
	since time.Time
}

// New returns an empty table.
func New(settings Settings) *Table {
	return &Table{settings: settings, absent: map[string]*absentEngine{}, terminatedByAddress: map[string]terminatedEngine{}, trustedUntil: map[string]time.Time{}}
}

// Refused records that the address of an engine refused a connection, either of this process (direct) or as reported
// by another one. It reports whether that is new: the engine was not known to be absent, or its absence is now
// confirmed.
func (t *Table) Refused(now time.Time, worker *backend.Worker, direct bool) bool {
	if !direct && now.Before(t.trustedUntil[worker.ID]) {
		return false
	}
	entry, found := t.absent[worker.ID]
	if !found || !now.Before(entry.expiry) {
		entry = &absentEngine{worker: worker, since: now}
		t.absent[worker.ID] = entry
		t.trackReturn(now, worker)
		found = false
	}
	entry.expiry = now.Add(t.settings.ReportTTL)
	isNew := !found || (direct && !entry.confirmed)
	entry.confirmed = entry.confirmed || direct
	return isNew
}

// trackReturn records when an engine terminated, to measure the time until its return.
func (t *Table) trackReturn(now time.Time, worker *backend.Worker) {
	if previous, found := t.terminatedByAddress[worker.Address]; found && previous.id == worker.ID {
		return
	}
	if len(t.terminatedByAddress) < maxTrackedReturns {
		t.terminatedByAddress[worker.Address] = terminatedEngine{id: worker.ID, since: now}
	}
}

// Responded records that an engine responds, and reports whether it was reported as absent, even if the report has
// expired.
func (t *Table) Responded(now time.Time, worker *backend.Worker) bool {
	_, found := t.absent[worker.ID]
	delete(t.absent, worker.ID)
	if found {
		t.trustedUntil[worker.ID] = now.Add(t.settings.ReportTTL)
	}
	if previous := t.terminatedByAddress[worker.Address]; previous.id == worker.ID {
		delete(t.terminatedByAddress, worker.Address)
	}
	return found
}

// Absent reports whether an engine is absent, and whether a connection of this process itself was refused.
func (t *Table) Absent(now time.Time, id string) (absent, confirmed bool) {
	entry, found := t.absent[id]
	if !found || !now.Before(entry.expiry) {
		return false, false
	}
	return true, entry.confirmed
}

// Engines returns the engines that were reported as absent and have not responded since, including those whose reports
// have expired.
func (t *Table) Engines() []*backend.Worker {
	engines := make([]*backend.Worker, 0, len(t.absent))
	for _, entry := range t.absent {
		engines = append(engines, entry.worker)
	}
	return engines
}

// ApplyChanges removes engines whose records were removed, and updates the estimate of return times with the engines that
// returned, which it returns.
func (t *Table) ApplyChanges(now time.Time, changes backend.Changes) []Return {
	for _, id := range changes.Removed {
		delete(t.absent, id)
	}
	for id, expiry := range t.trustedUntil {
		if !now.Before(expiry) {
			delete(t.trustedUntil, id)
		}
	}
	if len(t.terminatedByAddress) == 0 {
		return nil
	}
	var returns []Return
	for _, worker := range changes.Updated {
		previous, found := t.terminatedByAddress[worker.Address]
		if !found || previous.id == worker.ID {
			continue
		}
		if away := now.Sub(previous.since); away <= t.settings.MaxReturnTime {
			t.returnTimes.add(away)
			returns = append(returns, Return{Worker: worker, Away: away})
		}
		delete(t.terminatedByAddress, worker.Address)
	}
	for address, previous := range t.terminatedByAddress {
		if now.Sub(previous.since) > t.settings.MaxReturnTime {
			delete(t.terminatedByAddress, address)
		}
	}
	return returns
}

// Since returns when an absent engine was first known to have terminated.
func (t *Table) Since(id string) time.Time {
	entry, found := t.absent[id]
	if !found {
		return time.Time{}
	}
	if previous := t.terminatedByAddress[entry.worker.Address]; previous.id == id {
		return previous.since
	}
	return entry.since
}

// Until returns when the report about an absent engine expires.
func (t *Table) Until(id string) time.Time {
	entry, found := t.absent[id]
	if !found {
		return time.Time{}
	}
	return entry.expiry
}

// ExpectedReturn returns when an absent engine is expected to accept requests again under another ID, and whether that
// is based on observed returns.
func (t *Table) ExpectedReturn(id string) (at time.Time, learned bool) {
	since := t.Since(id)
	if since.IsZero() {
		return since, false
	}
	if duration, known := t.returnTimes.upperBound(); known {
		return since.Add(duration), true
	}
	return since.Add(t.settings.DefaultReturnTime), false
}

// durationEstimate is a smoothed mean of a duration and its mean deviation. It is similar to the estimate that TCP keeps
// of round-trip times (RFC 6298), with other weights.
type durationEstimate struct{ mean, deviation time.Duration }

// Parameters of durationEstimate.
const (
	// meanDivisor and deviationDivisor are the inverse weights of a new value.
	meanDivisor      = 4
	deviationDivisor = 4
	// initialDeviationDivisor divides the first value to get the initial deviation.
	initialDeviationDivisor = 8
	// boundDeviations is how many deviations the upper bound is above the mean.
	boundDeviations = 2
)

// add adds an observed duration.
func (e *durationEstimate) add(value time.Duration) {
	if e.mean == 0 {
		e.mean, e.deviation = value, value/initialDeviationDivisor
		return
	}
	e.deviation += ((value - e.mean).Abs() - e.deviation) / deviationDivisor
	e.mean += (value - e.mean) / meanDivisor
}

// upperBound returns a duration that most values do not exceed, or false without any observation.
func (e *durationEstimate) upperBound() (time.Duration, bool) {
	return e.mean + boundDeviations*e.deviation, e.mean > 0
}

package relay

import "time"

// Paths tracks which direct paths to workers are lost. It is a pure state machine and not safe for concurrent use.
//
// Invariants: a path is lost only after another gateway connected to the worker while this one failed; it is direct again only after this
// gateway connected; the pause between two checks of a lost path doubles up to the bound, also when the path is lost again soon after it was
// restored.
type Paths struct {
	settings Settings
	lost     map[string]*lostPath
	// restored holds the paths that were restored recently, so that those that are lost again are not tried as often.
	restored map[string]restoredPath
	// distrustBefore is when another path was last found to hang while some did. Connections that were last used before may hang as well.
	distrustBefore time.Time
	// silent counts the lost paths that hang.
	silent int
}

// lostPath is a path that does not work.
type lostPath struct {
	silent    bool
	pause     time.Duration
	nextCheck time.Time
}

// restoredPath is a path that works again.
type restoredPath struct {
	at    time.Time
	pause time.Duration
}

// minSilentToDistrust is the number of paths that hang at a time from which connections on all paths are distrusted: a lost packet makes a
// single path seem to hang.
const minSilentToDistrust = 2

// relapseFactor multiplies the bound to get how long a restored path is remembered.
const relapseFactor = 5

// NewPaths returns a state in which no path is lost.
func NewPaths(settings Settings) *Paths {
	return &Paths{settings: settings, lost: map[string]*lostPath{}, restored: map[string]restoredPath{}}
}

// Lost records that another gateway connected to the worker at an address while this one could not, and reports whether that is new. Silent
// means that the attempt of this gateway got no answer.
func (p *Paths) Lost(now time.Time, address string, silent bool) bool {
	if _, known := p.lost[address]; known {
		return false
	}
	pause := p.settings.checkInterval()
	if before, found := p.restored[address]; found && now.Sub(before.at) < relapseFactor*p.settings.Bound {
		pause = min(2*before.pause, p.settings.Bound)
	}
	p.lost[address] = &lostPath{silent: silent, pause: pause, nextCheck: now.Add(pause)}
	if silent {
		p.silent++
	}
	if silent && p.silent >= minSilentToDistrust {
		p.distrustBefore = now
	}
	return true
}

// Restored records that this gateway connected to the worker at an address, and reports whether the path was lost.
func (p *Paths) Restored(now time.Time, address string) bool {
	path, wasLost := p.lost[address]
	if !wasLost {
		return false
	}
	p.remove(address)
	p.restored[address] = restoredPath{at: now, pause: path.pause}
	for known, path := range p.restored {
		if now.Sub(path.at) >= relapseFactor*p.settings.Bound {
			delete(p.restored, known)
		}
	}
	return true
}

// Forget drops the path to an address that no worker uses any more.
func (p *Paths) Forget(address string) {
	p.remove(address)
	delete(p.restored, address)
}

// remove removes a lost path.
func (p *Paths) remove(address string) {
	if path, found := p.lost[address]; found && path.silent {
		p.silent--
	}
	delete(p.lost, address)
}

// IsLost reports whether the path to an address is lost.
func (p *Paths) IsLost(address string) bool { return p.lost[address] != nil }

// AnySilent reports whether any lost path hangs.
func (p *Paths) AnySilent() bool { return p.silent > 0 }

// Count returns the number of lost paths.
func (p *Paths) Count() int { return len(p.lost) }

// NextCheck returns when a lost path is due to be checked.
func (p *Paths) NextCheck(address string) (at time.Time, lost bool) {
	path, found := p.lost[address]
	if !found {
		return time.Time{}, false
	}
	return path.nextCheck, true
}

// TakeCheck reports whether a lost path is due to be checked, and schedules the next check.
func (p *Paths) TakeCheck(now time.Time, address string) bool {
	path, found := p.lost[address]
	if !found || now.Before(path.nextCheck) {
		return false
	}
	path.pause = min(2*path.pause, p.settings.Bound)
	path.nextCheck = now.Add(path.pause)
	return true
}

// Trusts reports whether a direct connection to an address that was last used at a time may be used again.
func (p *Paths) Trusts(address string, lastUsed time.Time) bool {
	return !p.IsLost(address) && !lastUsed.Before(p.distrustBefore)
}

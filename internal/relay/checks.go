package relay

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// minLostToSweep is the number of lost paths from which all paths are checked: then this gateway is cut off rather than one worker.
	minLostToSweep = 2
	// maxSwept and maxConcurrentChecks bound the checks of all paths in a large fleet.
	maxSwept            = 128
	maxConcurrentChecks = 16
)

// Suspect checks the path to an address in the background, because a request got no answer there.
func (d *Dialer) Suspect(address string) {
	if !d.Enabled() {
		return
	}
	d.mu.Lock()
	now := time.Now()
	due := !d.paths.IsLost(address) && now.Sub(d.checkedAt[address]) >= d.settings.checkInterval()
	if due {
		d.checkedAt[address] = now
	}
	d.mu.Unlock()
	if due {
		go d.check(address)
	}
}

// Verdict says what is wrong if requests to a worker fail.
type Verdict int

// The verdicts.
const (
	// VerdictUnknown means that neither this gateway nor another one could tell.
	VerdictUnknown Verdict = iota
	// VerdictWorker means that the worker is at fault: this gateway connects to it, or others that reach its group do not.
	VerdictWorker
	// VerdictPath means that the direct path of this gateway is lost, while another one connects.
	VerdictPath
)

// Judge finds out whether a worker or the direct path to it is at fault. It takes up to the connect timeout.
func (d *Dialer) Judge(address string) Verdict {
	if !d.Enabled() {
		return VerdictWorker
	}
	if d.IsLost(address) {
		return VerdictPath
	}
	return d.check(address)
}

// check connects to an address directly and, if that fails, asks other gateways. The connection is kept for later use.
func (d *Dialer) check(address string) Verdict {
	ctx := context.Background()
	conn, err := d.dialDirect(ctx, address, d.settings.hedgeDelay(false))
	if err == nil {
		d.keepConn(conn, address)
		return VerdictWorker
	}
	relayed, relayErr := d.dialRelay(ctx, address)
	conn, _ = d.judge(address, err, dialed{relayed, relayErr})
	switch {
	case conn != nil:
		d.keepConn(conn, address)
		return VerdictPath
	case errors.Is(relayErr, errRefusedAtPeer), errors.Is(relayErr, errSilentAtPeer), errors.Is(relayErr, errNoPeers):
		return VerdictWorker
	default:
		return VerdictUnknown
	}
}

// scheduleCheck tries a lost path again when that is due, and so on until it works: no request may need it meanwhile, while others depend on
// whether it is lost. A check that was scheduled before the path was lost anew ends without an attempt, as none is due.
func (d *Dialer) scheduleCheck(address string) {
	d.mu.Lock()
	at, lost := d.paths.NextCheck(address)
	d.mu.Unlock()
	if !lost {
		return
	}
	time.AfterFunc(time.Until(at), func() {
		d.mu.Lock()
		due := d.paths.TakeCheck(time.Now(), address)
		d.mu.Unlock()
		if !due {
			return
		}
		if conn, err := d.dialDirect(context.Background(), address, d.settings.ConnectTimeout); err == nil {
			d.keepConn(conn, address)
		}
		d.scheduleCheck(address)
	})
}

// sweep checks the paths to the workers whose paths are not known to be lost.
func (d *Dialer) sweep() {
	addresses := d.source().WorkerAddresses()
	rand.Shuffle(len(addresses), func(i, j int) { addresses[i], addresses[j] = addresses[j], addresses[i] })
	slots := make(chan struct{}, maxConcurrentChecks)
	var checks sync.WaitGroup
	for _, address := range addresses[:min(len(addresses), maxSwept)] {
		if d.IsLost(address) {
			continue
		}
		slots <- struct{}{}
		checks.Go(func() {
			defer func() { <-slots }()
			d.check(address)
		})
	}
	checks.Wait()
}

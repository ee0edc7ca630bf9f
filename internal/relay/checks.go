package relay

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"
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

// check connects to an address directly and, if that fails, asks other gateways. The connection is kept for later use.
func (d *Dialer) check(address string) {
	ctx, cancel := context.WithTimeout(context.Background(), d.settings.ConnectTimeout)
	defer cancel()
	conn, err := d.dialDirect(ctx, address, d.settings.hedgeDelay(false))
	if err != nil {
		conn, err = d.confirm(ctx, address, err)
	}
	if err == nil {
		d.keepConn(conn, address)
	}
}

// checkIfDue tries a lost path again in the background if that is due.
func (d *Dialer) checkIfDue(address string) {
	d.mu.Lock()
	due := d.paths.TakeCheck(time.Now(), address)
	d.mu.Unlock()
	if !due {
		return
	}
	go func() {
		if conn, err := d.dialDirect(context.Background(), address, d.settings.ConnectTimeout); err == nil {
			d.keepConn(conn, address)
		}
	}()
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

package usage

import (
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/granitebay/granitebay/internal/boottime"
)

// tellTime is how long the clock of another gateway counts after it was heard: some messages that tell everything.
const readingTTL = 5 * time.Second

// Clock tells the time of day as most gateways have it. Clocks of machines disagree, and some jump by seconds and back; the steady
// clock of the process goes on. So the middle of what all clocks say counts, each taken as its distance from the own steady clock.
// It is safe for concurrent use.
type Clock struct {
	// read returns the steady clock and the time of day.
	readClocks func() (steady time.Duration, wall time.Time)

	mu    sync.Mutex
	peers map[string]reading
}

// reading is the distance of the clock of another gateway from the own steady clock, and when it was heard.
type reading struct {
	offset     time.Duration
	receivedAt time.Duration
}

// NewClock returns the clock of a gateway that has heard no other. It reads the steady clock and the time of day.
func NewClock(read func() (steady time.Duration, wall time.Time)) *Clock {
	return &Clock{readClocks: read, peers: map[string]reading{}}
}

// ReadClocks returns a function that reads the clocks of the machine. The steady one counts the time in which it is suspended: else the
// distances to the clocks of others, which went on, would be off by that.
func ReadClocks() func() (steady time.Duration, wall time.Time) {
	start := boottime.Now()
	return func() (time.Duration, time.Time) { return boottime.Now().Sub(start), time.Now().Round(0) }
}

// Heard takes the time of day that another gateway tells in a message which has just come.
func (c *Clock) Heard(gateway string, wall time.Time) {
	steady, _ := c.readClocks()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.peers[gateway] = reading{offset: time.Duration(wall.UnixNano()) - steady, receivedAt: steady}
}

// Now returns the time of day, without a reading of the steady clock.
func (c *Clock) Now() time.Time {
	steady, wall := c.readClocks()
	own := time.Duration(wall.UnixNano()) - steady
	c.mu.Lock()
	defer c.mu.Unlock()
	maps.DeleteFunc(c.peers, func(_ string, peer reading) bool { return steady-peer.receivedAt > readingTTL })
	offsets := make([]time.Duration, 0, len(c.peers)+1)
	offsets = append(offsets, own)
	for _, peer := range c.peers {
		offsets = append(offsets, peer.offset)
	}
	slices.Sort(offsets)
	return time.Unix(0, int64(offsets[len(offsets)/2]+steady))
}

package usage

import (
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/granitebay/granitebay/internal/boottime"
)

// readingTTL is how long the clock reading of a peer remains valid. It is several times the interval of full messages,
// which carry the readings.
const readingTTL = 5 * time.Second

// Clock estimates the time of day from the clocks of all gateways. Machine clocks disagree, and some jump by seconds
// and back, while the monotonic clock of the process does not. Clock therefore uses the median of all clocks (the
// upper one of an even number), each as an offset from the own monotonic clock. It is safe for concurrent use.
type Clock struct {
	// readClocks returns the monotonic clock and the time of day.
	readClocks func() (monotonic time.Duration, wall time.Time)

	mu    sync.Mutex
	peers map[string]reading
}

// reading is the offset of a peer's clock from the own monotonic clock, and when it was received.
type reading struct {
	offset     time.Duration
	receivedAt time.Duration
}

// NewClock returns a clock without readings of peers. It reads the monotonic clock and the time of day with read.
func NewClock(read func() (monotonic time.Duration, wall time.Time)) *Clock {
	return &Clock{readClocks: read, peers: map[string]reading{}}
}

// ReadClocks returns a function that reads the clocks of the machine. The monotonic clock includes suspended time,
// so that the offsets of peers remain right after this machine was suspended.
func ReadClocks() func() (monotonic time.Duration, wall time.Time) {
	start := boottime.Now()
	return func() (time.Duration, time.Time) { return boottime.Now().Sub(start), time.Now().Round(0) }
}

// ObservePeer records the time of day in a message that has just arrived from another gateway.
func (c *Clock) ObservePeer(gateway string, wall time.Time) {
	monotonic, _ := c.readClocks()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.peers[gateway] = reading{offset: time.Duration(wall.UnixNano()) - monotonic, receivedAt: monotonic}
}

// Now returns the median time of day. The result has no monotonic clock reading (see package time).
func (c *Clock) Now() time.Time {
	monotonic, wall := c.readClocks()
	own := time.Duration(wall.UnixNano()) - monotonic
	c.mu.Lock()
	defer c.mu.Unlock()
	maps.DeleteFunc(c.peers, func(_ string, peer reading) bool { return monotonic-peer.receivedAt > readingTTL })
	offsets := make([]time.Duration, 0, len(c.peers)+1)
	offsets = append(offsets, own)
	for _, peer := range c.peers {
		offsets = append(offsets, peer.offset)
	}
	slices.Sort(offsets)
	return time.Unix(0, int64(offsets[len(offsets)/2]+monotonic))
}

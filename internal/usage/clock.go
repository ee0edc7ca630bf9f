package usage

import (
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/granitebay/granitebay/internal/boottime"
)

// tellTime is how long the clock of another gateway counts after it was heard: some messages that tell everything.
const tellTime = 5 * time.Second

// Clock tells the time of day as most gateways have it. Clocks of machines disagree, and some jump by seconds and back; the steady
// clock of the process goes on. So the middle of what all clocks say counts, each taken as its distance from the own steady clock.
// It is safe for concurrent use.
type Clock struct {
	// read returns the steady clock and the time of day.
	read func() (steady time.Duration, wall time.Time)

	mu     sync.Mutex
	others map[string]reading
}

// reading is the distance of the clock of another gateway from the own steady clock, and when it was heard.
type reading struct {
	distance time.Duration
	at       time.Duration
}

// NewClock returns the clock of a gateway that has heard no other. It reads the steady clock and the time of day.
func NewClock(read func() (steady time.Duration, wall time.Time)) *Clock {
	return &Clock{read: read, others: map[string]reading{}}
}

// ReadClocks returns a function that reads the clocks of the machine. The steady one counts the time in which it is suspended: else the
// distances to the clocks of others, which went on, would be off by that.
func ReadClocks() func() (steady time.Duration, wall time.Time) {
	begun := boottime.Now()
	return func() (time.Duration, time.Time) { return boottime.Now().Sub(begun), time.Now().Round(0) }
}

// Heard takes the time of day that another gateway tells in a message which has just come.
func (c *Clock) Heard(gateway string, wall time.Time) {
	steady, _ := c.read()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.others[gateway] = reading{distance: time.Duration(wall.UnixNano()) - steady, at: steady}
}

// Now returns the time of day, without a reading of the steady clock.
func (c *Clock) Now() time.Time {
	steady, now := c.read()
	own := time.Duration(now.UnixNano()) - steady
	c.mu.Lock()
	defer c.mu.Unlock()
	maps.DeleteFunc(c.others, func(_ string, heard reading) bool { return steady-heard.at > tellTime })
	distances := make([]time.Duration, 0, len(c.others)+1)
	distances = append(distances, own)
	for _, heard := range c.others {
		distances = append(distances, heard.distance)
	}
	slices.Sort(distances)
	return time.Unix(0, int64(distances[len(distances)/2]+steady))
}

package membership

import (
	"time"

	"github.com/granitebay/granitebay/internal/core"
)

// derived is what follows from the table and the contacts. It is worked out anew only after one of them changed.
type derived struct {
	revision uint64
	// peers are the other members that are not dead, sorted by name.
	peers []string
	// contactable are the routers to contact, sorted by name: seeds, listed ones and dead members, as far as they are not
	// known to live. Contacting the dead heals cuts.
	contactable []string
	// deadline is the earliest of all members; zero when there is none.
	deadline time.Time
}

// derive returns what follows from the current table and contacts. The caller must not change it.
func (c *Core) derive() *derived {
	if c.derived.revision == c.table.revision {
		return &c.derived
	}
	fresh := derived{revision: c.table.revision}
	for _, name := range c.table.names {
		known := c.table.records[name]
		fresh.deadline = core.Earliest(fresh.deadline, known.deadline)
		switch {
		case known.health == healthDead:
			fresh.contactable = append(fresh.contactable, name)
		case known != c.self:
			fresh.peers = append(fresh.peers, name)
		}
	}
	for name := range c.contacts {
		if _, known := c.table.records[name]; !known {
			fresh.contactable = append(fresh.contactable, name)
		}
	}
	fresh.contactable = sorted(fresh.contactable)
	c.derived = fresh
	return &c.derived
}

package demo

import (
	"fmt"
	"sync"

	"github.com/granitebay/granitebay/internal/decision"
)

// roleChangeLog collects descriptions of the decisions on worker roles.
type roleChangeLog struct {
	mu        sync.Mutex
	sentences []string
}

// record adds a decision; those of other kinds are ignored.
func (c *roleChangeLog) record(record decision.Record) {
	sentence := describeRoleDecision(record)
	if sentence == "" {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sentences = append(c.sentences, sentence)
}

// drain returns the descriptions added since the last call.
func (c *roleChangeLog) drain() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	sentences := c.sentences
	c.sentences = nil
	return sentences
}

// describeRoleDecision describes a decision on roles; it returns an empty string for other kinds.
func describeRoleDecision(record decision.Record) string {
	switch record.Kind {
	case decision.KindRole:
		return fmt.Sprintf("%s orders worker %s of group %s to become %s. %s",
			record.Process, record.Subject, record.Inputs["group"], record.Inputs["role"], record.Reason)
	case decision.KindAuthority:
		return fmt.Sprintf("%s now issues the orders. %s", record.Process, record.Reason)
	default:
		return ""
	}
}

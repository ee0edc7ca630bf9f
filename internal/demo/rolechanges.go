package demo

import (
	"fmt"
	"sync"

	"github.com/granitebay/granitebay/internal/decision"
)

// changes turns the decisions on roles into sentences.
type roleChangeLog struct {
	mu        sync.Mutex
	sentences []string
}

// note takes a decision of any kind.
func (c *roleChangeLog) record(record decision.Record) {
	sentence := describeRoleDecision(record)
	if sentence == "" {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sentences = append(c.sentences, sentence)
}

// take returns the sentences since the last call.
func (c *roleChangeLog) drain() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	sentences := c.sentences
	c.sentences = nil
	return sentences
}

// sentenceOf says what a decision means for the roles; empty if it means nothing.
func describeRoleDecision(record decision.Record) string {
	switch record.Kind {
	case decision.KindRole:
		return fmt.Sprintf("%s orders worker %s of group %s to become %s. %s",
			record.Process, record.Subject, record.Inputs["group"], record.Inputs["role"], record.Reason)
	case decision.KindAuthority:
		return fmt.Sprintf("%s gives the orders from now on. %s", record.Process, record.Reason)
	default:
		return ""
	}
}

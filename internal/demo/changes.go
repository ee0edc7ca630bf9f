package demo

import (
	"fmt"
	"strings"
	"sync"

	"github.com/granitebay/granitebay/internal/decision"
)

// changes turns the decisions on roles into sentences.
type changes struct {
	mutex     sync.Mutex
	sentences []string
	// plans is the latest plan of each group, by its outcome: a plan is made anew every few seconds.
	plans map[string]string
	// underWay holds the engines that are on their way to another role.
	underWay map[string]bool
}

func newChanges() *changes {
	return &changes{plans: make(map[string]string), underWay: make(map[string]bool)}
}

// note takes a decision of any kind.
func (c *changes) note(record decision.Record) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if sentence := c.sentence(record); sentence != "" {
		c.sentences = append(c.sentences, sentence)
	}
}

// take returns the sentences since the last call.
func (c *changes) take() []string {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	sentences := c.sentences
	c.sentences = nil
	return sentences
}

// sentence says what a decision means for the roles; empty if it means nothing new.
func (c *changes) sentence(record decision.Record) string {
	switch record.Kind {
	case decision.KindPlan:
		if c.plans[record.Subject] == record.Outcome {
			return ""
		}
		c.plans[record.Subject] = record.Outcome
		return fmt.Sprintf("New plan for the engines of group %s: %s", record.Subject, record.Reason)
	case decision.KindDrain:
		c.underWay[record.Subject] = true
		return fmt.Sprintf("%s takes no new work and finishes what it has: %s", record.Subject, firstSentence(record.Reason))
	case decision.KindWithdraw:
		delete(c.underWay, record.Subject)
		return fmt.Sprintf("%s stays as it is. %s", record.Subject, record.Reason)
	}
	return c.progress(record)
}

// progress says how far an engine is on its way to another role.
func (c *changes) progress(record decision.Record) string {
	if !c.underWay[record.Subject] {
		return ""
	}
	role := record.Inputs["role"]
	switch {
	case record.Kind == decision.KindEngine && record.Outcome == "changing":
		return fmt.Sprintf("%s is empty and goes out of service for some seconds to become %s.", record.Subject, role)
	case record.Kind == decision.KindEngine && record.Outcome == "ready":
		delete(c.underWay, record.Subject)
		return fmt.Sprintf("%s serves again, as a %s engine.", record.Subject, role)
	}
	return ""
}

// firstSentence leaves out what the plan already said.
func firstSentence(reason string) string {
	sentence, _, _ := strings.Cut(reason, ". ")
	return strings.TrimSuffix(sentence, ".") + "."
}

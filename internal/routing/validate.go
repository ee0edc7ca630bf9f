package routing

import (
	"fmt"
	"strings"

	"github.com/cockroachdb/errors"
)

// Validate returns all faults of a configuration together, each with the path of its field, or nil.
func (c *Configuration) Validate() error {
	var faults []error
	add := func(path, format string, args ...any) {
		faults = append(faults, errors.Newf("%s: %s", path, fmt.Sprintf(format, args...)))
	}
	groups := map[string]bool{}
	for i, group := range c.Groups {
		path := fmt.Sprintf("groups[%d]", i)
		if group.Name == "" {
			add(path+".name", "must not be empty")
		}
		if groups[group.Name] {
			add(path+".name", "%q is there twice; names must differ", group.Name)
		}
		groups[group.Name] = true
	}
	for i, group := range c.Groups {
		if group.Of != "" && !groups[group.Of] {
			add(fmt.Sprintf("groups[%d].of", i), "there is no group %q", group.Of)
		}
	}
	for i := range c.Rules {
		c.Rules[i].validate(fmt.Sprintf("rules[%d]", i), groups, add)
	}
	if c.Limits.MaxBodyBytes < 0 || c.Limits.MaxHeaderBytes < 0 {
		add("limits", "sizes must not be negative")
	}
	return errors.Join(faults...)
}

// validate adds the faults of one rule.
func (r *Rule) validate(path string, groups map[string]bool, add func(path, format string, args ...any)) {
	switch match := r.Match.(type) {
	case PathMatch:
		if !strings.HasPrefix(match.PathPrefix, "/") || !strings.HasSuffix(match.PathPrefix, "/") {
			add(path+".pathPrefix", "%q must begin and end with a slash", match.PathPrefix)
		}
	case LabelMatch:
		if match.Selector == nil {
			add(path+".selector", "must be given")
		}
	default:
		add(path+".match", "the rule must match by path or by labels")
	}
	if r.Timeout <= 0 {
		add(path+".timeout", "%s must be above 0", r.Timeout)
	}
	if r.MaxAttempts < 1 {
		add(path+".maxAttempts", "%d must be at least 1", r.MaxAttempts)
	}
	if len(r.Shares) == 0 {
		add(path+".shares", "at least one group must serve the rule")
	}
	total := 0
	for i, share := range r.Shares {
		if !groups[share.Group] {
			add(fmt.Sprintf("%s.shares[%d].group", path, i), "there is no group %q", share.Group)
		}
		if share.Weight < 0 {
			add(fmt.Sprintf("%s.shares[%d].weight", path, i), "%d must be at least 0", share.Weight)
		}
		total += max(share.Weight, 0)
	}
	if len(r.Shares) > 0 && total == 0 {
		add(path+".shares", "at least one weight must be above 0")
	}
}

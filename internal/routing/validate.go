package routing

import (
	"fmt"
	"strings"

	"github.com/cockroachdb/errors"
)

// Validate returns all errors of the configuration joined together, each with the path of its field, or nil.
func (c *Configuration) Validate() error {
	var errs []error
	addError := func(path, format string, args ...any) {
		errs = append(errs, errors.Newf("%s: %s", path, fmt.Sprintf(format, args...)))
	}
	groups := map[string]bool{}
	for i, group := range c.Groups {
		path := fmt.Sprintf("groups[%d]", i)
		if group.Name == "" {
			addError(path+".name", "must not be empty")
		}
		if groups[group.Name] {
			addError(path+".name", "%q is there twice; names must differ", group.Name)
		}
		groups[group.Name] = true
	}
	for i, group := range c.Groups {
		if group.SelectFrom != "" && !groups[group.SelectFrom] {
			addError(fmt.Sprintf("groups[%d].of", i), "there is no group %q", group.SelectFrom)
		}
	}
	for i := range c.Rules {
		c.Rules[i].validate(fmt.Sprintf("rules[%d]", i), groups, addError)
	}
	if c.Limits.MaxBodyBytes < 0 || c.Limits.MaxHeaderBytes < 0 {
		addError("limits", "sizes must not be negative")
	}
	return errors.Join(errs...)
}

// validate adds the errors of one rule.
func (r *Rule) validate(path string, groups map[string]bool, addError func(path, format string, args ...any)) {
	switch match := r.Match.(type) {
	case PathMatch:
		if !strings.HasPrefix(match.PathPrefix, "/") || !strings.HasSuffix(match.PathPrefix, "/") {
			addError(path+".pathPrefix", "%q must begin and end with a slash", match.PathPrefix)
		}
	case LabelMatch:
		if match.Selector == nil {
			addError(path+".selector", "must be given")
		}
	default:
		addError(path+".match", "the rule must match by path or by labels")
	}
	if r.Timeout <= 0 {
		addError(path+".timeout", "%s must be above 0", r.Timeout)
	}
	if r.MaxAttempts < 1 {
		addError(path+".maxAttempts", "%d must be at least 1", r.MaxAttempts)
	}
	if len(r.Shares) == 0 {
		addError(path+".shares", "at least one group must serve the rule")
	}
	total := 0
	for i, share := range r.Shares {
		if !groups[share.Group] {
			addError(fmt.Sprintf("%s.shares[%d].group", path, i), "there is no group %q", share.Group)
		}
		if share.Weight < 0 {
			addError(fmt.Sprintf("%s.shares[%d].weight", path, i), "%d must be at least 0", share.Weight)
		}
		total += max(share.Weight, 0)
	}
	if len(r.Shares) > 0 && total == 0 {
		addError(path+".shares", "at least one weight must be above 0")
	}
}

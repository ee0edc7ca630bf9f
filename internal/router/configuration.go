package router

import "github.com/granitebay/granitebay/internal/configuration"

// Configuration returns the core that takes the edits of operators and tells what is in force.
func (c *Core) Configuration() *configuration.Core { return c.configuration }

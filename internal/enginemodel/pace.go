package enginemodel

import (
	"time"

	"github.com/granitebay/granitebay/internal/backend"
)

// RelativePace returns the time that a decode engine takes for an event, or a prefill engine for a prompt, relative to what is typical of its
// group and role. It reports false, with a factor of 1, as long as too little has been observed.
func (m *Model) RelativePace(now time.Time, worker *backend.Worker) (factor float64, known bool) {
	return 1, false
}

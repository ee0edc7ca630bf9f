package settings

import (
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"
)

// Duration is a time.Duration that settings files write as text, for example "250ms" or "1m30s".
type Duration time.Duration

// UnmarshalJSON reads the text.
func (d *Duration) UnmarshalJSON(data []byte) error {
	var text string
	if err := json.Unmarshal(data, &text); err != nil {
		return errors.New(`must be a time with its unit, for example "250ms"`)
	}
	parsed, err := time.ParseDuration(text)
	if err != nil {
		return errors.New(`must be a time with its unit, for example "250ms"`)
	}
	*d = Duration(parsed)
	return nil
}

// MarshalJSON writes the text.
func (d Duration) MarshalJSON() ([]byte, error) { return json.Marshal(time.Duration(d).String()) }

// String returns the text.
func (d Duration) String() string { return time.Duration(d).String() }

// Duration returns the time.Duration.
func (d Duration) Duration() time.Duration { return time.Duration(d) }

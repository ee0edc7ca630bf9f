package strictyaml

import (
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"
)

// Duration is a time.Duration that is written as in "1m30s".
type Duration time.Duration

// Std returns the duration in the type of the standard library.
func (d Duration) Std() time.Duration { return time.Duration(d) }

// String returns the duration as in "1m30s".
func (d Duration) String() string { return time.Duration(d).String() }

// MarshalJSON writes the duration as a string.
func (d Duration) MarshalJSON() ([]byte, error) { return json.Marshal(d.String()) }

// UnmarshalJSON reads the duration from a string.
func (d *Duration) UnmarshalJSON(data []byte) error {
	var text string
	if err := json.Unmarshal(data, &text); err != nil {
		return errors.New("not a duration such as \"250ms\" or \"1m30s\"")
	}
	parsed, err := time.ParseDuration(text)
	if err != nil {
		return errors.New("not a duration such as \"250ms\" or \"1m30s\"")
	}
	*d = Duration(parsed)
	return nil
}

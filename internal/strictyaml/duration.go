package strictyaml

import (
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"
)

// Duration is a time.Duration that is encoded as a string such as "1m30s".
type Duration time.Duration

// Std returns the duration as a time.Duration.
func (d Duration) Std() time.Duration { return time.Duration(d) }

// String formats the duration like time.Duration, for example "1m30s".
func (d Duration) String() string { return time.Duration(d).String() }

// MarshalJSON encodes the duration as a string.
func (d Duration) MarshalJSON() ([]byte, error) { return json.Marshal(d.String()) }

// UnmarshalJSON decodes the duration from a string.
func (d *Duration) UnmarshalJSON(data []byte) error {
	var text string
	if err := json.Unmarshal(data, &text); err != nil {
		return errors.Newf("%s is not a duration; it must be a string such as \"250ms\" or \"1m30s\"", data)
	}
	parsed, err := time.ParseDuration(text)
	if err != nil {
		return errors.Newf("%q is not a duration; it must be a string such as \"250ms\" or \"1m30s\"", text)
	}
	*d = Duration(parsed)
	return nil
}

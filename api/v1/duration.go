package v1

import (
	"encoding/json"
	"fmt"
	"time"
)

// Duration is a time.Duration that is encoded as text, such as "250ms".
type Duration time.Duration

// MarshalJSON encodes the duration in the notation of time.Duration.
func (duration Duration) MarshalJSON() ([]byte, error) {
	return json.Marshal(time.Duration(duration).String())
}

// UnmarshalJSON decodes the notation of time.ParseDuration.
func (duration *Duration) UnmarshalJSON(data []byte) error {
	var text string
	if err := json.Unmarshal(data, &text); err != nil {
		return fmt.Errorf("duration must be text such as \"250ms\", got %s", data)
	}
	parsed, err := time.ParseDuration(text)
	if err != nil {
		return fmt.Errorf("duration %q: want text such as \"250ms\"", text)
	}
	*duration = Duration(parsed)
	return nil
}

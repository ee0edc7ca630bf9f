package agentserver

import (
	"fmt"
	"math"
	"strings"
	"time"
)

const (
	allowedDeadline = "must be a time above zero with its unit, for example 5s or 1500ms"
	allowedLabels   = "must be name=value pairs with commas between, each name once"
)

// parseDeadline reads the time that the caller gives; zero when it names none.
func parseDeadline(text string) (time.Duration, []fieldError) {
	if text == "" {
		return 0, nil
	}
	timeout, err := time.ParseDuration(text)
	if err != nil || timeout <= 0 {
		return 0, []fieldError{{Field: "header." + headerDeadline, Value: text, Allowed: allowedDeadline}}
	}
	return timeout, nil
}

// parseLabels reads name=value,name=value. The core checks names and values.
func parseLabels(text string) (map[string]string, []fieldError) {
	if strings.TrimSpace(text) == "" {
		return nil, nil
	}
	labels := make(map[string]string)
	var wrong []fieldError
	for pair := range strings.SplitSeq(text, ",") {
		name, value, found := strings.Cut(strings.TrimSpace(pair), "=")
		if _, repeated := labels[name]; !found || name == "" || repeated {
			wrong = append(wrong, fieldError{Field: "header." + headerLabels, Value: pair, Allowed: allowedLabels})
			continue
		}
		labels[name] = value
	}
	return labels, wrong
}

// tokens returns the number of tokens to generate. The core checks the upper bound.
func (s *Server) tokens(asked *int64) (uint32, []fieldError) {
	if asked == nil {
		return s.settings.DefaultMaxTokens, nil
	}
	if *asked > math.MaxUint32 {
		return 0, []fieldError{{Field: "body.max_tokens", Value: *asked, Allowed: fmt.Sprintf("must be at most %d", uint32(math.MaxUint32))}}
	}
	return uint32(*asked), nil
}

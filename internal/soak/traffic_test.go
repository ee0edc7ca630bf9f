package soak

import (
	"net/http"
	"testing"
	"time"

	"github.com/granitebay/granitebay/internal/poison"
	"github.com/granitebay/granitebay/internal/standin/fleet"
)

// TestOnlyBarsInForceAreRepeated guards against a client that repeats a crashing request after its bar has expired: it costs a worker in the
// time in which all has to be well.
func TestOnlyBarsInForceAreRepeated(t *testing.T) {
	s := &system{fleet: fleet.NewFleet()}
	path, body := "/stream/x", crashingBody(1)
	if s.isBlocked(path, body) {
		t.Error("a request without a bar is repeated")
	}
	digest := poison.Request{Method: http.MethodPost, Host: fleet.Host, Target: path, Body: []byte(body)}.Digest()
	for _, test := range []struct {
		desc string
		left time.Duration
		want bool
	}{
		{"in force", time.Minute, true},
		{"expired", -time.Second, false},
		{"expires while the request runs", time.Second, false},
	} {
		now := time.Now()
		s.fleet.Store.Put(poison.BarKey(digest), map[string]any{"workers": []string{"w"}, "times": 1, "since": now.Add(-time.Minute), "until": now.Add(test.left)})
		if got := s.isBlocked(path, body); got != test.want {
			t.Errorf("%s: got %t", test.desc, got)
		}
	}
}

package poison

import (
	"testing"

	"pgregory.net/rapid"
)

// TestDigestsDistinguishRequests guards against equal digests of requests whose bytes are split differently between the fields.
func TestDigestsDistinguishRequests(t *testing.T) {
	drawRequest := func(t *rapid.T) Request {
		short := rapid.StringMatching(`[ab/]{0,3}`)
		return Request{
			Tenant: short.Draw(t, "tenant"), Method: short.Draw(t, "method"), Host: short.Draw(t, "host"), Target: short.Draw(t, "target"),
			Body: []byte(short.Draw(t, "body")),
		}
	}
	rapid.Check(t, func(t *rapid.T) {
		first, second := drawRequest(t), drawRequest(t)
		equal := first.Tenant == second.Tenant && first.Method == second.Method && first.Host == second.Host && first.Target == second.Target &&
			string(first.Body) == string(second.Body)
		if (first.Digest() == second.Digest()) != equal {
			t.Fatalf("digests are equal for different requests or differ for equal ones: %+v and %+v", first, second)
		}
		read, err := ParseDigest(first.Digest().String())
		if err != nil || read != first.Digest() {
			t.Fatalf("ParseDigest does not invert String: %v, %v", read, err)
		}
	})
	for _, text := range []string{"", "zz", "00", overlongDigest} {
		if _, err := ParseDigest(text); err == nil {
			t.Errorf("ParseDigest accepted %q", text)
		}
	}
}

// overlongDigest has one digit too many.
const overlongDigest = "000000000000000000000000000000000"

package poison

import (
	"testing"

	"pgregory.net/rapid"
)

// TestDigestsTellRequestsApart moves bytes between the fields of a request.
func TestDigestsTellRequestsApart(t *testing.T) {
	drawAsked := func(t *rapid.T) Asked {
		short := rapid.StringMatching(`[ab/]{0,3}`)
		return Asked{
			Tenant: short.Draw(t, "tenant"), Method: short.Draw(t, "method"), Host: short.Draw(t, "host"), Target: short.Draw(t, "target"),
			Body: []byte(short.Draw(t, "body")),
		}
	}
	rapid.Check(t, func(t *rapid.T) {
		one, other := drawAsked(t), drawAsked(t)
		same := one.Tenant == other.Tenant && one.Method == other.Method && one.Host == other.Host && one.Target == other.Target &&
			string(one.Body) == string(other.Body)
		if (one.Digest() == other.Digest()) != same {
			t.Fatalf("%+v and %+v", one, other)
		}
		read, err := ParseDigest(one.Digest().String())
		if err != nil || read != one.Digest() {
			t.Fatalf("read back as %v: %v", read, err)
		}
	})
	for _, text := range []string{"", "zz", "00", one33} {
		if _, err := ParseDigest(text); err == nil {
			t.Errorf("%q was taken", text)
		}
	}
}

// one33 is a digest with a digit too many.
const one33 = "000000000000000000000000000000000"

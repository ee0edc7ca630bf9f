package peersync

import (
	"slices"
	"testing"

	"github.com/fxamacker/cbor/v2"
)

// TestSupplementsOfOtherVersions guards against rejecting supplements of other versions, which have
// unknown or missing fields.
func TestSupplementsOfOtherVersions(t *testing.T) {
	type otherVersion struct {
		Leaving []string       `cbor:"1,keyasint,omitempty"`
		Unknown map[string]int `cbor:"77,keyasint,omitempty"`
	}
	for _, sent := range []otherVersion{{Leaving: []string{"w"}, Unknown: map[string]int{"a": 1}}, {Unknown: map[string]int{"a": 1}}} {
		encoded, err := cbor.Marshal(sent)
		if err != nil {
			t.Fatal(err)
		}
		if !isSupplement(encoded) {
			t.Error("the supplement was taken for a message")
		}
		read, err := DecodeSupplement(encoded)
		if err != nil || !slices.Equal(read.Leaving, sent.Leaving) {
			t.Errorf("got %+v, %v", read, err)
		}
	}
}

// TestDatagramKindsAreDistinguished guards against decoding a datagram as the wrong kind.
func TestDatagramKindsAreDistinguished(t *testing.T) {
	message, err := (&Message{Sender: "a"}).Encode()
	if err != nil || isSupplement(message) || isSupplement(nil) {
		t.Errorf("a message or an empty datagram is taken for a supplement, or encoding failed: %v", err)
	}
	supplement, err := (&Supplement{Leaving: []string{"w"}}).Encode()
	if err != nil || !isSupplement(supplement) {
		t.Errorf("a supplement is taken for a message, or encoding failed: %v", err)
	}
}

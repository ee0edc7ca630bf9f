package configuration

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	granitebayv1 "github.com/granitebay/granitebay/gen/granitebay/v1"
	"github.com/granitebay/granitebay/internal/core"
)

// chain returns the snapshots of a document with some tenants after each of some edits, the first one included.
func chain(t *testing.T, edits ...Edit) []*Snapshot {
	t.Helper()
	document := Document{Spec: Spec{Models: []Model{{Name: "m", Versions: []string{"1"}}}}, Status: Status{Revision: 1, ChangeID: "first"}}
	for index := range 100 {
		document.Tenants = append(document.Tenants, Tenant{Name: fmt.Sprintf("tenant-%03d", index), Weight: 1})
	}
	first, err := Compile(document)
	if err != nil {
		t.Fatal(err)
	}
	snapshots := []*Snapshot{first}
	for index, edit := range edits {
		current := snapshots[index].Document()
		next, _, err := Preview(current, EditRequest{
			ChangeID: fmt.Sprintf("edit-%d", index), BaseRevision: current.Revision, Edits: []Edit{edit},
		}, time.Unix(1_800_000_000, 0))
		if err != nil {
			t.Fatal(err)
		}
		snapshot, err := Compile(next)
		if err != nil {
			t.Fatal(err)
		}
		snapshots = append(snapshots, snapshot)
	}
	return snapshots
}

func TestChangesMakeTheSameDocument(t *testing.T) {
	tests := []struct {
		desc  string
		edits []Edit
	}{
		{"label set", []Edit{SetLabel("engine-1", "pool", "a")}},
		{"label set and removed", []Edit{SetLabel("engine-1", "pool", "a"), RemoveLabel("engine-1", "pool")}},
		{"tenant changed", []Edit{PutTenant(Tenant{Name: "tenant-007", Weight: 3})}},
		{"tenant added", []Edit{PutTenant(Tenant{Name: "another", Weight: 3})}},
		{"tenant deleted", []Edit{Delete(KindTenant, "tenant-007")}},
		{"one field several times", []Edit{
			PutTenant(Tenant{Name: "tenant-007", Weight: 3}), PutTenant(Tenant{Name: "tenant-007", Weight: 4}), Delete(KindTenant, "tenant-007"),
		}},
	}
	for _, test := range tests {
		t.Run(test.desc, func(t *testing.T) {
			snapshots := chain(t, test.edits...)
			last := snapshots[len(snapshots)-1]
			for _, base := range snapshots[:len(snapshots)-1] {
				encoded, ok := last.deltaSince(base.Revision())
				if !ok {
					t.Fatalf("no changes since revision %d", base.Revision())
				}
				made, err := base.applyDelta(encoded)
				if err != nil {
					t.Fatal(err)
				}
				if made.Digest() != last.Digest() || made.Revision() != last.Revision() {
					t.Errorf("since revision %d: another document was made", base.Revision())
				}
				if len(encoded) > len(last.encoded)/4 {
					t.Errorf("the changes take %d bytes, the document %d", len(encoded), len(last.encoded))
				}
			}
		})
	}
}

func TestWholeDocumentWhenChangesDoNotDo(t *testing.T) {
	var edits []Edit
	for index := range MaximumHistory + 2 {
		edits = append(edits, SetLabel("engine-1", "pool", fmt.Sprint(index)))
	}
	snapshots := chain(t, edits...)
	last := snapshots[len(snapshots)-1]
	other := chain(t, PutTenant(Tenant{Name: "tenant-001", Weight: 9}))[1]
	tests := []struct {
		desc string
		// have is what the receiver has in force; nil is nothing.
		have *Snapshot
		// exchanged are the answers in order: changes or the whole document.
		exchanged string
	}{
		{"nothing", nil, "whole "},
		{"the revision before", snapshots[len(snapshots)-2], "changes "},
		{"a revision that the history has forgotten", snapshots[0], "whole "},
		{"another document of the same revision", other, "whole "},
		{"another document of a revision of the history", lateTwin(t, snapshots[len(snapshots)-2]), "changes whole "},
	}
	for _, test := range tests {
		t.Run(test.desc, func(t *testing.T) {
			now := time.Unix(1_800_000_000, 0)
			newCore := func(name string, current *Snapshot) *Core {
				settings := DefaultSettings(name, 1)
				settings.ReadOnly = true // no store
				made := NewCore(settings, rand.New(rand.NewPCG(1, 1)))
				made.current = current
				return made
			}
			cores := map[string]*Core{"a": newCore("a", test.have), "b": newCore("b", last)}
			effects := &core.Effects{}
			cores["a"].HandleEnvelope(now, &granitebayv1.Envelope{From: &granitebayv1.Peer{Name: "b"}, Body: &granitebayv1.Envelope_ConfigurationDigest{
				ConfigurationDigest: &granitebayv1.ConfigurationDigest{Revision: last.Revision(), Digest: last.Digest()},
			}}, effects)
			exchanged := ""
			from := "a"
			for len(effects.Messages) > 0 {
				message := effects.Messages[0]
				if snapshot := message.Envelope.GetConfigurationSnapshot(); snapshot != nil {
					exchanged += map[bool]string{true: "whole ", false: "changes "}[snapshot.GetBaseRevision() == 0]
				}
				message.Envelope.From = &granitebayv1.Peer{Name: from}
				effects = &core.Effects{}
				cores[message.To].HandleEnvelope(now, message.Envelope, effects)
				from = message.To
			}
			if exchanged != test.exchanged || cores["a"].Revision() != last.Revision() || cores["a"].current.Digest() != last.Digest() {
				t.Errorf("exchanged %q, want %q; revision %d, want %d", exchanged, test.exchanged, cores["a"].Revision(), last.Revision())
			}
		})
	}
}

// lateTwin returns a document with the revision of another one but another content.
func lateTwin(t *testing.T, of *Snapshot) *Snapshot {
	t.Helper()
	document := of.Document()
	document.Spec.Tenants = document.Spec.Tenants[1:]
	twin, err := Compile(document)
	if err != nil {
		t.Fatal(err)
	}
	return twin
}

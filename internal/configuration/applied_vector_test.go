package configuration

import (
	"fmt"
	"testing"

	"github.com/samber/lo"
	"google.golang.org/protobuf/proto"

	granitebayv1 "github.com/granitebay/granitebay/gen/granitebay/v1"
)

// tableOf returns the table of one of some routers, which has its own revision.
func tableOf(self, routers int, revision uint64) *appliedTable {
	table := newAppliedTable(fmt.Sprintf("router-%03d", self), 1, 0)
	table.setMembers(lo.Times(routers, func(i int) Peer { return Peer{Name: fmt.Sprintf("router-%03d", i), Incarnation: 1} }))
	table.setOwn(revision)
	return table
}

func TestVectorOfAppliedRevisions(t *testing.T) {
	tests := []struct {
		desc string
		// spoil changes the receiver before the digest comes.
		spoil func(receiver *appliedTable)
		want  map[string]uint64
	}{
		{"same routers", func(*appliedTable) {}, map[string]uint64{"router-000": 7, "router-001": 5, "router-002": 3, "router-003": 0}},
		{"the receiver knows better", func(r *appliedTable) { r.entries["router-001"].revision = 9 }, map[string]uint64{"router-001": 9, "router-000": 7}},
		{"one router more", func(r *appliedTable) {
			r.setMembers(lo.Times(5, func(i int) Peer { return Peer{Name: fmt.Sprintf("router-%03d", i), Incarnation: 1} }))
		}, map[string]uint64{"router-000": 0, "router-001": 0}},
		{"a router restarted", func(r *appliedTable) { r.entries["router-001"].incarnation = 2 }, map[string]uint64{"router-000": 0, "router-001": 0}},
	}
	for _, test := range tests {
		t.Run(test.desc, func(t *testing.T) {
			sender, receiver := tableOf(0, 4, 7), tableOf(2, 4, 3)
			sender.entries["router-001"].revision = 5
			test.spoil(receiver)
			digest := &granitebayv1.ConfigurationDigest{Revision: 7}
			sender.putVector(digest)
			receiver.mergeVector(digest)
			for name, want := range test.want {
				if got := receiver.revisionOf(name); got != want {
					t.Errorf("%s has revision %d, want %d", name, got, want)
				}
			}
		})
	}
}

func TestVectorIsShort(t *testing.T) {
	table := tableOf(0, 320, 1_000_000)
	for _, name := range table.names {
		table.entries[name].revision = 1_000_000 - uint64(len(name))
	}
	digest := &granitebayv1.ConfigurationDigest{Revision: 1_000_000}
	table.putVector(digest)
	if size := proto.Size(digest); size > 2*320 {
		t.Errorf("the revisions of 320 routers take %d bytes", size)
	}
}

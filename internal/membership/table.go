package membership

import (
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	granitebayv1 "github.com/granitebay/granitebay/gen/granitebay/v1"
	"github.com/granitebay/granitebay/internal/core"
	"github.com/granitebay/granitebay/internal/decision"
)

// record is what the table holds of one member.
type record struct {
	// member without its state, which follows from the fields below.
	member Member
	health health
	// leaving holds for the incarnation and is spread.
	leaving bool
	// listedLeaving is set while the platform's list says leaving without an incarnation. It is not spread, because the
	// list may mean an earlier process of the name.
	listedLeaving bool
	// doubted shows the member as suspect until it answers. It is not spread and has no deadline.
	doubted bool
	// heldDead is set when a doubt arose because another router holds the member dead, which only the member can refute.
	heldDead bool
	// deadline is when a suspect member counts as dead, or a dead one is forgotten.
	deadline time.Time
}

// state is what other parts of the router see.
func (r *record) state() State {
	switch {
	case r.health == healthDead:
		return StateDead
	case r.leaving || r.listedLeaving:
		return StateLeaving
	case r.health == healthSuspect || r.doubted:
		return StateSuspect
	}
	return StateAlive
}

// exported returns the member with its state.
func (r *record) exported() Member {
	member := r.member
	member.State = r.state()
	return member
}

// update returns what is spread about the member.
func (r *record) update() *granitebayv1.MemberUpdate {
	return &granitebayv1.MemberUpdate{
		Name:        r.member.Name,
		Incarnation: r.member.Incarnation,
		Sequence:    r.member.Sequence,
		Address:     r.member.Address,
		Zone:        r.member.Zone,
		State:       toWire[r.health],
		Leaving:     r.leaving,
	}
}

// concernsItself tells whether the member should hear what is held of it: to refute it, or to learn that it leaves.
func (r *record) concernsItself() bool {
	return r.health != healthAlive || r.heldDead || r.leaving
}

// updateForItself returns what the member hears of itself. It refutes being held dead elsewhere like a suspicion here.
func (r *record) updateForItself() *granitebayv1.MemberUpdate {
	update := r.update()
	if r.heldDead {
		update.State = granitebayv1.MemberState_MEMBER_STATE_SUSPECT
	}
	return update
}

// table holds all members, this process included.
type table struct {
	records map[string]*record
	// names are the keys of records, sorted.
	names []string
	// version grows when the exported members change.
	version uint64
	// revision grows with each change, also one that does not show in the exported members.
	revision uint64
	// digest combines the hashes of all members that are not dead.
	digest uint64
	// all and live are the exported members; nil after a change.
	all, live []Member
}

func newTable() *table {
	return &table{records: make(map[string]*record)}
}

// add puts a new record into the table.
func (t *table) add(added *record) {
	name := added.member.Name
	at, _ := slices.BinarySearch(t.names, name)
	t.names = slices.Insert(t.names, at, name)
	t.records[name] = added
	t.digest ^= added.hash()
	t.changed()
}

// remove forgets a record.
func (t *table) remove(removed *record) {
	name := removed.member.Name
	at, _ := slices.BinarySearch(t.names, name)
	t.names = slices.Delete(t.names, at, at+1)
	delete(t.records, name)
	t.digest ^= removed.hash()
	t.changed()
}

// change applies a change to a record, keeps version and digest, and records a decision when state or process changed.
func (t *table) change(changed *record, reason string, effects *core.Effects, apply func()) {
	before := changed.exported()
	t.digest ^= changed.hash()
	apply()
	t.digest ^= changed.hash()
	t.revision++
	after := changed.exported()
	if before == after {
		return
	}
	t.changed()
	if before.State != after.State || before.Incarnation != after.Incarnation {
		decide(effects, after, before.State, reason)
	}
}

// changed notes that the exported members changed.
func (t *table) changed() {
	t.revision++
	t.version++
	t.all, t.live = nil, nil
}

// export rebuilds the exported members after a change.
func (t *table) export() {
	if t.all != nil {
		return
	}
	for _, name := range t.names {
		member := t.records[name].exported()
		t.all = append(t.all, member)
		if member.State == StateAlive || member.State == StateSuspect {
			t.live = append(t.live, member)
		}
	}
}

// hash is the part of the digest that comes from one record.
func (r *record) hash() uint64 {
	if r.health == healthDead {
		return 0
	}
	bytes := []byte(r.member.Name)
	bytes = binary.BigEndian.AppendUint64(bytes, r.member.Incarnation)
	bytes = binary.BigEndian.AppendUint64(bytes, r.member.Sequence)
	if r.leaving {
		bytes = append(bytes, 1)
	}
	return xxhash.Sum64(bytes)
}

// decide records that the state of a member changed.
func decide(effects *core.Effects, member Member, before State, reason string) {
	inputs := map[string]string{"address": member.Address, "zone": member.Zone}
	if before != "" {
		inputs["before"] = string(before)
	}
	effects.Decide(decision.Record{
		Kind:    decision.KindMembership,
		Subject: member.Name,
		Outcome: string(member.State),
		Reason:  reason,
		Inputs:  inputs,
	})
}

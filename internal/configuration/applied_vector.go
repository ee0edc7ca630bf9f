package configuration

import (
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"

	granitebayv1 "github.com/granitebay/granitebay/gen/granitebay/v1"
)

const (
	// vectorFrom is the number of other routers from which on a digest carries the applied revisions of all routers at
	// once, one or two bytes each, and only few with names.
	vectorFrom = 32
	// vectorNamed and vectorRefresh are the most entries with names in such a digest, and those of them sent in turn.
	// They serve receivers that know other routers.
	vectorNamed   = 3
	vectorRefresh = 1
)

// everyone returns the names of all routers, this one included, in order.
func (t *appliedTable) everyone() []string {
	at, _ := slices.BinarySearch(t.names, t.self)
	return slices.Insert(slices.Clone(t.names), at, t.self)
}

// hashMembers returns a hash over the names and incarnations of all routers.
func (t *appliedTable) hashMembers() uint64 {
	var bytes []byte
	for _, name := range t.everyone() {
		bytes = append(bytes, name...)
		bytes = binary.BigEndian.AppendUint64(append(bytes, 0), t.entries[name].incarnation)
	}
	return xxhash.Sum64(bytes)
}

// putVector writes the applied revisions of all routers into a digest.
func (t *appliedTable) putVector(digest *granitebayv1.ConfigurationDigest) {
	everyone := t.everyone()
	for _, name := range everyone {
		digest.Highest = max(digest.GetHighest(), t.entries[name].revision)
	}
	digest.Members = t.hashMembers()
	digest.Behind = make([]uint32, len(everyone))
	for i, name := range everyone {
		if revision := t.entries[name].revision; revision > 0 {
			digest.Behind[i] = uint32(min(digest.GetHighest()-revision+1, uint64(^uint32(0))))
		}
	}
}

// mergeVector takes the applied revisions of all routers from a digest of a router that knows the same ones.
func (t *appliedTable) mergeVector(digest *granitebayv1.ConfigurationDigest) {
	everyone := t.everyone()
	if len(digest.GetBehind()) != len(everyone) || digest.GetMembers() != t.hashMembers() {
		return
	}
	for i, name := range everyone {
		behind := uint64(digest.GetBehind()[i])
		if name == t.self || behind == 0 || behind > digest.GetHighest() {
			continue
		}
		entry := t.entries[name]
		if revision := digest.GetHighest() - behind + 1; revision > entry.revision {
			*entry = appliedEntry{incarnation: entry.incarnation, revision: revision}
		}
	}
}

package store

import "github.com/cespare/xxhash/v2"

// Standby gateways need the configuration and the registrations of their peers, but only some of the many worker
// records. These are divided into shards by a hash of their keys. Each standby gateway has a fixed hash that selects
// its shard for any number of shards. The number of shards is a power of two chosen by the gateway that serves the
// changes, so that the size of a shard does not grow with the fleet.

// Shard sizes in records.
const (
	// maxShardSize is the size above which the number of shards is increased. A few hundred workers of all zones and
	// services suffice to serve callers that still use the address of a standby gateway, and need little memory.
	maxShardSize = 384
	// minShardSize is the size below which the number of shards is reduced. The distance to maxShardSize keeps the number
	// from oscillating.
	minShardSize = 64
	// targetShardSize is the maximum shard size right after the number of shards has changed.
	targetShardSize = 192
)

// inShard reports whether a key belongs to the shard that a hash selects.
func inShard(key string, shardHash uint64, shards int) bool {
	return shards > 0 && (xxhash.Sum64String(key)^shardHash)&uint64(shards-1) == 0
}

// shardsFor returns the number of shards for a number of records. It keeps the current number, which may be zero, if
// the shard size is within bounds.
func shardsFor(records, current int) int {
	isSuitable := current == 1 && records <= maxShardSize
	if current > 1 {
		size := records / current
		isSuitable = size >= minShardSize && size <= maxShardSize
	}
	if isSuitable {
		return current
	}
	shards := 1
	for records/shards > targetShardSize {
		shards *= 2
	}
	return shards
}

package store

import "github.com/cespare/xxhash/v2"

// A process to which nobody is sent needs the configuration and the list of its peers, but only some of the many records of workers. These
// are divided into shards by a hash of their keys; each such process has a seat, which names its shard for any number of them. The number
// is a power of two that whoever tells the changes chooses, so that what one process holds of the records does not grow with the fleet.

// Sizes of a shard, in records.
const (
	// mostOfShard is the size from which on there are to be more shards: with a few hundred workers of all zones and services one can serve
	// callers who kept its address, and what it takes to hold them is small beside the rest.
	maxShardSize = 384
	// leastOfShard is the size below which there are to be fewer, if there are several; the room between both keeps the number from
	// changing to and fro.
	minShardSize = 64
	// usualOfShard is the size at which a number of shards is chosen anew.
	targetShardSize = 192
)

// inShard tells whether a key belongs to the shard of a seat among so many.
func inShard(key string, shardHash uint64, shards int) bool {
	return shards > 0 && (xxhash.Sum64String(key)^shardHash)&uint64(shards-1) == 0
}

// shardsFor returns the number of shards for so many records, given the number that a process knows so far; zero is none.
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

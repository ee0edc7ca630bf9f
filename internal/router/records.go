package router

import (
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/samber/lo"

	granitebayv1 "github.com/granitebay/granitebay/gen/granitebay/v1"
	"github.com/granitebay/granitebay/internal/core"
)

const (
	// recordsPerMessage bounds the engine records in one message. A router sends no further bucket in one exchange
	// once it has sent recordsPerExchange.
	recordsPerMessage  = 64
	recordsPerExchange = 512
	// recordBuckets is the number of parts in which two routers compare their records.
	recordBuckets = 256
)

// recordHashes are hashes over the names and generations of the records.
type recordHashes struct {
	known   bool
	whole   uint64
	buckets []uint64
}

// spreadRecords tells the other routers of engine records that changed, so that they need not wait for their watch.
func (c *Core) spreadRecords(effects *core.Effects) {
	changed := c.roles.TakeChangedRecords()
	if len(changed) == 0 {
		return
	}
	c.enginesChanged = true
	c.recordHashes.known = false
	own := lo.Filter(changed, func(record *granitebayv1.EngineRecord, _ int) bool {
		return c.roles.EngineState(record.GetEngine()).Epoch != 0
	})
	for _, part := range lo.Chunk(own, recordsPerMessage) {
		c.broadcast(recordsEnvelope(part), effects)
	}
}

func recordsEnvelope(records []*granitebayv1.EngineRecord) *granitebayv1.Envelope {
	return &granitebayv1.Envelope{Body: &granitebayv1.Envelope_EngineRecords{EngineRecords: &granitebayv1.EngineRecords{Records: records}}}
}

// tickRecords compares the records with those of one random router, so that one that missed a change learns it even
// while the key-value service is down.
func (c *Core) tickRecords(now time.Time, effects *core.Effects) {
	if now.Before(c.nextRecords) {
		return
	}
	c.nextRecords = now.Add(c.settings.RecordsInterval)
	others := c.others()
	if len(others) == 0 {
		return
	}
	peer := others[c.random.IntN(len(others))]
	effects.Send(peer.Name, peer.Address, recordsDigest(&granitebayv1.RecordsDigest{Whole: c.hashRecords().whole}))
}

func recordsDigest(digest *granitebayv1.RecordsDigest) *granitebayv1.Envelope {
	return &granitebayv1.Envelope{Body: &granitebayv1.Envelope_RecordsDigest{RecordsDigest: digest}}
}

// handleRecordsDigest goes on with the comparison of records that another router began. Each sends the other its records
// in the buckets that differ; of each engine the record with the higher generation counts.
func (c *Core) handleRecordsDigest(from *granitebayv1.Peer, theirs *granitebayv1.RecordsDigest, effects *core.Effects) {
	ours := c.hashRecords()
	if theirs.GetWhole() == ours.whole {
		return
	}
	if len(theirs.GetBuckets()) != recordBuckets {
		c.sendBuckets(from, false, effects)
		return
	}
	for _, part := range lo.Chunk(c.differingRecords(theirs.GetBuckets(), ours.buckets), recordsPerMessage) {
		effects.Send(from.GetName(), from.GetAddress(), recordsEnvelope(part))
	}
	if !theirs.GetLast() {
		c.sendBuckets(from, true, effects)
	}
}

// differingRecords lists the records of buckets that differ: whole buckets, from a random one on, until there are enough
// for one exchange, so that each exchange settles some of them.
func (c *Core) differingRecords(theirs, ours []uint64) []*granitebayv1.EngineRecord {
	byBucket := lo.GroupBy(c.roles.Records(), bucketOf)
	first := c.random.IntN(recordBuckets)
	var records []*granitebayv1.EngineRecord
	for i := range recordBuckets {
		bucket := (first + i) % recordBuckets
		if theirs[bucket] != ours[bucket] && len(records) < recordsPerExchange {
			records = append(records, byBucket[bucket]...)
		}
	}
	return records
}

func (c *Core) sendBuckets(to *granitebayv1.Peer, last bool, effects *core.Effects) {
	ours := c.hashRecords()
	effects.Send(to.GetName(), to.GetAddress(), recordsDigest(&granitebayv1.RecordsDigest{Whole: ours.whole, Buckets: ours.buckets, Last: last}))
}

// hashRecords returns the hashes of the records, which are worked out anew after a change.
func (c *Core) hashRecords() recordHashes {
	if !c.recordHashes.known {
		whole, buckets := HashRecords(c.roles.Records())
		c.recordHashes = recordHashes{known: true, whole: whole, buckets: buckets}
	}
	return c.recordHashes
}

// HashRecords returns the hashes by which routers compare engine records: over all, and over each bucket.
func HashRecords(records []*granitebayv1.EngineRecord) (whole uint64, buckets []uint64) {
	buckets = make([]uint64, recordBuckets)
	for _, record := range records {
		bytes := binary.BigEndian.AppendUint64([]byte(record.GetEngine()), record.GetGeneration())
		hash := xxhash.Sum64(bytes)
		whole ^= hash
		buckets[bucketOf(record)] ^= hash
	}
	return whole, buckets
}

// bucketOf returns the bucket in which a record is compared.
func bucketOf(record *granitebayv1.EngineRecord) int {
	return int(xxhash.Sum64String(record.GetEngine()) % recordBuckets)
}

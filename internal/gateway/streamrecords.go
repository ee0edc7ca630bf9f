package gateway

import (
	"time"

	"github.com/samber/lo"

	"github.com/granitebay/granitebay/internal/boottime"
	"github.com/granitebay/granitebay/internal/peersync"
	"github.com/granitebay/granitebay/internal/streamversion"
)

// Parameters of the records of streams.
const (
	// recordHolders is the number of other gateways that are told which version began a stream.
	recordHolders = 4
	// recordRepeatDelay is the time after which a record is sent a second time, since datagrams may be lost.
	recordRepeatDelay = 30 * time.Millisecond
	// recordsPerDatagram bounds the size of a datagram with records.
	recordsPerDatagram = 20
	// maxStreamRecords bounds the records that a gateway keeps, some 150 bytes each.
	maxStreamRecords = 1 << 16
	// maxVersionBytes bounds the names in a record of another gateway.
	maxVersionBytes = 256
)

// share tells the holders of records, twice.
func (s *streamVersions) share(records []streamversion.Record) {
	datagrams := s.datagramsFor(records)
	s.gateway.metrics.countStreamRecords("sent", len(records))
	send := func() {
		for _, datagram := range datagrams {
			s.gateway.loadExchange.SendTo([]string{datagram.address}, datagram.supplement)
		}
	}
	send()
	time.AfterFunc(recordRepeatDelay, send)
}

// recordDatagram is a datagram with records for one gateway.
type recordDatagram struct {
	address    string
	supplement peersync.Supplement
}

// datagramsFor returns the datagrams that tell the holders of records.
func (s *streamVersions) datagramsFor(records []streamversion.Record) []recordDatagram {
	byHolder := map[string][]peersync.StreamVersion{}
	for _, record := range records {
		holders := s.peersFor(record.Key)
		for _, holder := range holders[:min(recordHolders, len(holders))] {
			byHolder[holder.PeerAddress] = append(byHolder[holder.PeerAddress], peersync.StreamVersion{
				Key: uint64(record.Key), Service: record.Version.Service, Software: record.Version.Encode(), LifetimeMs: record.Lifetime.Milliseconds(),
			})
		}
	}
	var datagrams []recordDatagram
	for address, versions := range byHolder {
		for _, part := range lo.Chunk(versions, recordsPerDatagram) {
			datagrams = append(datagrams, recordDatagram{address: address, supplement: peersync.Supplement{StreamVersions: part}})
		}
	}
	return datagrams
}

// applyRecords keeps the records of another gateway. Those with impossible values are left out.
func (s *streamVersions) applyRecords(versions []peersync.StreamVersion) {
	if len(versions) == 0 {
		return
	}
	now := boottime.Now()
	kept := 0
	s.mu.Lock()
	for _, version := range versions {
		lifetime := time.Duration(version.LifetimeMs) * time.Millisecond
		if version.Key == 0 || lifetime <= 0 || lifetime > streamversion.MaxLifetime || len(version.Service)+len(version.Software) > maxVersionBytes {
			continue
		}
		record := streamversion.Record{
			Key: streamversion.Key(version.Key), Version: streamversion.DecodeVersion(version.Service, version.Software), Lifetime: lifetime,
		}
		if s.records.Put(now, record) {
			kept++
		}
	}
	s.mu.Unlock()
	s.gateway.metrics.countStreamRecords("kept", kept)
	s.gateway.metrics.countStreamRecords("rejected", len(versions)-kept)
}

// handOver tells other gateways all records while several versions serve, because this gateway stops, and otherwise those from which they can't
// conclude the version.
func (s *streamVersions) handOver() {
	now := boottime.Now()
	s.mu.Lock()
	var records []streamversion.Record
	if s.history.IsMixed(now) {
		records = s.records.TakeAll(now)
	} else {
		records = s.records.TakeUntold(now)
	}
	s.mu.Unlock()
	if len(records) > 0 {
		s.share(records)
	}
}

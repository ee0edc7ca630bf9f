package gateway

import (
	"context"
	"strconv"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/samber/lo"

	"github.com/granitebay/granitebay/internal/backend"
	"github.com/granitebay/granitebay/internal/boottime"
	"github.com/granitebay/granitebay/internal/forward"
	"github.com/granitebay/granitebay/internal/member"
	"github.com/granitebay/granitebay/internal/peersync"
	"github.com/granitebay/granitebay/internal/rendezvous"
	"github.com/granitebay/granitebay/internal/roles"
	"github.com/granitebay/granitebay/internal/streamversion"
	"github.com/granitebay/granitebay/internal/versionsync"
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

// Parameters of questions about streams.
const (
	// askPatience is the time after which further gateways are asked although some have not answered.
	askPatience = 20 * time.Millisecond
	// askTimeout bounds the time until a stream counts as unknown.
	askTimeout = 150 * time.Millisecond
)

// askRounds holds how many gateways are asked at a time. The first ones are those that most likely have the record.
var askRounds = []int{2, 3, 3}

// streamVersions knows which software version began each stream that may be taken up again. It implements forward.StreamVersions.
//
// A record is sent to other gateways before the first event of its stream is, without waiting for them: if all copies are lost, the stream can't
// be taken up, which is never wrong.
type streamVersions struct {
	gateway *Gateway
	client  *versionsync.Client

	mu      sync.Mutex
	history *streamversion.History
	records *streamversion.Table
}

// newStreamVersions returns streamVersions that know no workers.
func newStreamVersions(gateway *Gateway) *streamVersions {
	return &streamVersions{
		gateway: gateway, client: versionsync.New(), history: streamversion.NewHistory(), records: streamversion.NewTable(maxStreamRecords),
	}
}

// Began implements forward.StreamVersions.
func (s *streamVersions) Began(stream streamversion.Stream, version streamversion.Version) {
	staleness, now := s.gateway.view.Staleness(), boottime.Now()
	record := streamversion.Record{Key: stream.Key, Version: version, Lifetime: stream.Lifetime}
	s.mu.Lock()
	isShared := streamversion.NeedsRecord(s.history.Outlook(now, stream.Services, stream.Horizon()), staleness)
	s.records.PutLocal(now, record, isShared)
	s.mu.Unlock()
	if isShared {
		s.share([]streamversion.Record{record})
	}
}

// Find implements forward.StreamVersions.
func (s *streamVersions) Find(ctx context.Context, stream streamversion.Stream) streamversion.Finding {
	if version, age, found := s.findRecord(stream.Key); found {
		return streamversion.Finding{Version: version, Source: streamversion.SourceOwnRecord, Age: age}
	}
	peers := s.peersFor(stream.Key)
	answers := s.ask(ctx, peers, stream)
	for _, answer := range answers {
		if answer.Found {
			age := time.Duration(answer.AgeMs) * time.Millisecond
			return streamversion.Finding{Version: answer.Version(), Source: streamversion.SourcePeer, Age: age}
		}
	}
	evidence := streamversion.Evidence{Staleness: s.gateway.view.Staleness(), Horizon: stream.Horizon(), PeerCount: len(peers)}
	for _, answer := range answers {
		evidence.Peers = append(evidence.Peers, answer.Outlook())
	}
	s.mu.Lock()
	evidence.Own = s.history.Outlook(boottime.Now(), stream.Services, stream.Horizon())
	s.mu.Unlock()
	if version, isOnly := evidence.Deduce(); isOnly {
		return streamversion.Finding{Version: version, Source: streamversion.SourceDeduced, Age: evidence.Staleness}
	}
	return streamversion.Finding{Source: streamversion.SourceUnknown, Age: evidence.Staleness}
}

// findRecord returns the version of a record that this gateway keeps.
func (s *streamVersions) findRecord(key streamversion.Key) (streamversion.Version, time.Duration, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.records.Find(boottime.Now(), key)
}

// lookUp answers the question of another gateway about a stream.
func (s *streamVersions) lookUp(stream streamversion.Stream) versionsync.Answer {
	staleness, now := s.gateway.view.Staleness(), boottime.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	if version, age, found := s.records.Find(now, stream.Key); found {
		return versionsync.Answer{Found: true, Service: version.Service, Software: version.Software, AgeMs: age.Milliseconds()}
	}
	outlook := s.history.Outlook(now, stream.Services, stream.Horizon())
	outlook.IsComplete = outlook.IsComplete && staleness < stream.Horizon()
	var answer versionsync.Answer
	answer.SetOutlook(outlook)
	return answer
}

// peersFor returns the other gateways that are known to be alive, those first that keep the record of a stream.
func (s *streamVersions) peersFor(key streamversion.Key) []member.Gateway {
	byName := map[string]member.Gateway{}
	for _, gateway := range s.gateway.advertised() {
		if gateway.Name != s.gateway.settings.Name && gateway.ControlAddress != "" {
			byName[gateway.Name] = gateway
		}
	}
	ordered := rendezvous.Order(strconv.FormatUint(uint64(key), 16), lo.Keys(byName))
	return lo.Map(ordered, func(name string, _ int) member.Gateway { return byName[name] })
}

// ask asks gateways in rounds about a stream, and returns their answers. The last one has the record, if any does.
func (s *streamVersions) ask(ctx context.Context, peers []member.Gateway, stream streamversion.Stream) []versionsync.Answer {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	pending := 0
	received := make(chan *versionsync.Answer, len(peers))
	var answers []versionsync.Answer
	for round, size := range askRounds {
		asked := min(size, len(peers))
		for _, peer := range peers[:asked] {
			pending++
			go func() { received <- s.askOne(ctx, peer, stream) }()
		}
		peers = peers[asked:]
		patience := askPatience
		if len(peers) == 0 || round == len(askRounds)-1 {
			patience = askTimeout
		}
		var isFound bool
		if answers, pending, isFound = collectAnswers(ctx, received, answers, pending, patience); isFound || len(peers) == 0 {
			break
		}
	}
	return answers
}

// askOne asks one gateway; it returns nil if the gateway does not answer.
func (s *streamVersions) askOne(ctx context.Context, peer member.Gateway, stream streamversion.Stream) *versionsync.Answer {
	answer, err := s.client.Ask(ctx, peer.ControlAddress, stream)
	if err != nil {
		return nil
	}
	return &answer
}

// collectAnswers adds answers until none is pending, one has the record, or the patience or the context is over. It returns the answers, how
// many are pending, and whether one has the record.
func collectAnswers(
	ctx context.Context, received <-chan *versionsync.Answer, answers []versionsync.Answer, pending int, patience time.Duration,
) ([]versionsync.Answer, int, bool) {
	timer := time.NewTimer(patience)
	defer timer.Stop()
	for pending > 0 {
		select {
		case answer := <-received:
			pending--
			if answer == nil {
				continue
			}
			answers = append(answers, *answer)
			if answer.Found {
				return answers, pending, true
			}
		case <-timer.C:
			return answers, pending, false
		case <-ctx.Done():
			return answers, pending, false
		}
	}
	return answers, pending, false
}

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
				Key: uint64(record.Key), Service: record.Version.Service, Software: record.Version.Software, LifetimeMs: record.Lifetime.Milliseconds(),
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
			Key: streamversion.Key(version.Key), Version: streamversion.Version{Service: version.Service, Software: version.Software}, Lifetime: lifetime,
		}
		if s.records.Put(now, record) {
			kept++
		}
	}
	s.mu.Unlock()
	s.gateway.metrics.countStreamRecords("kept", kept)
	s.gateway.metrics.countStreamRecords("rejected", len(versions)-kept)
}

// workersChanged applies changes of the workers. Previous are the workers before them. Streams of which nobody was told are told to others once
// a second version serves.
func (s *streamVersions) workersChanged(previous backend.Set, changes backend.Changes) {
	now := boottime.Now()
	s.mu.Lock()
	s.history.Change(now, previous, changes)
	var records []streamversion.Record
	if s.history.IsMixed(now) {
		records = s.records.TakeUnshared(now)
	}
	s.mu.Unlock()
	if len(records) > 0 {
		// The caller holds mutexes of the gateway.
		go s.share(records)
	}
}

// restartHistory begins to watch the workers anew, because changes may have been missed.
func (s *streamVersions) restartHistory() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history.Restart(boottime.Now())
}

// handOver tells other gateways all records while several versions serve, because this gateway stops.
func (s *streamVersions) handOver() {
	now := boottime.Now()
	s.mu.Lock()
	var records []streamversion.Record
	if s.history.IsMixed(now) {
		records = s.records.TakeAll(now)
	}
	s.mu.Unlock()
	if len(records) > 0 {
		s.share(records)
	}
}

// confirmWorker asks a worker whether it still is the incarnation that its record describes.
func (g *Gateway) confirmWorker(ctx context.Context, worker *backend.Worker) error {
	_, err := g.dependencies.Orderer.Inspect(ctx, worker)
	if errors.Is(err, roles.ErrWorkerReplaced) {
		return &forward.ReplacedError{Peer: worker.Address}
	}
	return err
}

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
	"github.com/granitebay/granitebay/internal/rendezvous"
	"github.com/granitebay/granitebay/internal/roles"
	"github.com/granitebay/granitebay/internal/streamversion"
	"github.com/granitebay/granitebay/internal/versionsync"
)

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
	if previous, _, found := s.records.Find(now, stream.Key); !version.IsTold() || (found && !previous.IsTold()) {
		// Others would conclude from the records of the workers which version it is, and these are outdated.
		isShared = true
	}
	s.records.PutLocal(now, record, isShared)
	s.mu.Unlock()
	if isShared {
		s.share([]streamversion.Record{record})
	}
}

// Find implements forward.StreamVersions.
func (s *streamVersions) Find(ctx context.Context, stream streamversion.Stream) streamversion.Finding {
	if version, age, found := s.findRecord(stream.Key); found {
		return s.resolve(streamversion.Finding{Version: version, Source: streamversion.SourceOwnRecord, Age: age})
	}
	peers := s.peersFor(stream.Key)
	answers := s.ask(ctx, peers, stream)
	for _, answer := range answers {
		if answer.Found {
			age := time.Duration(answer.AgeMs) * time.Millisecond
			return s.resolve(streamversion.Finding{Version: answer.Version(), Source: streamversion.SourcePeer, Age: age})
		}
	}
	evidence := streamversion.Evidence{Staleness: s.gateway.view.Staleness(), Horizon: stream.Horizon(), PeerCount: s.registeredPeers()}
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

// resolve returns a finding with the version of the incarnation that it names, if any. The version is unknown if this gateway does not know the
// incarnation.
func (s *streamVersions) resolve(finding streamversion.Finding) streamversion.Finding {
	if finding.Version.IsTold() {
		return finding
	}
	s.gateway.workersMu.Lock()
	worker := s.gateway.workers[finding.Version.Incarnation]
	s.gateway.workersMu.Unlock()
	if worker == nil || worker.Group != finding.Version.Service {
		finding.Source = streamversion.SourceUnknown
		return finding
	}
	finding.Version = streamversion.Version{Service: worker.Group, Software: worker.SoftwareVersion}
	return finding
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
		return versionsync.Answer{Found: true, Service: version.Service, Software: version.Encode(), AgeMs: age.Milliseconds()}
	}
	outlook := s.history.Outlook(now, stream.Services, stream.Horizon())
	outlook.IsComplete = outlook.IsComplete && staleness < stream.Horizon()
	var answer versionsync.Answer
	answer.SetOutlook(outlook)
	return answer
}

// registeredPeers returns the number of other entries whose registrations have not ended, whether or not they are alive.
func (s *streamVersions) registeredPeers() int {
	return lo.CountBy(s.gateway.view.RegisteredEntries(), func(gateway member.Gateway) bool { return gateway.Name != s.gateway.settings.Name })
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

// confirmWorker asks a worker whether it still is the incarnation that its record describes.
func (g *Gateway) confirmWorker(ctx context.Context, worker *backend.Worker) error {
	_, err := g.dependencies.Orderer.Inspect(ctx, worker)
	if errors.Is(err, roles.ErrWorkerReplaced) {
		return &forward.ReplacedError{Peer: worker.Address}
	}
	return err
}

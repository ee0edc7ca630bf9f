package gateway

import (
	"context"
	"time"

	"github.com/granitebay/granitebay/internal/member"
	"github.com/granitebay/granitebay/internal/streamversion"
	"github.com/granitebay/granitebay/internal/versionsync"
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

package router

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/samber/lo"

	granitebayv1 "github.com/granitebay/granitebay/gen/granitebay/v1"
	"github.com/granitebay/granitebay/internal/core"
)

// recordPair is two routers that hear only each other.
type recordPair struct {
	now   time.Time
	cores map[string]*Core
	peers map[string]*granitebayv1.Peer
	// sent counts the engine records that were sent.
	sent int
}

func newRecordPair() *recordPair {
	p := &recordPair{now: time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC), cores: map[string]*Core{}, peers: map[string]*granitebayv1.Peer{}}
	for _, name := range []string{"a", "b"} {
		p.peers[name] = &granitebayv1.Peer{Name: name, Incarnation: 1, Address: name + ":1", Zone: "zone-a"}
		p.cores[name] = New(Settings{Self: p.peers[name], StartedAt: p.now}, rand.New(rand.NewPCG(1, 1)))
	}
	return p
}

// learn gives a router records with a generation.
func (p *recordPair) learn(name string, from, to int, generation uint64) {
	records := lo.Map(lo.RangeFrom(from, to-from), func(i, _ int) *granitebayv1.EngineRecord {
		return &granitebayv1.EngineRecord{Engine: fmt.Sprintf("engine-%04d", i), Generation: generation, Role: "prefill", Model: "m"}
	})
	p.cores[name].HandleEnvelope(p.now, recordsEnvelope(records), noEffects())
}

// exchange lets a router begin a comparison and delivers all that follows.
func (p *recordPair) exchange(from, to string) {
	type delivery struct {
		from    string
		message core.Message
	}
	effects := noEffects()
	effects.Send(to, to+":1", recordsDigest(&granitebayv1.RecordsDigest{Whole: p.cores[from].hashRecords().whole}))
	queue := lo.Map(effects.Messages, func(message core.Message, _ int) delivery { return delivery{from, message} })
	for len(queue) > 0 {
		next := queue[0]
		queue = queue[1:]
		envelope := next.message.Envelope
		envelope.From = p.peers[next.from]
		p.sent += len(envelope.GetEngineRecords().GetRecords())
		answer := noEffects()
		p.cores[next.message.To].HandleEnvelope(p.now, envelope, answer)
		for _, message := range answer.Messages {
			if p.cores[message.To] != nil {
				queue = append(queue, delivery{next.message.To, message})
			}
		}
	}
}

func TestRecordsAreExchangedWhereTheyDiffer(t *testing.T) {
	tests := []struct {
		desc   string
		differ func(p *recordPair)
		// most is the most records that may be sent.
		most int
	}{
		{"equal", func(*recordPair) {}, 0},
		{"one newer at the asker", func(p *recordPair) { p.learn("a", 7, 8, 2) }, 80},
		{"one newer at the asked", func(p *recordPair) { p.learn("b", 7, 8, 2) }, 80},
		{"one newer at each", func(p *recordPair) { p.learn("a", 7, 8, 2); p.learn("b", 9, 10, 2) }, 160},
		{"one unknown to the asker", func(p *recordPair) { p.learn("b", 5200, 5201, 1) }, 80},
	}
	for _, test := range tests {
		t.Run(test.desc, func(t *testing.T) {
			p := newRecordPair()
			p.learn("a", 0, 5200, 1)
			p.learn("b", 0, 5200, 1)
			test.differ(p)
			p.exchange("a", "b")
			if p.cores["a"].hashRecords().whole != p.cores["b"].hashRecords().whole {
				t.Error("the records still differ")
			}
			if p.sent > test.most {
				t.Errorf("%d records were sent, want at most %d", p.sent, test.most)
			}
		})
	}
}

func TestRouterWithoutRecordsGetsAllInBoundedExchanges(t *testing.T) {
	p := newRecordPair()
	p.learn("a", 0, 2000, 1)
	for range 20 {
		before := p.sent
		p.exchange("b", "a")
		const bucketSlack = 64                                  // the last bucket is sent whole
		if p.sent-before > 2*(recordsPerExchange+bucketSlack) { // each of the two sends its own
			t.Fatalf("one exchange sent %d records", p.sent-before)
		}
	}
	if got := len(p.cores["b"].roles.Records()); got != 2000 {
		t.Errorf("%d records of 2000 after 20 exchanges", got)
	}
}

package gateway

import (
	"context"
	"io"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/granitebay/granitebay/internal/decisionlog"
	"github.com/granitebay/granitebay/internal/poison"
	"github.com/granitebay/granitebay/internal/store"
)

// barStore is a store that keeps what is committed.
type barStore struct {
	store.Store
	mu      sync.Mutex
	commits []store.Transaction
}

// Commit is part of store.Store.
func (s *barStore) Commit(_ context.Context, transaction store.Transaction) (store.Revision, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.commits = append(s.commits, transaction)
	return store.Revision(len(s.commits)), nil
}

// newTestBars returns the bars of a gateway that does nothing else.
func newTestBars() (*bars, *barStore) {
	kept := &barStore{}
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	g := &Gateway{ports: Ports{Store: kept}, logger: logger, decisions: decisionlog.New("a", 16)}
	g.metrics = newFigures(g.decisions, logger)
	g.bars = newBars(g, nil)
	return g.bars, kept
}

// toldBar is a bar as another gateway tells it.
func toldBar(asked poison.Digest) poison.Told {
	return poison.Told{Bars: []poison.ToldBar{{
		Asked: asked, Rule: "quick", Workers: []string{"w1", "w2", "w3"}, Times: 1, AgoMs: 100, LeftMs: time.Hour.Milliseconds(),
	}}}
}

// TestABarIsWrittenOnlyWhileItHolds hears of two bars, one of which is void before this gateway writes it in place of the one that made it.
func TestABarIsWrittenOnlyWhileItHolds(t *testing.T) {
	b, kept := newTestBars()
	holds, isVoid := poison.Asked{Target: "/holds"}.Digest(), poison.Asked{Target: "/void"}.Digest()
	b.guard.Hear(toldBar(holds))
	b.guard.Hear(toldBar(isVoid))
	b.guard.Hear(poison.Told{EndedWell: []poison.ToldGood{{Asked: isVoid}}})
	for _, change := range b.takeDue(time.Now().Add(barHearsay)) {
		b.change(t.Context(), change)
	}
	if len(kept.commits) != 1 || !strings.HasSuffix(kept.commits[0].Puts[0].Key, holds.String()) {
		t.Errorf("written: %+v", kept.commits)
	}
}

// TestABarThatTheStoreDoesNotHoldYetIsReleased releases a bar before it is written.
func TestABarThatTheStoreDoesNotHoldYetIsReleased(t *testing.T) {
	b, kept := newTestBars()
	asked := poison.Asked{Target: "/x"}.Digest()
	b.guard.Hear(toldBar(asked))
	if wasBarred, err := b.release(t.Context(), asked); !wasBarred || err != nil {
		t.Errorf("released: %t, %v", wasBarred, err)
	}
	if standing, _ := b.guard.Standing(asked); standing != poison.Clear {
		t.Errorf("the standing is %d", standing)
	}
	for _, change := range b.takeDue(time.Now().Add(barHearsay)) {
		b.change(t.Context(), change)
	}
	if len(kept.commits) > 0 {
		t.Errorf("written: %+v", kept.commits)
	}
}

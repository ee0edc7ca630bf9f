package agent

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	granitebayv1 "github.com/granitebay/granitebay/gen/granitebay/v1"
	"github.com/samber/lo"
	"pgregory.net/rapid"
)

// init fixes the seed; flags of the command line still win.
func init() {
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.checks", "500")
}

// fakeOwner answers like a router that owns engines: under each attempt it keeps one text, which begins with the tokens
// that the agent named and goes on with those of its own run. Each run says something else.
type fakeOwner struct {
	generate *granitebayv1.Generate
	name     string
	engine   string
	text     []string
}

func newFakeOwner(sent *granitebayv1.Generate, twin string) *fakeOwner {
	owner := &fakeOwner{generate: sent, name: fmt.Sprintf("owner-%d-%s", sent.Attempt, twin), engine: "only"}
	owner.text = slices.Clone(sent.PriorTokens)
	if sent.MaySwitchEngine {
		owner.engine = fmt.Sprintf("engine-%d-%s", sent.Attempt, twin)
	}
	for offset := len(owner.text); offset < int(sent.Work.MaxTokens); offset++ {
		owner.text = append(owner.text, tokenOf(sent.Work.RequestId, owner.engine, offset))
	}
	return owner
}

// tokenOf is what a run says at an offset.
func tokenOf(id, engine string, offset int) string {
	return fmt.Sprintf("%s/%s/%d", id, engine, offset)
}

func (o *fakeOwner) piece(from, to int) *granitebayv1.Progress {
	total := uint32(0)
	if to == len(o.text) {
		total = uint32(to)
	}
	return piece(o.generate.Work.RequestId, o.generate.Attempt, o.engine, from, o.text[from:to], total)
}

// flyingProgress is a message on its way.
type flyingProgress struct {
	from     string
	progress *granitebayv1.Progress
}

// TestDeliveredAnswerIsAlwaysOneText loses, doubles and reorders what owners send, under retries that change the engine,
// with two requests at once and each Generate reaching two owners. What a caller gets is always the start of the text of one owner of its own request, and the
// whole of it when it is finished.
func TestDeliveredAnswerIsAlwaysOneText(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		h := newHarness(t, nil)
		h.core.random = rand.New(rand.NewPCG(rapid.Uint64().Draw(r, "seed"), 1))
		owners := map[string][]*fakeOwner{}
		var flying []flyingProgress
		collect := func() {
			for _, message := range h.effects.Messages {
				if sent := message.Envelope.GetGenerate(); sent != nil {
					id := sent.Work.RequestId
					owners[id] = append(owners[id], newFakeOwner(sent, "x"), newFakeOwner(sent, "y"))
				}
			}
			h.effects.Reset()
		}
		ids := map[uint64]string{}
		for call := uint64(1); call <= 2; call++ {
			request := work()
			request.MaxTokens = uint32(rapid.IntRange(1, 12).Draw(r, "tokens"))
			request.Repeatable = rapid.Bool().Draw(r, "repeatable")
			sent, _ := h.mustSubmit(call, request)
			ids[call] = sent.Work.RequestId
			collect()
		}
		send := func(r *rapid.T) {
			owner := rapid.SampledFrom(owners[ids[rapid.SampledFrom([]uint64{1, 2}).Draw(r, "call")]]).Draw(r, "owner")
			from := rapid.IntRange(0, len(owner.text)).Draw(r, "from")
			to := rapid.IntRange(from, len(owner.text)).Draw(r, "to")
			flying = append(flying, flyingProgress{from: owner.name, progress: owner.piece(from, to)})
		}
		r.Repeat(map[string]func(*rapid.T){
			"send": send,
			"arrive": func(r *rapid.T) {
				if len(flying) == 0 {
					r.Skip("nothing flies")
				}
				at := rapid.IntRange(0, len(flying)-1).Draw(r, "which")
				message := flying[at]
				if rapid.Bool().Draw(r, "last copy") {
					flying = slices.Delete(flying, at, at+1)
				}
				h.progress(message.from, message.progress)
				collect()
			},
			"time passes": func(r *rapid.T) {
				h.advance(time.Duration(rapid.IntRange(1, 1500).Draw(r, "ms")) * time.Millisecond)
				collect()
			},
			"unreachable": func(r *rapid.T) {
				h.core.HandlePeerUnreachable(h.now, rapid.SampledFrom([]string{"r1", "r2", "owner-1-x", "owner-2-y"}).Draw(r, "peer"), &h.effects)
				h.collect()
				collect()
			},
			"": func(r *rapid.T) {
				for call, id := range ids {
					got := h.answers[call]
					fits := lo.SomeBy(owners[id], func(owner *fakeOwner) bool {
						return len(got) <= len(owner.text) && slices.Equal(got, owner.text[:len(got)]) &&
							(!h.finished[call] || len(got) == len(owner.text))
					})
					if !fits {
						r.Fatalf("call %d got a text that no owner sent: %v", call, got)
					}
					if h.finished[call] && h.outcomes[call] != nil {
						r.Fatalf("call %d has two ends", call)
					}
				}
			},
		})
	})
}

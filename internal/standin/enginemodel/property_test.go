package enginemodel

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/granitebay/granitebay/internal/engine"
)

// TestMain fixes the seed of the properties; -rapid.seed on the command line overrides it.
func TestMain(m *testing.M) {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
	m.Run()
}

// step is one command of a schedule, after a pause.
type step struct {
	pause   time.Duration
	client  string
	command engine.Command
}

func drawSteps(t *rapid.T) []step {
	return rapid.SliceOfN(rapid.Custom(drawStep), 1, 40).Draw(t, "steps")
}

func drawStep(t *rapid.T) step {
	id := fmt.Sprintf("r%d", rapid.IntRange(0, 7).Draw(t, "request"))
	client := rapid.SampledFrom([]string{"router-a-1", "router-b-1"}).Draw(t, "client")
	s := step{pause: time.Duration(rapid.IntRange(0, 3e8).Draw(t, "pause")), client: client}
	switch rapid.IntRange(0, 9).Draw(t, "kind") {
	case 0:
		s.command = engine.Cancel{RequestID: id}
	case 1, 2:
		offset := uint32(rapid.IntRange(0, 60).Draw(t, "offset"))
		s.command = engine.Attach{ExpectedIncarnation: testIncarnation, RequestID: id, StreamOffset: offset}
	default:
		request := submit(id, uint32(rapid.IntRange(0, 2000).Draw(t, "prompt")), uint32(rapid.IntRange(0, 60).Draw(t, "answer")))
		request.Priority = int32(rapid.IntRange(0, 2).Draw(t, "priority"))
		blocks := rapid.IntRange(0, int(request.PromptTokens)/engine.PrefixBlockTokens).Draw(t, "blocks")
		for block := range blocks {
			request.PrefixBlocks = append(request.PrefixBlocks, uint64(block))
		}
		s.command = request
	}
	return s
}

// play runs a schedule. ticks are extra calls of Tick within each pause.
func play(steps []step, eventInterval int, ticks []float64) (*bench, []ClientEvent) {
	b := newBench(func(s *Settings) {
		s.Decode.Slots, s.MemoryTokens, s.MaxWaiting = 3, 4096, 4
		s.TokenEventInterval = eventInterval
	})
	var events []ClientEvent
	for _, s := range steps {
		for _, part := range ticks {
			b.Tick(b.now.Add(time.Duration(part * float64(s.pause))))
		}
		b.now = b.now.Add(s.pause)
		b.Handle(b.now, s.client, s.command)
		events = append(events, b.TakeEvents()...)
	}
	b.Tick(b.now.Add(time.Hour))
	return b, append(events, b.TakeEvents()...)
}

func TestWorkDoesNotDependOnHowItIsWatched(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		steps := drawSteps(t)
		want, _ := play(steps, 1, nil)
		interval := rapid.IntRange(1, 40).Draw(t, "interval")
		got, _ := play(steps, interval, []float64{0.1, 0.5, 0.7})
		if fmt.Sprint(got.lines) != fmt.Sprint(want.lines) {
			t.Fatalf("with events every %d steps and extra ticks:\n%q\nwant\n%q", interval, got.lines, want.lines)
		}
	})
}

func TestStreamsAreWhole(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		steps := drawSteps(t)
		_, events := play(steps, rapid.IntRange(1, 40).Draw(t, "interval"), nil)
		// next is the offset that each client must get next of each request.
		next := make(map[string]uint32)
		for _, event := range events {
			tokens, ok := event.Event.(engine.Tokens)
			if !ok {
				continue
			}
			key := event.Client + "/" + tokens.RequestID
			if want, begun := next[key]; begun && tokens.Offset != want && !asked(steps, event.Client, tokens) {
				t.Fatalf("%s got offset %d, want %d", key, tokens.Offset, want)
			}
			digest := engine.PromptDigest(testModel, "", tokens.RequestID)
			for i, token := range tokens.Tokens {
				if token != engine.AnswerToken(digest, tokens.Offset+uint32(i)) {
					t.Fatalf("%s got a wrong token at %d", key, int(tokens.Offset)+i)
				}
			}
			next[key] = tokens.Offset + uint32(len(tokens.Tokens))
			if tokens.Finished && next[key] != tokens.Total {
				t.Fatalf("%s ended at %d of %d", key, next[key], tokens.Total)
			}
		}
	})
}

// asked tells whether a client asked for a stream at the offset of an event, or past the end of the answer.
func asked(steps []step, client string, tokens engine.Tokens) bool {
	for _, s := range steps {
		if s.client != client {
			continue
		}
		if request, ok := s.command.(engine.Submit); ok && request.RequestID == tokens.RequestID && tokens.Offset == 0 {
			return true
		}
		attach, ok := s.command.(engine.Attach)
		if ok && attach.RequestID == tokens.RequestID && (attach.StreamOffset == tokens.Offset || tokens.Finished) {
			return true
		}
	}
	return false
}

func TestEveryAcceptedRequestEndsOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b, _ := play(drawSteps(t), 8, nil)
		started := make(map[string]int)
		for _, line := range b.lines {
			var at, what, id string
			_, _ = fmt.Sscan(line, &at, &what, &id)
			switch what {
			case "start":
				started[id]++
			case "finish", "cut":
				started[id]--
			}
			if started[id] < 0 || started[id] > 1 {
				t.Fatalf("%s runs %d times at once", id, started[id])
			}
		}
		for id, open := range started {
			if open != 0 {
				t.Fatalf("%s did not end", id)
			}
		}
		if running, waiting := b.Runs(); running+waiting != 0 || b.batch.reserved != 0 {
			t.Fatalf("%d running, %d waiting, %d tokens taken", running, waiting, b.batch.reserved)
		}
	})
}

// BenchmarkBusyHour simulates an hour of an engine with a full batch.
func BenchmarkBusyHour(b *testing.B) {
	for b.Loop() {
		settings := DefaultSettings("engine-a-1", testIncarnation)
		settings.Start = testStart
		settings.InitialConfiguration = configuration(engine.RoleDecode)
		settings.TokenEventInterval = 32
		model := New(settings, rand.New(rand.NewPCG(1, 2)))
		events, requests := 0, 0
		for now := testStart; now.Before(testStart.Add(time.Hour)); now = model.NextWake() {
			model.Tick(now)
			for running, waiting := model.Runs(); running+waiting < settings.Decode.Slots; waiting++ {
				requests++
				model.Handle(now, testClient, submit(fmt.Sprint(requests), 500, 300))
			}
			events += len(model.TakeEvents())
		}
		b.ReportMetric(float64(events), "events")
		b.ReportMetric(float64(requests), "requests")
	}
}

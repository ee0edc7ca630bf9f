package poison

import (
	"fmt"
	"testing"
	"time"
)

// partScript plays reports to a table of parts on fake time.
type partScript struct {
	t     *testing.T
	now   time.Time
	table *partTable
	// crashes counts the crashes, for the ids of workers.
	crashes int
}

// newPartScript returns a script at a gateway that has recorded enough answers to know the popular parts.
func newPartScript(t *testing.T) *partScript {
	s := &partScript{t: t, now: time.Unix(1000, 0), table: newPartTable(DefaultSettings())}
	s.table.start(s.now)
	for range DefaultSettings().Parts.LearningAnswers {
		s.table.countAnswer()
	}
	s.now = s.now.Add(time.Minute)
	return s
}

// part returns a part of the group of the script.
func part(id string) Part { return NewPart("g", id) }

// crash reports the crash of another worker under requests with the parts, after a time.
func (s *partScript) crash(after time.Duration, ids ...string) {
	s.now = s.now.Add(after)
	s.crashes++
	for _, id := range ids {
		s.table.mergeCrash(s.now, s.now, fmt.Sprint("w", s.crashes), part(id))
	}
}

// answer reports that a worker began to answer a request with the parts now.
func (s *partScript) answer(ids ...string) {
	for _, id := range ids {
		s.table.recordAnswer(s.now, s.now, part(id))
	}
}

// settle evaluates the parts after the time for reports of other gateways.
func (s *partScript) settle() []Bar {
	s.now = s.now.Add(DefaultSettings().SettleDelay)
	return s.table.evaluate(s.now)
}

// expect checks the status of a part.
func (s *partScript) expect(id string, want Status) {
	s.t.Helper()
	if got, _ := s.table.status(s.now, part(id)); got != want {
		s.t.Errorf("the status of part %s is %d, want %d", id, got, want)
	}
}

// TestPartOfThreeCrashesIsBarred guards against a crashing part that stays in use, and against bars of the popular part and the rare parts
// that were in the same requests.
func TestPartOfThreeCrashesIsBarred(t *testing.T) {
	s := newPartScript(t)
	s.answer("f")
	for i := range 3 {
		s.crash(100*time.Millisecond, "f", "b", fmt.Sprint("c", i))
	}
	s.expect("b", Pending)
	s.expect("f", Clear)
	s.settle()
	s.expect("b", Barred)
	s.expect("f", Clear)
	for i := range 3 {
		s.expect(fmt.Sprint("c", i), Clear)
	}
}

// TestAnswersSpeakForParts guards against bars of a part whose requests are answered between the crashes.
func TestAnswersSpeakForParts(t *testing.T) {
	s := newPartScript(t)
	for range 10 {
		s.crash(100*time.Millisecond, "m")
		s.now = s.now.Add(10 * time.Millisecond)
		s.answer("m")
		s.settle()
		s.expect("m", Clear)
	}
}

// TestAnswerBegunBeforeCrashClearsNothing guards against clearing a part by an answer that began before the part crashed a worker.
func TestAnswerBegunBeforeCrashClearsNothing(t *testing.T) {
	s := newPartScript(t)
	began := s.now
	for i := range 3 {
		s.crash(100*time.Millisecond, "b", fmt.Sprint("c", i))
	}
	s.table.recordAnswer(s.now, began, part("b"))
	if got := len(s.table.parts[part("b")].crashes); got != 3 {
		t.Errorf("%d crashes are left, want all 3", got)
	}
}

// TestAnsweredPartNeedsLastingCrashes guards against a bar of a popular part where several workers end within a moment, and against a part
// that crashes workers from some time on and is never barred because it was answered before.
func TestAnsweredPartNeedsLastingCrashes(t *testing.T) {
	s := newPartScript(t)
	s.answer("f")
	for range 9 {
		s.crash(100*time.Millisecond, "f")
	}
	s.settle()
	s.expect("f", Clear)
	for range 9 {
		s.crash(200*time.Millisecond, "f")
	}
	s.settle()
	s.expect("f", Barred)
}

// TestRetriedRequestBarsNoPart guards against a bar of a part by the retries of a single request.
func TestRetriedRequestBarsNoPart(t *testing.T) {
	s := newPartScript(t)
	s.table.mostByOneRequest = func(workers []string) int { return len(workers) - 1 }
	for range 6 {
		s.crash(100*time.Millisecond, "b")
	}
	s.settle()
	s.expect("b", Suspected)
}

// TestBarredPartExplainsCrashes guards against a second bar for the crashes of the first, and against requests that stay suspect for them.
func TestBarredPartExplainsCrashes(t *testing.T) {
	s := newPartScript(t)
	requests := NewTable(DefaultSettings())
	requests.parts = s.table
	victim := Request{Target: "victim"}.Digest()
	for i := range 4 {
		s.crash(100*time.Millisecond, "b", "m", fmt.Sprint("c", i))
	}
	requests.RecordCrash(s.now, s.now, Crash{Digest: victim, Worker: "w1"}, "r", "")
	if status, _ := requests.Status(s.now, victim); status != Suspected {
		t.Errorf("before the bar the status of the victim is %d, want %d", status, Suspected)
	}
	s.crash(100*time.Millisecond, "b", "m")
	if bars := s.settle(); len(bars) != 1 {
		t.Errorf("%d parts were barred, want the one that explains the crashes: %v", len(bars), bars)
	}
	if status, _ := requests.Status(s.now, victim); status != Clear {
		t.Errorf("after the bar the status of the victim is %d, want %d", status, Clear)
	}
}

// TestTrialEndsMistakenBar guards against a bar of a sound part that lasts, and against trials at several gateways or again and again.
func TestTrialEndsMistakenBar(t *testing.T) {
	s := newPartScript(t)
	for i := range 3 {
		s.crash(100*time.Millisecond, "b", fmt.Sprint("c", i))
	}
	s.settle()
	elected, other := func(int) bool { return true }, func(int) bool { return false }
	if s.table.beginTrial(s.now, part("b"), elected) {
		t.Error("a trial began at once")
	}
	s.now = s.now.Add(DefaultSettings().Parts.TrialDelay)
	if s.table.beginTrial(s.now, part("b"), other) {
		t.Error("a gateway that is not elected began a trial")
	}
	if !s.table.beginTrial(s.now, part("b"), elected) {
		t.Error("the elected gateway began no trial")
	}
	peer := newPartTable(DefaultSettings())
	update := s.table.takeUpdate(s.now, false)
	peer.applyUpdate(s.now, &update)
	late := s.now.Add(DefaultSettings().Parts.TrialElection)
	if s.table.beginTrial(late, part("b"), elected) || peer.beginTrial(late, part("b"), elected) {
		t.Error("a second trial began")
	}
	s.table.returnTrial(part("b"))
	if !s.table.beginTrial(late, part("b"), elected) {
		t.Error("the trial that was sent to no worker did not begin again")
	}
	s.answer("b")
	s.expect("b", Clear)
	update = s.table.takeUpdate(s.now, false)
	peer.applyUpdate(s.now, &update)
	if status, _ := peer.status(s.now, part("b")); status != Clear {
		t.Errorf("after the answer of the trial the part has status %d at another gateway", status)
	}
}

// TestTrialIsNotRepeatedWhereBarIsHeardLate guards against a trial that each gateway repeats which learns of a bar from the store, where it does
// not see the trials, and against a bar without trials after all gateways have learned of it that way.
func TestTrialIsNotRepeatedWhereBarIsHeardLate(t *testing.T) {
	limits := DefaultSettings().Parts
	elected, other := func(int) bool { return true }, func(int) bool { return false }
	s := newPartScript(t)
	for i := range 3 {
		s.crash(100*time.Millisecond, "b", fmt.Sprint("c", i))
	}
	s.settle()
	s.now = s.now.Add(limits.TrialDelay)
	if !s.table.beginTrial(s.now, part("b"), elected) {
		t.Fatal("no trial began")
	}
	s.crash(100*time.Millisecond, "b", "trial")
	s.now = s.now.Add(limits.TrialDelay)
	stored := s.table.bars(s.now)[0]
	value, err := stored.Encode()
	if err != nil {
		t.Fatal(err)
	}
	if stored, err = DecodeBar(BarKey(stored.Digest), value); err != nil {
		t.Fatal(err)
	}
	learn := func() *partTable {
		table := newPartTable(DefaultSettings())
		table.applyBar(s.now, stored)
		if status, _ := table.status(s.now, part("b")); status != Barred {
			t.Fatalf("the part has status %d, want %d", status, Barred)
		}
		return table
	}
	joined, alone := learn(), learn()
	// The others send full updates once a second.
	for _, after := range []time.Duration{0, 500 * time.Millisecond, 1300 * time.Millisecond} {
		if joined.beginTrial(s.now.Add(after), part("b"), elected) {
			t.Errorf("the trial began again %s after the gateway learned of the bar", after)
		}
	}
	update := s.table.takeUpdate(s.now, true)
	joined.applyUpdate(s.now, &update)
	next := stored.Since.Add(limits.TrialDelay * time.Duration(limits.TrialBackoff))
	if joined.beginTrial(next.Add(-time.Millisecond), part("b"), elected) {
		t.Error("the trial began again, although another gateway had told of it")
	}
	if !joined.beginTrial(next, part("b"), elected) {
		t.Error("the next trial did not begin")
	}
	heard := s.now.Add(limits.TrialHearing)
	if alone.beginTrial(heard, part("b"), other) {
		t.Error("a gateway that is not elected began a trial")
	}
	if !alone.beginTrial(heard, part("b"), elected) {
		t.Error("no trial began where no gateway tells of any")
	}
}

// TestPartIDsAreCanonical guards against a crashing part that callers write in several ways.
func TestPartIDsAreCanonical(t *testing.T) {
	for _, id := range []string{"5C1E", "005c1e", " 5c1e "} {
		if NewPart("g", id) != part("5c1e") {
			t.Errorf("%q is another part than 5c1e", id)
		}
	}
	if NewPart("other", "5c1e") == part("5c1e") {
		t.Error("parts of two groups are one")
	}
	if NewPart("g", "000") != part("0000") {
		t.Error("ids of zeros differ")
	}
}

// TestPartBarSurvivesInStore guards against stored bars of parts that are read as something else.
func TestPartBarSurvivesInStore(t *testing.T) {
	since := time.Unix(1000, 0).UTC()
	bar := Bar{
		Digest: part("5c1e").Digest(), Part: part("5c1e"), Workers: []string{"w1", "w2"}, Times: 2, Since: since, Until: since.Add(time.Hour),
		TrialDelay: 3 * time.Second,
	}
	value, err := bar.Encode()
	if err != nil {
		t.Fatal(err)
	}
	got, err := DecodeBar(BarKey(bar.Digest), value)
	if err != nil || got.Part != bar.Part || got.TrialDelay != bar.TrialDelay || !got.Until.Equal(bar.Until) || got.Times != bar.Times {
		t.Errorf("the stored bar is read as %+v, %v", got, err)
	}
	if _, err := DecodeBar(BarKey(part("dead").Digest()), value); err == nil {
		t.Error("a bar under the key of another part is read")
	}
}

// TestPartTableIsBounded guards against tables that grow with the parts that callers send, and against losing the part with the most crashes.
func TestPartTableIsBounded(t *testing.T) {
	s := newPartScript(t)
	limits := DefaultSettings().Parts
	for i := range 3 {
		s.crash(100*time.Millisecond, "b", fmt.Sprint("c", i))
	}
	for i := range 2 * limits.MaxParts {
		s.now = s.now.Add(time.Millisecond)
		s.table.mergeCrash(s.now, s.now, fmt.Sprint("x", i), part(fmt.Sprintf("f%x", i)))
	}
	if len(s.table.parts) > limits.MaxParts || s.table.parts[part("b")] == nil {
		t.Errorf("%d parts are kept, at most %d are allowed; the part with three crashes is kept: %t", len(s.table.parts), limits.MaxParts, s.table.parts[part("b")] != nil)
	}
	for i := range 2 * limits.MaxAnswered {
		s.table.recordAnswer(s.now, s.now, part(fmt.Sprintf("e%x", i)))
	}
	if len(s.table.answered) > limits.MaxAnswered {
		t.Errorf("%d answers are kept, at most %d are allowed", len(s.table.answered), limits.MaxAnswered)
	}
	for _, crash := range s.table.takeUpdate(s.now, true).Crashes {
		limits.MaxPerUpdate -= len(crash.Parts)
	}
	if limits.MaxPerUpdate < 0 {
		t.Errorf("an update names %d parts too many", -limits.MaxPerUpdate)
	}
}

// TestUnsharedTablesConverge guards against gateways that disagree about a part after messages in another order, doubled or lost.
func TestUnsharedTablesConverge(t *testing.T) {
	s := newPartScript(t)
	peer := newPartTable(DefaultSettings())
	for i := range 3 {
		s.crash(100*time.Millisecond, "b", fmt.Sprint("c", i))
	}
	lost := s.table.takeUpdate(s.now, false)
	s.settle()
	full := s.table.takeUpdate(s.now, true)
	peer.applyUpdate(s.now, &full)
	peer.applyUpdate(s.now, &full)
	peer.applyUpdate(s.now, &lost)
	if status, bar := peer.status(s.now, part("b")); status != Barred || len(bar.Workers) != 3 {
		t.Errorf("the other gateway has status %d with %d workers", status, len(bar.Workers))
	}
}

// TestCrashesBeforeStartBarNoPart guards against a bar of a popular part by a gateway that was just started: it hears of earlier crashes, but not of
// the answers in between.
func TestCrashesBeforeStartBarNoPart(t *testing.T) {
	now := time.Unix(1000, 0)
	table := newPartTable(DefaultSettings())
	table.start(now)
	var crashes []PartCrash
	for i := range 8 {
		crashes = append(crashes, PartCrash{Worker: fmt.Sprint("w", i), AgoMs: int64(400 * (i + 1)), Group: "g", Parts: []string{"f"}})
	}
	now = now.Add(50 * time.Millisecond)
	table.applyUpdate(now, &PartUpdate{Crashes: crashes})
	table.evaluate(now.Add(DefaultSettings().SettleDelay))
	if status, _ := table.status(now, part("f")); status != Clear {
		t.Errorf("the part has status %d, want %d", status, Clear)
	}
}

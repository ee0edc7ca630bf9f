package poison

import (
	"encoding/json"
	"fmt"
	"slices"
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
	s.now = s.now.Add(time.Minute)
	for range DefaultSettings().Parts.LearningAnswers {
		s.table.countAnswer(s.now, "g")
	}
	s.now = s.now.Add(DefaultSettings().Parts.LearningTime)
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
	update := s.table.takeUpdate(s.now, nil)
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
	update = s.table.takeUpdate(s.now, nil)
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
	update := s.table.takeUpdate(s.now, repeatAll(true, nil, s.table))
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

// crashAt reports the crash of another worker of a version, which serves beside others, under requests with the parts, after a time.
func (s *partScript) crashAt(version string, after time.Duration, ids ...string) {
	s.now = s.now.Add(after)
	s.crashes++
	for _, id := range ids {
		s.table.recordCrash(s.now, s.now, fmt.Sprint("w", s.crashes), version, []Part{part(id)})
	}
}

// answerAt reports that a worker of a version, which serves beside others, began to answer a request with the part now.
func (s *partScript) answerAt(version, id string) {
	s.now = s.now.Add(10 * time.Millisecond)
	s.answer(id)
	s.table.recordAnswer(s.now, s.now, part(id).AtVersion(version))
}

// expectAt checks the status of a part at the workers of a version.
func (s *partScript) expectAt(version, id string, want Status) {
	s.t.Helper()
	if got, _ := s.table.status(s.now, part(id).AtVersion(version)); got != want {
		s.t.Errorf("the status of part %s at version %s is %d, want %d", id, version, got, want)
	}
}

// TestAnswersOfOtherVersionLeaveCrashes guards against a part that goes on crashing the workers of one version because those of another one answer
// requests with it, and against a bar at the other version.
func TestAnswersOfOtherVersionLeaveCrashes(t *testing.T) {
	s := newPartScript(t)
	for i := range 3 {
		s.crashAt("bad", 100*time.Millisecond, "b", fmt.Sprint("c", i))
		s.answerAt("good", "b")
	}
	s.expectAt("bad", "b", Pending)
	s.settle()
	s.expectAt("bad", "b", Barred)
	s.expectAt("good", "b", Clear)
	s.expect("b", Clear)
	s.answerAt("good", "b")
	s.expectAt("bad", "b", Barred)
	s.answerAt("bad", "b")
	s.expectAt("bad", "b", Clear)
}

// TestAnswersOfSameVersionSpeakForPart guards against bars at one version of a part that its workers answer, too, between crashes.
func TestAnswersOfSameVersionSpeakForPart(t *testing.T) {
	s := newPartScript(t)
	for range 10 {
		s.crashAt("bad", 100*time.Millisecond, "m")
		s.answerAt("bad", "m")
		s.settle()
		s.expectAt("bad", "m", Clear)
	}
}

// TestPartOfAllVersionsIsBarredAtAll guards against a part that crashes the workers of two versions and needs the crashes for a bar at each.
func TestPartOfAllVersionsIsBarredAtAll(t *testing.T) {
	s := newPartScript(t)
	for i, version := range []string{"one", "two", "one"} {
		s.crashAt(version, 100*time.Millisecond, "b", fmt.Sprint("c", i))
	}
	if bars := s.settle(); len(bars) != 1 || bars[0].Part != part("b") {
		t.Errorf("the bars are %v, want one of part b at all workers", bars)
	}
}

// TestCrashesOfOneVersionBarPartThere guards against a bar at all workers where only those of one version crashed, and against three more crashes
// before that bar where the part crashes the other version as well.
func TestCrashesOfOneVersionBarPartThere(t *testing.T) {
	s := newPartScript(t)
	for i := range 3 {
		s.crashAt("bad", 100*time.Millisecond, "b", fmt.Sprint("c", i))
	}
	s.settle()
	s.expect("b", Clear)
	s.expectAt("bad", "b", Barred)
	s.crashAt("good", 100*time.Millisecond, "b", "c4")
	s.settle()
	s.expect("b", Barred)
}

// TestLiftedBarLeavesVersion guards against crashes for a second bar: a part was barred at all workers, one of another version ended beside them,
// and a trial at that version is answered.
func TestLiftedBarLeavesVersion(t *testing.T) {
	s := newPartScript(t)
	for i, version := range []string{"bad", "bad", "good"} {
		s.crashAt(version, 100*time.Millisecond, "b", fmt.Sprint("c", i))
	}
	s.settle()
	s.expect("b", Barred)
	s.expectAt("bad", "b", Clear)
	s.crashAt("bad", 10*time.Millisecond, "b", "c4")
	s.answerAt("good", "b")
	s.expect("b", Clear)
	s.settle()
	s.expectAt("bad", "b", Barred)
	s.expectAt("good", "b", Clear)
}

// TestVersionedEvidenceIsShared guards against gateways that disagree about a part at one version, and against a message in which a build that
// knows no versions takes evidence at one version for evidence at all workers.
func TestVersionedEvidenceIsShared(t *testing.T) {
	s := newPartScript(t)
	peer := newPartTable(DefaultSettings())
	expect := func(what string, want Status) {
		t.Helper()
		update := s.table.takeUpdate(s.now, repeatAll(true, nil, s.table))
		for _, crash := range update.Crashes {
			if slices.Sort(crash.Parts); len(slices.Compact(crash.Parts)) < len(crash.Parts) || crash.Group != "g" {
				t.Errorf("%s: the crash at all workers names a part twice: %+v", what, crash)
			}
		}
		if len(update.Bars) > 0 {
			t.Errorf("%s: the bars at all workers are %v, want none", what, update.Bars)
		}
		peer.applyUpdate(s.now, &update)
		if got, _ := peer.status(s.now, part("b").AtVersion("bad")); got != want {
			t.Errorf("%s: the other gateway has status %d, want %d", what, got, want)
		}
		if got, _ := peer.status(s.now, part("b")); got != Clear {
			t.Errorf("%s: at all workers the other gateway has status %d, want %d", what, got, Clear)
		}
	}
	learned := s.now.Add(-DefaultSettings().Parts.LearningTime)
	peer.start(learned)
	for range DefaultSettings().Parts.LearningAnswers {
		peer.countAnswer(learned, "g")
	}
	for i := range 3 {
		s.crashAt("bad", 100*time.Millisecond, "b", fmt.Sprint("c", i))
		if i < 2 {
			expect("before the bar", Clear)
		}
		s.answerAt("good", "b")
	}
	expect("at the third crash", Pending)
	s.settle()
	expect("after the bar", Barred)
	s.now = s.now.Add(time.Second)
	s.answerAt("bad", "b")
	expect("after an answer of the version", Clear)
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

// TestVersionedBarSurvivesInStore guards against a stored bar at one version that is read as one at all workers, also by builds that know no
// versions: they must find no part in it.
func TestVersionedBarSurvivesInStore(t *testing.T) {
	limited := part("5c1e").AtVersion("v1")
	bar := Bar{Digest: limited.Digest(), Part: limited, Workers: []string{"w1"}, Times: 1, Since: time.Unix(1000, 0), Until: time.Unix(2000, 0)}
	value, err := bar.Encode()
	if err != nil {
		t.Fatal(err)
	}
	if got, err := DecodeBar(BarKey(bar.Digest), value); err != nil || got.Part != limited {
		t.Errorf("the stored bar is read as %+v, %v", got, err)
	}
	var fields map[string]any
	if err := json.Unmarshal(value, &fields); err != nil || fields["part"] != nil || fields["group"] != nil {
		t.Errorf("the stored bar names a part at all workers: %s, %v", value, err)
	}
	if limited.Digest() == part("5c1e").Digest() || limited.Digest() == part("5c1e").AtVersion("v2").Digest() {
		t.Error("parts at different versions have one digest")
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
	if s.table.answered.len() > limits.MaxAnswered {
		t.Errorf("%d answers are kept, at most %d are allowed", s.table.answered.len(), limits.MaxAnswered)
	}
	for _, crash := range s.table.takeUpdate(s.now, repeatAll(true, nil, s.table)).Crashes {
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
	lost := s.table.takeUpdate(s.now, nil)
	s.settle()
	full := s.table.takeUpdate(s.now, repeatAll(true, nil, s.table))
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
